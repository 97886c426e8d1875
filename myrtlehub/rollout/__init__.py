"""What a staged rollout decides: states, progress, canary analysis, stages, orders, the journal's format.

Everything here is pure: it knows no node, file, process, socket or clock. `rollout_controller` looks at
nodes, writes the journal and carries out actions; `model` is explored by `state` to check the transition
tables.
"""
