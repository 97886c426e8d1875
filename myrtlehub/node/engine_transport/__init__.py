"""The engine transport: sends attempts to engines over gRPC.

    transport             one channel per engine; sends and cancels attempts, sends releases and probes
    engine_requests       builds the protobuf requests
    attempt_watcher       common part of the watchers below: outcomes and load reports from replies
    read_attempt          the reply to a read
    write_attempt         the replies to a write: a stream of tokens
    batch_attempt         the replies to a part of a batch

The router decides what happens after an outcome. `myrtlehub.node.replication.replicated_transport` replicates
sequence records before an attempt is sent.
"""
