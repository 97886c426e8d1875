"""Replication of sequence records between nodes, and takeover of sequences whose node was lost.

Here are the connections, the timers and the protobuf messages; what they carry out is decided in
`myrtlehub.recovery`, which has no input and output.

    wire                  sequence records as protobuf messages
    peer_connections      connections to other nodes, and the updates that are gathered for them
    record_publisher      the owner's side: replicas know of an attempt before it is sent
    replicated_transport  the engine transport that waits for them
    replica_service       the replica's side: stores the records of other nodes and hands them out
    replication           all of it for one node, with the heartbeats
    engine_claims         claims of sequences at engines
    takeover_machine      the states of a takeover
    takeover              takes one sequence over, when its client comes back here
"""
