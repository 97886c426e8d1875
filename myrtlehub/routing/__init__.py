"""Routing: which engine reads a sequence, which one writes it, and when to give up.

`policy` has all routing decisions and all tuned values; its `router.Router` is what a node makes. Outside it
stands what would be the same whatever is decided: `contract` (the calls and actions between a router and the
program around it), `calls` (what they do to the records), `records`, `engine_table` and `prompt_cache` (what
is known) and `statistics`. Nothing here knows of sockets, clocks, files or wire formats.
"""
