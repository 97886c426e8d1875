"""Settings, requests and responses for tests of the relay."""

LONG_PROMPT = 2000  # tokens; long enough for the router to use a reader

SETTINGS = {
    "Balancers": 2,
    "Ordinal": 0,
    "Zones": ["z"],
    "MyZone": "z",
    "PeriodMs": 4.0,
    "OverShareWorth": 0.1,
    "MachineTypes": ["r", "w", "m"],
    "Orgs": [{"Name": "acme", "QuotaPerS": 100.0}],
    "Classes": [
        {
            "Name": "ask",
            "Effect": "idempotent",
            "AimMs": 2000.0,
            "GiveUpMs": 5000.0,
            "Credit": 1.0,
            "LateWorth": 0.3,
        },
        {"Name": "post", "Effect": "at_most_once", "AimMs": 2000.0, "GiveUpMs": 5000.0, "Credit": 3.0},
    ],
    "Caps": {
        "Cancel": True,
        "MostTries": 5,
        "RetryAfter": True,
        "MaxRetryAfterMs": 2000.0,
        "ConnectTimeoutMs": 250.0,
        "KeepaliveMs": 30000.0,
        "SecondCopies": True,
    },
    "Invariants": {
        "AnswerSlackMs": 16.0,
        "ColdMs": 10000.0,
        "ColdShare": 0.25,
        "DrainGraceMs": 250.0,
        "FallMs": 1000.0,
        "FallMultiple": 2.5,
    },
    "Report": {"How": "inline", "Names": ["x0", "x1"]},
    "Specifics": {
        "DutyByKind": ["read", "write", "both"],
        "KvTokens": [200000, 200000, 200000],
        "LetGoByMs": 500.0,
        "SelfPrefill": True,
        "TokenAimMs": [50.0, 50.0],
    },
}
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"ab"},"finish_reason":null}]}\n\n'
USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":64}}}\n\n'
)
DONE = b"data: [DONE]\n\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


COMPLETE_STREAM = STREAM_HEAD + chunk(EVENT) + chunk(EVENT) + chunk(USAGE) + chunk(DONE) + LAST_CHUNK
READ_RESPONSE = (
    b'HTTP/1.1 202 Accepted\r\nContent-Length: 21\r\nX-Pressure: {"x0":0.5,"x1":2.0}\r\n\r\n'
    b'{"cached_tokens":640}'
)
RELEASE_RESPONSE = b"HTTP/1.1 204 No Content\r\n\r\n"


def response(status: int, rejected: bool = False, headers: bytes = b"") -> bytes:
    """Return a response without a body; if `rejected`, with the header of a rejection."""
    marker = b"X-Turned-Away: 1\r\n" * rejected
    return b"HTTP/1.1 %d X\r\n%s%sContent-Length: 0\r\n\r\n" % (status, marker, headers)


def chat_request(
    sequence_id: str = "a1",
    prompt: int = 100,
    traffic: str = "ask",
    remaining_ms: int = 4000,
    headers: bytes = b"",
    body: bytes = b'{"model":"chat","messages":[]}',
    session: str = "s1",
) -> bytes:
    """Return the bytes of a request."""
    return (
        b"POST /v1/chat/completions?v=1 HTTP/1.1\r\nHost: service\r\nX-Txn: %s\r\nX-Lane: %s\r\n"
        b"X-Org: acme\r\nX-Entity: %s\r\nX-Remaining-Ms: %d\r\nX-Labels: prompt_len=%d,max_out=100\r\n%s"
        b"Content-Length: %d\r\n\r\n%s"
        % (
            sequence_id.encode(),
            traffic.encode(),
            session.encode(),
            remaining_ms,
            prompt,
            headers,
            len(body),
            body,
        )
    )


def stream_of(received: bytes) -> bytes:
    """Return the decoded body of a chunked response, with `<end>` in place of its last chunk."""
    body = received.partition(b"\r\n\r\n")[2]
    out = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        if int(size, 16) == 0:
            return out + b"<end>"
        out += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return out
