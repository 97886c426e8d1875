"""Limits on clients and on load: admission control, retry budgets, fair share, memory budgets, minimum rate.

Each decision in these modules depends only on the times and counters that the caller passes in; no module
reads a clock, opens a socket or logs. The callers are `myrtlehub.node.client_limits`, the fronts of the node
(one for each API: chat, embeddings, rerank), and the request decoders, which use the meter of event loop lag.
"""
