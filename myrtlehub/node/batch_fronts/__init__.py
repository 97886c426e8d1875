"""The fronts for batches: embeddings and rerank, served in addition to chat.

    embeddings, rerank   decode requests and encode replies
    grpc_front           serves their calls
    coordinator          all batches of a node: admission, result cache, dynamic batching
    in_flight_batch      one client request, from its acceptance to its final answer
    engine_batch         parts of one or several batches that one engine runs together
    dispatcher           sends engine batches within each front's share of the common engines
    front_capacity       engine count, part limits and model version of each front
    interfaces           the interfaces between these modules

The algorithms are in `batching/` and in `limits/`. The router decides which engine runs an engine batch.
"""
