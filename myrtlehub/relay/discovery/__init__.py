"""Client for the discovery service, and decoder for its endpoint lists."""
