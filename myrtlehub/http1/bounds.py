"""Bounds of the HTTP/1.1 layer; each says why it is what it is."""

MAX_HEAD_BYTES = 16 * 1024  # of a head or of a chunk's line: what servers commonly take
MAX_BODY_BYTES = 256 * 1024  # of a request's body, as the platform states
MAX_READ_AHEAD_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES  # kept behind an open request: the largest one
MAX_TOTAL_READ_AHEAD_BYTES = 8 * 1024 * 1024  # of all connections together: hundreds may do so at once
# Read and discarded beyond these, so that the client's end is seen. Whoever sends more, which takes a third
# of a second of one core, is disconnected.
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
REQUEST_TIMEOUT_S = 2.0  # for a request to be complete, and for a new connection to send: 3 s are allowed
LINGER_TIMEOUT_S = (
    3.0  # for a last response to leave and its client to close, before the connection is aborted
)
# For a new connection to send its first byte during a graceful shutdown: clients send as they connect.
DRAINING_FIRST_BYTE_TIMEOUT_S = 0.3
IDLE_TIMEOUT_S = 5.0  # for which a client's connection may lie unused: idle ones cost memory
STALLED_WRITE_TIMEOUT_S = 20.0  # for which a client may take nothing of a stream
MAX_SMALL_RESPONSE_BYTES = 64 * 1024  # of an engine's response that is not a stream: a report or a count
MAX_CHUNK_BYTES = 256 * 1024  # of one chunk of a stream: events are far smaller, so more is not an event
MAX_INFORMATIONAL_RESPONSES = 8  # of 1xx before a response: a peer that goes on has nothing else to say
# An idle connection lies this long before its next use, so that surplus bytes behind a response show.
MIN_IDLE_BEFORE_REUSE_S = 0.05
READ_GRACE_S = 0.05  # in which what a new connection has sent is surely read
MIN_READ_GRACE_S = 0.02  # the same where there is no room at all: some turns of the reactor
# Without reuse after a reused connection broke under its next request: a new connection costs its peer a
# millisecond or two, a request that may have run costs an attempt.
REUSE_SUSPENSION_S = 30.0
# From try to try of a connection that this machine has no resources for, doubled each time; with the retries
# as many as a connection to a peer may take (0.3 s), after which whoever asked decides anew.
LOCAL_RETRY_DELAY_S = 0.02
MAX_LOCAL_RETRIES = 4
