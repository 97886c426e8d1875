"""Decisions of replication and takeover: in-flight sequences survive the loss of their node.

    sequence_records    records that nodes replicate, ownership by epoch, and how updates are merged
    replica_store       the records that one replica holds for other nodes
    replica_placement   which nodes are the replicas of a node
    ownership           the owner's side: which acknowledgements a send has to wait for
    fencing             fencing tokens at engines
    failure_detector    heartbeats, and which nodes are suspected to have failed
    recovery_decision   how a sequence that was taken over continues
    model               a model of all this for the model checker

Everything here is pure: no sockets, no clock, no protobuf messages. Connections, timers and messages are in
`myrtlehub.node.replication`.
"""
