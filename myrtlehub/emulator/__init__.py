"""Emulated engines: they replace real engines in tests and scenarios. Figures from them are simulated.

`model` is a pure model of an engine, made of `prefill_stage`, `decode_stage` and `batch_stage`, which share
`resources`, `prefix_cache` and `faults`; `machine` has its figures and `events` what it reports. `server`
serves it over gRPC with `event_handlers`, `state_transfer`, `fault_service` and `timer`; `job` is one attempt
being served, `claims` what takeover needs; `tokens`, `vectors` and `batch_results` make the results.

Nothing here knows the router or the node.
"""
