"""A node: accepts sequences from clients, has a router decide, and sends attempts to engines.

    node                  a complete node: servers, endpoint list, change of settings, drain
    node_runtime          what a node runs with one version of its settings
    drain                 waits until nothing is in flight
    endpoint_list_source  makes the source of the endpoint list, as the settings specify it
    chat_front            the methods of chat
    batch_fronts          the methods of embeddings and rerank
    client_limits         memory and rate limits on clients
    request_decoder       maps names to indices, and checks requests
    endpoint_index        engines by address and by index
    action_executor       executes a router's actions
    sequence_lifecycle    reports to the router what clients and engines do; owns the in-flight sequences
    router_driver         calls the router with changes of the endpoint list and with wake-ups
    router_calls          a queue of router calls, which never nest
    executor_observer     the interface by which other parts follow the action executor
    sequences             in-flight sequences, their attempts and read states
    response_sink         the response to a sequence, as the action executor sees it
    protocols             what the action executor needs of the program around it
    engine_pools          a router for each pool of engines
    router_config         the configuration of routers, from the settings
    engine_transport      sends attempts over gRPC
    replication           sequence records on other nodes, takeover of their sequences
    admin                 the admin service
    settings_change       validation of staged settings
    revision              digests of program and settings
    traffic_counters      counters by traffic type
    process_usage         memory and processor time of the process
    clock, process        clock, signals and memory of a process, also for the relay

Routing is in `myrtlehub.routing`, gRPC in `myrtlehub.rpc`; listening and the command line are in
`myrtlehub.cli`. The relay (`myrtlehub.relay`) uses the same action executor.
"""
