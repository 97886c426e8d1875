"""The logic of a staged rollout: state machines, canary analysis, stages, orders and journal format.

All modules here are free of I/O: they use no sockets, files, processes or clock. `rollout_controller` polls
the nodes, writes the journal and executes the actions. `state.model_checker` explores `model` to verify the
transition tables.
"""
