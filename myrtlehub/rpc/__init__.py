"""gRPC over HTTP/2 on Twisted.

Client side: `channel`, `client_call`, `client_protocol`, `response_headers`, `reply_collector`. Server side:
`server`, `server_call`, `server_protocol`, `method_handlers`. Both sides extend `http2_protocol`, which runs
one connection with these parts:

- `h2_connection`: h2 with fast paths for DATA and a GOAWAY that leaves the connection open;
- `frame_reader`, `event_handler`: split received bytes into frames, and act on the events that h2 reports;
- `stream`, `stream_table`: one stream, and all open streams of the connection;
- `frame_writer`, `header_encoder`: send queued frames, and encode header blocks;
- `keepalive`, `frame_rate_limiter`: detect silent peers, and peers that flood the connection with frames.

`framing`, `metadata`, `status`, `backoff` and `transport_limits` do not depend on a connection. The package
knows nothing of engines, sequences or routing.
"""
