"""Reasons for which the server closes a client's connection."""

from enum import StrEnum


class CloseReason(StrEnum):
    """Reason for which the server closes a client's connection; the values appear in the log."""

    IDLE_TIMEOUT = "idle_timeout"  # no byte of a request came within the idle or first-request timeout
    LAST_RESPONSE = "last_response"  # a response announced the close, or ended during a graceful shutdown
    MALFORMED_REQUEST = (
        "malformed_request"  # a request was invalid, too large or incomplete: 400, 408, 413, 431
    )
    STREAM_FAILED = "stream_failed"  # a response was ended before it was complete
    DRAINING = "draining"  # the connection was idle during a graceful shutdown
    CONNECTION_LIMIT = "connection_limit"  # the listener needed the connection's slot for a newer connection
    LINGER_TIMEOUT = "linger_timeout"  # the client did not read the last response, or did not close, in time
    WRITE_TIMEOUT = "write_timeout"  # the client read nothing of a stream for too long
    PIPELINE_FLOOD = "pipeline_flood"  # the client sent too many bytes behind an open request
