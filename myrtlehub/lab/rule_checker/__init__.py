"""The five rules, checked on what client and engine ends recorded; never on a node's own log or state.

Each rule has a module; `checker` passes records to all of them. `findings` collects breaches,
`scenario_facts` and `client_calls` have what the rules share. The records say all that is known: the
scenario's own record "terms" has the figures of the rules and the traffic types, "told" and "killed" what was
done to nodes and engines; the rest passed on sockets.

Running processes and printing a verdict are not done here.
"""
