"""The bytes that emulated engines send."""

from myrtlehub.http1.framing import Framing

EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":2}}\n\n'
DONE = b"data: [DONE]\n\n"
TRUNCATED_EVENT = EVENT[:40] + b"\n\n"
ERROR_EVENT = b'data: {"error":{"message":"out of memory"}}\n\n'
COMMENT = b": accepted\n\n"
DONE_COMMENT = b": [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"
RELEASED = b"HTTP/1.1 204 No Content\r\n\r\n"
READ_BODY = b'{"cached_tokens":0}'
UNFINISHED_CHUNK = b"40\r\ndata: {"
# An event that is not completed, an invalid chunk length, a chunk that is not an event.
INVALID_CHUNKS = (UNFINISHED_CHUNK, b"zz\r\n", b"4\r\nnope\r\n")


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
STREAM_HEAD_BY_FRAMING = {
    Framing.CHUNKED: _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    Framing.LENGTH: _HEAD + b"Content-Length: %d\r\n\r\n",
    Framing.CONNECTION: _HEAD + b"Connection: close\r\n\r\n",
}


def response(status: int, is_rejection: bool = False, body: bytes = b"") -> bytes:
    """Return a response that is no stream; a rejection states that the request did not run."""
    mark = b"X-Turned-Away: 1\r\n" if is_rejection else b""
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, mark, len(body), body)
