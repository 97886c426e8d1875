"""Dynamic batching of small requests: which of them wait, for how long, and with which others."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.batching.dynamic_batcher import BatchingWindow, DynamicBatcher

WINDOW = BatchingWindow(max_wait=0.004, max_tokens=1000.0, max_items=8, min_time_left=0.8)


def test_requests_wait_only_if_others_are_likely_to_join_and_their_deadline_allows_it() -> None:
    batcher = DynamicBatcher(WINDOW)
    # This is the first request of its key, so it is sent without a wait.
    assert batcher.add(0.0, "k", "first", 100.0, 1, 4.0) == [["first"]]
    now = 0.0
    for number in range(30):
        now += 0.001
        batcher.add(now, "k", number, 10.0, 1, 4.0)
        batcher.pop_due(now)
    batcher.pop_due(now + 1.0)
    assert batcher.add(now, "k", "a", 100.0, 1, 4.0) == [] and batcher.next_at() == pytest.approx(now + 0.004)
    assert batcher.add(now + 0.001, "k", "b", 100.0, 1, 0.005) == []
    assert batcher.next_at() == pytest.approx(now + 0.002)  # b has 5 ms left and may wait for a fifth of that
    assert batcher.add(now + 0.001, "other tenant", "c", 100.0, 1, 4.0) == [["c"]]
    assert batcher.pop_due(now + 0.002) == [["a", "b"]] and batcher.next_at() is None
    assert batcher.add(now + 0.003, "k", "d", 600.0, 1, 4.0) == []
    # Together they exceed the tokens of a group, so d is sent and e waits.
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
def test_every_request_is_sent_once_and_within_its_maximum_wait(
    requests: list[tuple[float, str, int, int, float]],
) -> None:
    batcher = DynamicBatcher(WINDOW)
    now = 0.0
    sent: list[tuple[float, int]] = []
    arrivals = {}
    for number, (interval, key, tokens, items, time_left) in enumerate(requests):
        now += interval
        while (send_at := batcher.next_at()) is not None and send_at <= now:
            for group in batcher.pop_due(send_at):
                sent += [(send_at, request) for request in group]
        arrivals[number] = now, time_left
        for group in batcher.add(now, key, number, float(tokens), items, time_left):
            assert len(group) == 1 or sum(requests[request][2] for request in group) <= WINDOW.max_tokens
            sent += [(now, request) for request in group]
    while (send_at := batcher.next_at()) is not None:
        sent += [(send_at, request) for group in batcher.pop_due(send_at) for request in group]
    assert sorted(request for _, request in sent) == list(range(len(requests)))
    for send_at, request in sent:
        arrived_at, time_left = arrivals[request]
        assert send_at - arrived_at <= min(WINDOW.max_wait, time_left * (1.0 - WINDOW.min_time_left)) + 1e-6
