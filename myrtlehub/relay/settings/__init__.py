"""Reading, validation and reload of the node settings."""
