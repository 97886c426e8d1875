"""A node: accepts sequences from clients, has a router decide, and sends attempts to engines.

    node                  a complete node: servers, endpoint list, change of settings, drain
    node_runtime          the parts of a node that depend on its settings
    drain                 the wait of a graceful shutdown
    endpoint_list_source  creates the source of the endpoint list that the settings specify
    chat_front            the methods of chat
    batch_fronts          the methods of embeddings and reranking
    client_limits         memory and rate limits on clients
    request_decoder       validates requests, and maps names to indices
    endpoint_index        engines by address and by index
    action_executor       executes the actions of a router
    sequence_lifecycle    owns the in-flight sequences; reports events of clients and engines to the router
    router_driver         reports changes of the endpoint list and wake-ups to the router
    router_calls          a queue of router calls, which never nest
    executor_observer     the interface for observers of the action executor
    sequences             in-flight sequences, their attempts and read states
    response_sink         the interface through which the action executor responds to a client
    protocols             the interfaces that the action executor depends on
    engine_pools          a router for each pool of engines
    router_config         derives the configuration of routers from the settings
    engine_transport      sends attempts over gRPC
    replication           sequence records on other nodes, and takeover of their sequences
    admin                 the admin service
    settings_change       validates staged settings
    revision              digests of program and settings
    traffic_counters      counters by traffic type
    process_usage         memory and CPU time of the process
    clock, process        clock, signals and memory of a process; the relay uses them too

Routing is in `myrtlehub.routing`, gRPC in `myrtlehub.rpc`; listening and the command line are in
`myrtlehub.cli`. The relay (`myrtlehub.relay`) uses the same action executor.
"""
