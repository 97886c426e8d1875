"""The client side of the relay: decoding of requests, and the responses to them."""
