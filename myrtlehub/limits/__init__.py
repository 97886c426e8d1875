"""Limits on clients and on load: admission control, retry budgets, fair share, memory budgets, minimum rate.

All modules make pure decisions by the times and counters that the caller passes in; none reads a clock, opens
a socket or logs. The callers are `myrtlehub.node.client_limits`, the fronts of the node, and the request
decoders, which use the meter of event loop lag.
"""
