"""gRPC over HTTP/2 on Twisted.

Client side: `channel`, `client_call`, `client_protocol`, `response_headers`, `reply_collector`. Server side:
`server`, `server_call`, `server_protocol`, `method_handlers`. Both sides extend `http2_protocol`, which runs
one connection and is composed of:

- `h2_connection`: h2 with fast paths for DATA frames, and a GOAWAY that does not close the connection;
- `frame_reader`, `event_handler`: split received bytes into frames, and dispatch the events that h2 reports;
- `stream`, `stream_table`: a single stream, and the open streams of the connection;
- `frame_writer`, `header_encoder`: send queued frames, and encode header blocks;
- `keepalive`, `frame_rate_limiter`: detect unresponsive peers, and limit the rate of control frames.

`framing`, `metadata`, `status`, `backoff` and `transport_limits` do not depend on a connection. The package
is independent of engines, sequences and routing.
"""
