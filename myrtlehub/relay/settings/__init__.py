"""Reads, validates and reloads the node settings."""
