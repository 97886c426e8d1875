"""Batches of embeddings and rerank: splitting, merging of results, dynamic batching, caching of results.

All modules are free of sockets, timers and clocks of their own: the present time is handed in. The batch
fronts in `node/batch_fronts` drive them; which engine runs a part is the router's decision.
"""
