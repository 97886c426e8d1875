"""A node on the operators' HTTP/1.1 platform, as `python -m myrtlehub.relay` runs it.

Here live the node settings, the decoders of endpoint lists and requests, the discovery client, the engine
transport, the client front, and what signals do. Decisions are made by `myrtlehub.routing` and executed by
`myrtlehub.node.action_executor`; the HTTP protocol itself is in `myrtlehub.http1`.
"""
