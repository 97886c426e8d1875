"""The node's admin service, for operators and for a rollout's controller.

    interfaces           the interface of the node for the service
    service              serves the methods
    orders               orders of a rollout's controller: stage and apply settings, drain
    endpoint_list_push   changes of the endpoint list, if the settings allow pushing them
    node_state           the node's program, settings, sequences and endpoint list
    limits_state         memory charged to clients, and the clients that were disconnected
    figures              the node's counters since its start

The node executes the orders (`myrtlehub.node.node`); `myrtlehub.rollout.node_orders` decides which controller
may send them.
"""
