"""The event log, and the checks of invariants of a running relay."""
