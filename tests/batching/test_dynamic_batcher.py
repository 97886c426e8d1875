"""Dynamic batching of small requests."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.batching.dynamic_batcher import BatchingWindow, DynamicBatcher

WINDOW = BatchingWindow(max_wait=0.004, max_tokens=1000.0, max_items=8, min_time_left=0.8)


def test_requests_wait_only_if_others_are_likely_and_not_past_their_deadline() -> None:
    batcher = DynamicBatcher(WINDOW)
    # No request of this key has been seen, so the first is sent at once.
    assert batcher.add(0.0, "k", "first", 100.0, 1, 4.0) == [["first"]]
    now = 0.0
    for number in range(30):
        now += 0.001
        batcher.add(now, "k", number, 10.0, 1, 4.0)
        batcher.pop_due(now)
    batcher.pop_due(now + 1.0)
    assert batcher.add(now, "k", "a", 100.0, 1, 4.0) == [] and batcher.next_at() == pytest.approx(now + 0.004)
    assert batcher.add(now + 0.001, "k", "b", 100.0, 1, 0.005) == []
    assert batcher.next_at() == pytest.approx(now + 0.002)  # b has 5 ms, of which it may wait a fifth
    assert batcher.add(now + 0.001, "other tenant", "c", 100.0, 1, 4.0) == [["c"]]
    assert batcher.pop_due(now + 0.002) == [["a", "b"]] and batcher.next_at() is None
    assert batcher.add(now + 0.003, "k", "d", 600.0, 1, 4.0) == []
    # Both together exceed the tokens of a group, so d is sent and e waits.
    assert batcher.add(now + 0.003, "k", "e", 600.0, 1, 4.0) == [["d"]]
    assert batcher.remove("k", "e") and not batcher.remove("k", "e") and batcher.next_at() is None


REQUESTS = st.lists(
    st.tuples(
        st.floats(0.0, 0.01),
        st.sampled_from("ab"),
        st.integers(1, 1200),
        st.integers(1, 9),
        st.floats(0.001, 1.0),
    ),
    max_size=80,
)


@given(REQUESTS)
def test_every_request_is_sent_once_and_waits_no_longer_than_it_may(
    requests: list[tuple[float, str, int, int, float]],
) -> None:
    batcher = DynamicBatcher(WINDOW)
    now = 0.0
    sent: list[tuple[float, int]] = []
    arrived = {}
    for number, (gap, key, tokens, items, time_left) in enumerate(requests):
        now += gap
        while (at := batcher.next_at()) is not None and at <= now:
            for group in batcher.pop_due(at):
                sent += [(at, request) for request in group]
        arrived[number] = now, time_left
        for group in batcher.add(now, key, number, float(tokens), items, time_left):
            assert len(group) == 1 or sum(requests[request][2] for request in group) <= WINDOW.max_tokens
            sent += [(now, request) for request in group]
    while (at := batcher.next_at()) is not None:
        sent += [(at, request) for group in batcher.pop_due(at) for request in group]
    assert sorted(request for _, request in sent) == list(range(len(requests)))
    for at, request in sent:
        since, time_left = arrived[request]
        assert at - since <= min(WINDOW.max_wait, time_left * (1.0 - WINDOW.min_time_left)) + 1e-6
