"""Scenarios: nodes, emulated engines, clients and faults as processes on loopback, and a verdict by rule.

    scenario_file           the schema of scenario files
    scenario_runner         plays a scenario; `rollout_scenario` and `takeover_scenario` extend it
    scenario_fleet          the processes of a scenario; `rollout_fleet` and `takeover_fleet` extend it
    scenario_context        what all parts of one run share
    client_load             the simulated clients (`simulated_clients`)
    fault_scheduler         timed faults; `rollout_control` has those of a rollout's controller
    endpoint_publisher      the endpoint list and its changes, as rows (`endpoint_row`)
    endpoint_list_writer    list files, written with mistakes
    fleet_layout            names, addresses and cells; `process_files` and `rollout_files` the settings
    processes               child processes; `process_calls` calls them, `fault_proxy` disturbs connections
    verdict                 judges the records, with `rule_checker`, `endpoint_list_checker`, `case_coverage`
    verdict_format          the verdict as JSON; `verdict_text` as text, `latency_histogram` its percentiles

`fleet_model` and `in_process_fleet` (with `in_process_engine` and `in_process_client`) simulate fleets that
are too large or too fast for processes. `fault_soak` tests the relay under faults. Nothing here is part of a
node.
"""
