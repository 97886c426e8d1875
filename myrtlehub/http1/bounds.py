"""Bounds of the HTTP/1.1 layer; each says why it is what it is."""

HEAD_MOST = 16 * 1024  # bytes of a head or of a chunk's line: what servers commonly take
BODY_MOST = 256 * 1024  # bytes of a request's body, as the platform states
AHEAD_MOST = HEAD_MOST + BODY_MOST  # bytes that are kept behind an open request: the largest one
AHEAD_ALL = 8 * 1024 * 1024  # the same of all connections together: hundreds may do so at once
SPILL_MOST = 64 * 1024 * 1024  # bytes beyond these that are read and thrown away, so that its client's end is
# seen; who sends more, a third of a second of one core, is cut
WHOLE_WITHIN = 2.0  # seconds for a request to be whole, and for a new connection to speak: 3 s are owed
LINGER = 3.0  # seconds for a last answer to leave and its client to close, before the connection is cut
FIRST_WITHIN = 0.3  # seconds for a new connection to speak while the process ends: clients ask as they come
IDLE = 5.0  # seconds that a client's connection may lie unused: kept ones cost memory
STALL = 20.0  # seconds for which a client may take nothing of a stream
SMALL_BODY = 64 * 1024  # bytes of an engine's answer that is not a stream: a report or a count
CHUNK_MOST = 256 * 1024  # bytes of one chunk of a stream: events are far smaller, so more is not ours
INFORMATIONAL_MOST = 8  # answers of 1xx ahead of one: a peer that goes on has nothing else to say
SETTLED = 0.05  # seconds a kept connection lies before its next use: what was sent behind an answer shows
HEARD_WITHIN = 0.05  # seconds in which what a new connection has sent is surely read
HEARD_AT_LEAST = 0.02  # the same where there is no room at all: some turns of the reactor
STALE_FOR = 30.0  # seconds without kept connections after one broke under its next request: a new one costs
# its peer a millisecond or two, a request that may have run costs an attempt
