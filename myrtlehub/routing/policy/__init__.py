"""The routing policy: all routing decisions and all tuned values, each in the module that uses it.

`router` runs three stages: `writer_selection`, `read_placement` and `admission`. `retries` decides which
attempts may be retried, and `load_probing` which engines are probed. `engine_estimates` and `prefix_cache`
have the estimates that the stages share.
"""
