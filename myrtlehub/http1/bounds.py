"""Size limits, timeouts and delays of the HTTP/1.1 layer."""

# Sizes

MAX_HEAD_BYTES = 16 * 1024  # of a message head or the size line of a chunk; a common limit of servers
MAX_HEADERS = 100  # header fields of a message; a common limit of servers
# Lines of an incomplete head or trailer, since the parser handles all of them in one step.
MAX_INCOMPLETE_LINES = 2 * MAX_HEADERS
MAX_BODY_BYTES = 256 * 1024  # of a request body; the platform guarantees this maximum
# Buffered on one connection after its open request: the largest possible request.
MAX_READ_AHEAD_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
# Incomplete requests of all connections together, where the deployment states no limit on memory.
MAX_INCOMPLETE_BYTES = 8 * 1024 * 1024
# Bodies of the open requests of all connections together, likewise.
MAX_OPEN_BYTES = 32 * 1024 * 1024
# Read and discarded on one connection after its read-ahead is full, so that a disconnect is still detected.
# Reading this much takes a third of a second of one core; a client that sends more is disconnected.
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
# That a chunk or a length of a streamed response may announce. Streams have no limit in all, as each of their
# events is passed on; none is as long as this, and a peer that announces more is faulty.
MAX_STREAM_ANNOUNCEMENT_BYTES = 64 * 1024 * 1024
MAX_SMALL_RESPONSE_BYTES = 64 * 1024  # of a response that is not streamed: a load report or a token count
MAX_INFORMATIONAL_RESPONSES = 8  # 1xx responses before the final one; a peer that sends more is faulty

# Timeouts of client connections to the server, in seconds

# For receiving a complete request, and for the first request on a new connection. The platform allows 3 s.
REQUEST_TIMEOUT_S = 2.0
# Extension of the timeout of a request of which data was read and is not parsed yet, which is repeated.
UNPARSED_EXTENSION_S = 0.1
# Limit of the extensions for data that is read after the timeout: a client can send such data for ever.
MAX_LATE_DATA_EXTENSION_S = 0.8
# For the client to read the last response and close the connection, before the server aborts it.
LINGER_TIMEOUT_S = 3.0
# For the first byte on a new connection during a graceful shutdown; clients send as soon as they connect.
DRAINING_FIRST_BYTE_TIMEOUT_S = 0.3
IDLE_TIMEOUT_S = 5.0  # for a connection without an open request; each idle connection uses memory
STALLED_WRITE_TIMEOUT_S = 20.0  # for a client that has stopped reading its stream

# Time without data behind an open request, after which its client counts as connected.
SURPLUS_QUIET_S = 0.02

# Admission of client connections, in seconds

# Time that a new connection gets to send its first request before it may be evicted. The eviction also waits
# until the data that arrived within this time has been read (`read_progress.py`).
FIRST_REQUEST_GRACE_S = 0.05
# The same once the burst allowance above the connection limit is used up as well: a few reactor turns.
MIN_FIRST_REQUEST_GRACE_S = 0.02

# Connections to peers, in seconds

# Time that a connection stays idle before it is reused. Surplus data after its last response arrives by then.
MIN_IDLE_BEFORE_REUSE_S = 0.05
# Time without reuse of connections after a reused one failed. A new connection costs its peer a millisecond
# or two; a request that may have been executed costs an attempt.
REUSE_SUSPENSION_S = 30.0
# Time for the rest of a response that nobody needs. After it the connection is closed instead of reused.
DISCARD_TIMEOUT_S = 0.5
# First backoff after a connection attempt failed for lack of a local resource; it doubles with each retry.
# All retries together take 0.3 s, as long as establishing a connection to a peer may take.
CONNECT_RETRY_DELAY_S = 0.02
MAX_CONNECT_RETRIES = 4
# Interval of the checks whether a request may be written to its connection.
WRITE_CHECK_INTERVAL_S = 0.005
# Time that a request waits for one of the pool's connections, and the interval of the checks for one.
MAX_CONNECTION_WAIT_S = 0.3
CONNECTION_CHECK_INTERVAL_S = 0.02
