"""HTTP/1.1 on Twisted and h11: connections of clients, connections to peers and their pool.

The package knows the protocol and its bounds; engines, routing and the operators' platform it does not.
"""
