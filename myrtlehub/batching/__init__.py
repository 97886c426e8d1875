"""Batches of embeddings and rerank: splitting, merging of results, dynamic batching, caching of results.

These modules are used by the batch fronts in `node/batch_fronts`. They have no sockets, timers or clocks: the
caller passes in the time. The router decides which engine runs each part of a batch.
"""
