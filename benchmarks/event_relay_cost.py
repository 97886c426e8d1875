"""The cost of h11 per relayed event: a chunk is read from an engine, parsed and written to a client."""

import time

import h11

from myrtlehub.relay.engines.event_stream import EventStreamParser

EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"abcdabcdabcd"},"finish_reason":null}]}\n\n'
COUNT = 20_000


def main() -> None:
    """Print the microseconds per event of each step."""
    chunk = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
    engine, client = h11.Connection(h11.CLIENT), h11.Connection(h11.SERVER)
    engine.send(h11.Request(method="POST", target="/", headers=[("Host", "a")]))
    engine.send(h11.EndOfMessage())
    engine.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    engine.next_event()
    client.receive_data(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    client.next_event(), client.next_event()
    client.send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
    events, took = EventStreamParser(), [0.0, 0.0, 0.0]
    for _ in range(COUNT):
        at = [time.perf_counter()]
        engine.receive_data(chunk)
        data = b""
        while isinstance(event := engine.next_event(), h11.Data):
            data += event.data
        at.append(time.perf_counter())
        whole = events.feed(data)
        at.append(time.perf_counter())
        client.send(h11.Data(data=whole))
        at.append(time.perf_counter())
        took = [t + b - a for t, a, b in zip(took, at, at[1:], strict=False)]
    for what, t in zip(("h11 reads", "events", "h11 writes"), took, strict=True):
        print(f"{what:12} {t / COUNT * 1e6:6.1f} us an event")


if __name__ == "__main__":
    main()
