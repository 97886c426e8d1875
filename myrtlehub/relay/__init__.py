"""A router node for the HTTP/1.1 platform, run as `python -m myrtlehub.relay`.

- `settings`: the node settings, and their reload on SIGHUP.
- `discovery`: the client of the platform's discovery service, which supplies the endpoint list.
- `clients`: decodes clients' requests and writes the responses.
- `engines`: the HTTP client for engines: attempts, event streams, releases of read state, and probes.
- `monitoring`: the event log and the invariant checks.
- `process`: the listening port, start-up retries and graceful shutdown.
- `node`: assembles a node from these parts.

Routing decisions are made by `myrtlehub.routing` and executed by `myrtlehub.node.action_executor`; the HTTP
protocol is implemented in `myrtlehub.http1`.
"""
