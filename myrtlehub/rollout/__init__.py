"""The decisions of a staged rollout: state machines, canary analysis, stages, orders, journal format.

All modules here are pure: they use no sockets, files, processes or clock. `rollout_controller` polls the
nodes, writes the journal and executes the actions. `state.model_checker` explores `model` to verify the
transition tables.
"""
