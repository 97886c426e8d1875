"""Batches of embeddings and rerank: splitting, merging of results, dynamic batching, caching of results.

No module has sockets, timers or a clock of its own: the caller passes in the time. The batch fronts in
`node/batch_fronts` use them. Which engine runs a part of a batch is the router's decision.
"""
