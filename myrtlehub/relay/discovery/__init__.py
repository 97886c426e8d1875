"""Client of the discovery service, and decoder for the endpoint list that it returns."""
