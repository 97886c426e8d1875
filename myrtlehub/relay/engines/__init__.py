"""The relay's HTTP client for engines: attempts, event streams, releases of read state, and probes."""
