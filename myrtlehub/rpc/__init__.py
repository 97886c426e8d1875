"""gRPC over HTTP/2 on Twisted.

`channel` and `client_call` are the client's side, `server`, `server_call` and `method_handlers` the server's.
Both stand on `http2_protocol`, one connection, with its parts: `h2_connection` (h2, with fast paths and a
graceful GOAWAY), `frame_reader`, `frame_writer`, `stream`, `keepalive`, `header_encoder`, and
`frame_rate_limiter` against peers that flood. `framing`, `metadata` and `status` know no connection at all.

Nothing here knows of engines, sequences or routing.
"""
