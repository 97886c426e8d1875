"""The node's admin service, for operators and for the controller of a rollout.

    interfaces           what the service needs of the node
    service              the methods by name
    orders               orders of a rollout's controller: stage and apply settings, drain
    endpoint_list_push   changes of the endpoint list, where the settings allow pushing them
    node_state           program, settings, sequences and endpoint list of the node
    limits_state         memory accounted to clients, and the clients that were disconnected
    figures              counters since the start

The node executes the orders (`myrtlehub.node.node`); `myrtlehub.rollout.node_orders` decides which controller
may give them.
"""
