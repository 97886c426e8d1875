"""The fronts for batches: embeddings and rerank, served in addition to chat.

    embeddings, rerank   decode requests and encode replies
    grpc_front           serves their calls
    coordinator          all batches of a node: acceptance, result cache, dynamic batching
    in_flight_batch      one client request, until its final answer
    engine_batch         the parts of batches that one engine runs together
    dispatcher           sends engine batches as far as each front's share of shared engines allows
    front_capacity       engine count, part limits and model version of each front
    interfaces           what these modules need of one another

The algorithms are in `batching/` and in `limits/`. The router decides which engine runs an engine batch.
"""
