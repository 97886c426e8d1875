"""Simulated clients of a scenario: an open loop of requests that are drawn ahead from a seed.

`sequence_plan`, `chat_call`, `chat_clients` and `tally` are of the chat front; `batch_plan`, `batch_call` and
`batch_clients` of the batch fronts; `recorded_call` is what both share. Clients record what passes on their
sockets; judging the records is done elsewhere. Nothing here knows the node's code.
"""
