"""The engine side of the relay: attempts, their event streams, releases of read state, and probes."""
