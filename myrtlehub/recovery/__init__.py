"""Replication and takeover of in-flight sequences, so that they survive the failure of their node.

    sequence_records    replicated records, ownership by epoch, and how updates are merged
    replica_store       the records that one replica stores for other nodes
    replica_placement   which nodes are the replicas of a node
    ownership           the owner's side: which acknowledgements a send has to wait for
    fencing             fencing tokens at engines
    failure_detector    heartbeats, and which nodes are suspected to have failed
    recovery_decision   how a sequence continues after a takeover
    model               a model of replication and takeover for the model checker

The package contains decisions only, without sockets, clocks or protobuf messages. Connections, timers and
messages are in `myrtlehub.node.replication`.
"""
