"""Simulated clients of a scenario: open-loop load, planned before the scenario from a seed.

`sequence_plan`, `chat_call`, `chat_clients` and `chat_tally` belong to the chat front; `batch_plan`,
`batch_fronts`, `batch_call`, `batch_clients` and `batch_tally` to the fronts for batches (embed and rank).
`client_group`, `recorded_call`, `call_records` and `traffic` are common to both. Clients record what they
send and receive on their sockets; the rule checker judges these records. Clients use none of the node's code.
"""
