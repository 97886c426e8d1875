"""Emulated engines: stand in for real engines in tests and scenarios. Figures from them are simulated.

`model` is a pure model of an engine, `server` serves it over gRPC, `job` is one attempt being served,
`claims` what takeover needs, `tokens` and `vectors` make the results. Nothing here knows the router or the
node.
"""
