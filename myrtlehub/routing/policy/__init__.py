"""All routing decisions and all tuned values; each constant is in the module that it tunes.

`router` runs the three stages `writer_selection`, `read_placement` and `admission`; `retries` decides what
may run again. `engine_estimates` and `prefix_cache` have the estimates that the stages share, `load_probing`
the choice of probes.
"""
