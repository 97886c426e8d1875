"""The bytes of a client's request."""

from zlib import crc32

from myrtlehub.lab.fault_soak.records import TrafficType

SESSION_COUNT = 50  # sessions that the requests are spread over
BODY = b'{"model":"chat","messages":[]}'


def chat_request(request_id: str, traffic: TrafficType, prompt_tokens: int, time_left_ms: int) -> bytes:
    """Return a request with the headers that the platform's gateway sets."""
    encoded_id = request_id.encode()
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: service\r\nX-Txn: %s\r\nX-Lane: %s\r\n"
        b"X-Entity: s%d\r\nX-Remaining-Ms: %d\r\nX-Labels: prompt_len=%d,max_out=60\r\n"
        b"Content-Length: %d\r\n\r\n%s"
        % (
            encoded_id,
            traffic.value.encode(),
            crc32(encoded_id) % SESSION_COUNT,
            time_left_ms,
            prompt_tokens,
            len(BODY),
            BODY,
        )
    )
