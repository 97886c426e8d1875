"""Replication of sequence records between nodes, and takeover of sequences whose node has failed.

This package contains the connections, timers and protobuf messages. The decisions are made in
`myrtlehub.recovery`, which performs no I/O.

    replication           replication of one node, as owner and as replica, and its heartbeats
    peer_connections      connections to other nodes, and the record updates that are queued for them
    wire                  sequence records as protobuf messages

    record_publisher      the owner's side: sends an attempt once the replicas have acknowledged its intent
    published_sequence    one sequence that this node owns
    send_gate             attempts that wait for acknowledgements from replicas
    replica_updater       sends record updates to replicas
    former_ownerships     ownerships of sequences that have ended at this node
    replicated_transport  the engine transport that waits for acknowledgements

    replica_service       the replica's side: stores records of other nodes and transfers them for takeovers

    takeover              takes over one sequence when its client resumes at this node
    takeover_interfaces   the input of a takeover, and the interfaces that it calls
    takeover_machine      the state machine of a takeover
    record_fetch          merges the copies of a record from the replies of several replicas
    engine_claims         claims sequences at engines
    reply_collector       collects the replies of several calls
    retry_arrival         the arrival with which a sequence that was taken over is routed again
    attached_stream       the stream of a writer that a takeover has attached to
"""
