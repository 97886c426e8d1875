"""The fronts for batches: embeddings and rerank, served in addition to chat.

    embeddings, rerank   decode requests and encode replies
    grpc_front           serves their calls
    coordinator          all batches of a node: acceptance, result cache, dynamic batching
    in_flight_batch      one client request, until its final answer
    engine_batch         the parts of batches that one engine runs together
    dispatcher           sends engine batches when the front's share of common engines allows it
    front_capacity       the engines of each front, by the endpoint list and the settings
    interfaces           what these modules need of one another

The algorithms are in `batching/` and in `limits/`. The router decides which engine runs an engine batch.
"""
