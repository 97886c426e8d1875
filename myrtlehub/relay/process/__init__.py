"""The relay as an operating-system process: listening port, start-up and shutdown."""
