"""Reasons for closing connections: those accepted from clients, and those to peers such as engines."""

from enum import StrEnum


class CloseReason(StrEnum):
    """Reason for which the server closes a client's connection; the values appear in the log."""

    IDLE_TIMEOUT = "idle_timeout"  # no request data arrived within the idle or first-request timeout
    LAST_RESPONSE = "last_response"  # the response announced the close, or ended during a graceful shutdown
    MALFORMED_REQUEST = "malformed_request"  # after a response with status 400, 408, 413 or 431
    MEMORY_LIMIT = (
        "memory_limit"  # after a response with status 503: the requests of all clients are too large
    )
    STREAM_FAILED = "stream_failed"  # the node aborted an incomplete response
    DRAINING = "draining"  # the connection was idle during a graceful shutdown
    CONNECTION_LIMIT = "connection_limit"  # evicted for a newer connection after the limit was reached
    LINGER_TIMEOUT = "linger_timeout"  # the client did not read the last response and close in time
    WRITE_TIMEOUT = "write_timeout"  # the client stopped reading a stream for too long
    PIPELINE_FLOOD = "pipeline_flood"  # the client sent too much data while its request was open


class PeerCloseReason(StrEnum):
    """Reason for which a connection to a peer was closed; the values appear in the log."""

    CLOSED_BY_PEER = "closed_by_peer"  # after all of the peer's data
    LOST = "lost"  # the peer reset it, or the network reported an error
    SURPLUS_DATA = "surplus_data"  # the peer sent data while no request was pending
    NOT_REUSABLE = "not_reusable"  # the response was complete, but the connection must not be reused
    REQUEST_FAILED = "request_failed"  # the response was malformed or exceeded a limit
    CANCELLED = "cancelled"  # the request that was assigned to the connection was cancelled
    IDLE_TIMEOUT = "idle_timeout"
    ROOM_NEEDED = "room_needed"  # the pool was full; this connection had been idle longest
    CLOSED_BY_ROUTER = "closed_by_router"  # the router asked to close the idle connections to the peer
