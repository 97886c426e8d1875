"""Decisions of replication and takeover: work in hand survives the loss of its node.

Here are the sequence records that nodes replicate, the store of one replica, which nodes are replicas of
which, what an owner must have acknowledged before it sends, fencing tokens at engines, the failure
detector, what becomes of a sequence that another node takes over, and a model of all this for the model
checker (`model`).

Everything is pure: no sockets, no clock, no messages. Connections, timers and protobuf messages are in
`myrtlehub.node.replication`.
"""
