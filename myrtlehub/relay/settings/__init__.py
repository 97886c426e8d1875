"""The node settings: reading, checking and reloading them."""
