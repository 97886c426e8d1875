"""Limits on clients and load: admission control, retry budgets, fair share, memory budgets, minimum rate.

Decisions in these modules depend only on the times and counters that the caller passes in. No module reads a
clock, opens a socket or logs. The callers are `myrtlehub.node.client_limits`, the fronts of the node (one for
each API: chat, embeddings and rerank), and the request decoders, which use the event loop lag meter.
"""
