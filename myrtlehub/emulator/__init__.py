"""Emulated engines: simulated stand-ins for real inference engines in tests and scenarios.

- The engine model does no I/O: `model` composes `prefill_stage`, `decode_stage` and `batch_stage`, which
  share `resources`, `prefix_cache` and `faults`; `machine` defines its parameters, `events` its events.
- `server` serves the model over gRPC: `engine_service`, `state_transfer` and `fault_service` implement the
  methods, `claims` handles claims during a takeover, `event_handlers` applies the model's events to jobs,
  and `timer` schedules its wake-ups. `job` is one attempt; `engine_context` is the interface of the engine
  that these modules depend on.
- `tokens`, `vectors`, `batch_results` and `load_report` compute the contents of the replies.

The package imports neither the router nor the node.
"""
