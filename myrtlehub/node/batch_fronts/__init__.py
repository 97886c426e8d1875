"""The fronts for batches: embeddings and rerank, served beside chat.

`embeddings` and `rerank` decode and encode messages, `grpc_front` serves their calls. `coordinator` has all
batches of a node; an `in_flight_batch` is one client request until its final answer, an `engine_batch` what
one engine gets at a time, and `dispatcher` sends these as the front's share of common engines allows.
`front_capacity` has what the endpoint list says of each front's engines.

The algorithms are in `batching/` and in `limits/`.
Which engine runs an engine batch is the router's decision.
"""
