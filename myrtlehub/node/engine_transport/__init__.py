"""The engine transport: carries attempts to engines over gRPC.

    transport             one channel an engine; starts and cancels attempts, releases, probes
    engine_requests       the protobuf messages that are sent
    attempt_watcher       what all attempts have in common: outcomes and load reports from replies
    read_attempt          the replies to a read
    write_attempt         the replies to a write: a stream of tokens
    batch_attempt         the replies to a part of a batch

What an attempt's outcome leads to is decided by the router; sequence records are sent to replicas before an
attempt starts by `myrtlehub.node.replication.replicated_transport`.
"""
