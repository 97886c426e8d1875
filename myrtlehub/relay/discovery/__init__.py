"""The endpoint list: following it at the discovery service and decoding it."""
