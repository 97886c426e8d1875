"""Scenarios: nodes, emulated engines, clients and faults as processes on loopback, and a verdict by rule.

A scenario file (`scenario_file`) is played by `scenario_runner`, with `rollout_scenario` and
`takeover_scenario` for more of it. `fleet_layout`, `process_files`, `rollout_files`, `processes`,
`process_calls` and `fault_proxy` are for its processes; `endpoint_publisher`, `endpoint_list_writer` and
`fault_scheduler` act on them, and `simulated_clients` load them. `rule_checker`, `endpoint_list_checker`,
`case_coverage` and `verdict` judge what was recorded.

`fleet_model` and `in_process_fleet` simulate what processes cannot show. Nothing here is part of a node.
"""
