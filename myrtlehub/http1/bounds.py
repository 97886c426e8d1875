"""Bounds of the HTTP/1.1 layer, each with its unit and its reason."""

# Sizes

MAX_HEAD_BYTES = 16 * 1024  # of a head or of a chunk's size line; a usual limit of servers
MAX_BODY_BYTES = 256 * 1024  # of a request's body; the platform guarantees it
# Buffered behind an open request of one connection: the largest possible request.
MAX_READ_AHEAD_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
# Buffered behind the open requests of all connections: hundreds of clients may pipeline at once.
MAX_TOTAL_READ_AHEAD_BYTES = 8 * 1024 * 1024
# Read and discarded of one connection beyond the read-ahead, so that the end of the connection is noticed.
# A client that sends more than this, which costs a third of a second of one core, is disconnected.
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
MAX_SMALL_RESPONSE_BYTES = 64 * 1024  # of a response without a stream: a load report or a token count
MAX_CHUNK_BYTES = 256 * 1024  # of one chunk of a stream; an event is far smaller
MAX_INFORMATIONAL_RESPONSES = 8  # 1xx before a response; a peer that sends more is faulty

# Timeouts of clients' connections, in seconds

# For a request to become complete, and for a new connection to send its first one. The platform allows 3 s.
REQUEST_TIMEOUT_S = 2.0
# For the client to read the last response and to close, before the connection is aborted.
LINGER_TIMEOUT_S = 3.0
# For a new connection to send its first byte during a graceful shutdown; clients send once they connect.
DRAINING_FIRST_BYTE_TIMEOUT_S = 0.3
IDLE_TIMEOUT_S = 5.0  # for a connection without a request; each idle connection costs memory
STALLED_WRITE_TIMEOUT_S = 20.0  # for a client that reads nothing of its stream

# Admission of clients' connections, in seconds

# For a client to send its first request once it is connected, before its connection may be evicted. The
# eviction also waits until the data that arrived within this time was read (`read_progress.py`).
READ_GRACE_S = 0.05
MIN_READ_GRACE_S = 0.02  # the same when the connection limit is exceeded: a few reactor turns

# Connections to peers, in seconds

# Rest of an idle connection before it is reused, in which surplus bytes behind its last response arrive.
MIN_IDLE_BEFORE_REUSE_S = 0.05
# Pause in the reuse of connections after one failed under its next request. A new connection costs its peer a
# millisecond or two; a request that may have run costs an attempt.
REUSE_SUSPENSION_S = 30.0
# Backoff before a connection attempt that failed for lack of a local resource is repeated; it doubles each
# time. All retries together take 0.3 s, as long as a connection to a peer may take.
LOCAL_RETRY_DELAY_S = 0.02
MAX_LOCAL_RETRIES = 4
