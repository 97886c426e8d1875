"""The relay as an operating-system process: its port, its start and its shutdown."""
