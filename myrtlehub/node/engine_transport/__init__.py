"""The engine transport: sends attempts to engines over gRPC.

    transport             one channel per engine; starts and cancels attempts, sends releases and probes
    engine_requests       the protobuf messages that are sent
    attempt_watcher       the common part of all attempts: outcomes and load reports from replies
    read_attempt          the replies to a read
    write_attempt         the replies to a write: a stream of tokens
    batch_attempt         the replies to a part of a batch

The router decides what to do after an outcome. `myrtlehub.node.replication.replicated_transport` sends
sequence records to replicas before an attempt starts.
"""
