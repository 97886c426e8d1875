"""Emulated engines: they replace real engines in tests and scenarios. Their figures are simulated.

- The engine model has no sockets: `model` composes `prefill_stage`, `decode_stage` and `batch_stage`, which
  share `resources`, `prefix_cache` and `faults`; `machine` has its parameters, `events` what it reports.
- `server` serves the model over gRPC: `engine_service`, `state_transfer` and `fault_service` have the
  methods, `claims` the engine's part in a takeover, `event_handlers` the effects of the model's events,
  `timer` its wake-ups. `job` is one attempt, `engine_context` what these parts need of the engine.
- `tokens`, `vectors`, `batch_results` and `load_report` compute the contents of the answers.

The package imports neither the router nor the node.
"""
