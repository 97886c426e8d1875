"""Embedding and rerank batches: splitting, merging of results, dynamic batching and caching of results.

The batch fronts in `node/batch_fronts` use these modules, which do no I/O and have no timers or clocks: the
caller passes the current time. The router decides which engine runs each part of a batch.
"""
