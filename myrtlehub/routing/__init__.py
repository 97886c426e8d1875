"""Routing: selects the engines that read (prefill) prompts and write (decode) answers, and rejects sequences.

- `policy` makes all decisions: which engine to use, whether a sequence waits or is rejected, and whether it
  is retried. It has all tuned constants. `policy.router.Router` is the router that a node creates.
- The other modules do not depend on the policy. `contract` defines the events, actions and calls between a
  router and its node. `calls` applies events to the records of sequences (`records`) and engines
  (`engine_table`, `prompt_cache`). `statistics` has moving averages, medians and rates.
- `engine_table` computes averages of observations. `policy` sets their weights and half-lives (`LEARNING`,
  `CACHE_BOUNDS`) and derives estimates from them (`policy.engine_estimates`).

The package uses no sockets, clocks, files or wire formats.
"""
