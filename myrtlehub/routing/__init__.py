"""Routing: which engine reads (prefills) a prompt, which one writes (decodes) its answer, and rejections.

The parts of the package:

- `policy` makes every choice between engines, between waiting and rejecting, and between retrying and giving
  up, and has every tuned constant. `policy.router.Router` is the router that a node creates.
- Everything else is bookkeeping that would be the same under another policy. `contract` defines the events,
  actions and calls between a router and its node; `calls` applies events to the records of sequences
  (`records`) and engines (`engine_table`, `prompt_cache`); `statistics` has running averages and rates.
- Learning is in both: `engine_table` computes averages of what was observed, and `policy` sets their weights
  and half-lives (`LEARNING`, `CACHE_BOUNDS`) and derives estimates from them (`policy.engine_estimates`).

The package imports no sockets, clock, files or wire formats.
"""
