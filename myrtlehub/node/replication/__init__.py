"""Replication of sequence records between nodes, and takeover of sequences whose node was lost.

This package has the connections, timers and protobuf messages. The decisions are in `myrtlehub.recovery`,
which performs no input or output.

    replication           replication of one node: both sides, and the heartbeats
    peer_connections      connections to other nodes, and the record updates that are queued for them
    wire                  sequence records as protobuf messages

    record_publisher      the owner's side: an attempt is sent once its replicas have acknowledged it
    published_sequence    one sequence that this node owns
    send_gate             attempts that wait for acknowledgements
    replica_updater       sends record updates to replicas
    former_ownerships     ownerships of sequences that have ended at this node
    replicated_transport  the engine transport that waits for acknowledgements

    replica_service       the replica's side: stores records of other nodes and hands them out

    takeover              takes one sequence over when its client resumes at this node
    takeover_interfaces   what a takeover is given, and what it calls
    takeover_machine      the states of a takeover
    record_fetch          the record of a sequence, from the replies of several replicas
    engine_claims         claims of sequences at engines
    reply_collector       collects the replies of several calls
    retry_arrival         the arrival by which a sequence is routed again
    attached_stream       the stream of a writer that a takeover has attached to
"""
