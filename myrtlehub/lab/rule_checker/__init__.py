"""The five rules, checked on what clients and engines recorded; never on a node's own log or state.

Each rule has a module; `checker` passes each record to all of them. `findings` collects breaches.
`stored_records` has the form of the records, `scenario_facts` and `client_calls` what several rules read.
The records contain all that the rules need: the scenario's record "terms" has the figures of the rules and
the traffic types, "told" and "killed" say what was done to nodes and engines, and the others say what was
sent and received on sockets.

This package neither runs processes nor prints a verdict.
"""
