"""Limits on clients and on work: pure decisions, driven by times and counters that the caller passes in.

Here are admission control, the resource ledger, the minimum rate of clients, retry budgets, the fair share
of engines that several fronts use, and the meter of event loop lag. Nothing here reads a clock, opens a
socket or logs; `myrtlehub.node.peers` and the fronts call it and carry out what it decides.
"""
