"""HTTP/1.1 on Twisted and h11: a server, a client with a connection pool, and the limits of both.

The server side is `listener`, `server_connection`, `request_reader` and `server_exchange`; the client side is
`connection_pool`, `pending_request` and `client_connection`. The package does not depend on engines, routing
or the platform.
"""
