"""The node's admin service, for operators and for the controller of a rollout.

    service              the methods by name
    orders               orders of a rollout's controller: stage and apply settings, drain
    endpoint_list_push   changes of the endpoint list, where the settings allow pushing them
    node_state           what the node runs and routes by
    limits_state         what is accounted to clients, and who was cut off
    figures              counters since the start

The orders are carried out by `myrtlehub.node.node`; whose orders are taken is decided in
`myrtlehub.rollout.node_orders`.
"""
