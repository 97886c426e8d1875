"""Client-facing part of the relay: decodes requests and writes the responses."""
