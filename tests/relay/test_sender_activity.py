"""The decision whether an engine still sends its stream."""

import pytest

from myrtlehub.relay.engines.sender_activity import (
    FIRST_EVENT_TIMEOUT_S,
    MIN_PARTIAL_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    SenderActivity,
    due_at,
)

SILENT = SenderActivity(
    last_event_at=100.0,
    last_content_at=100.0,
    longest_pause_s=0.1,
    has_begun=True,
    is_within_event=False,
    has_content_end=False,
    may_retry=True,
)
WITHIN_EVENT = SILENT._replace(is_within_event=True)
FIRST = WITHIN_EVENT._replace(has_begun=False)


@pytest.mark.parametrize(
    ("activity", "due"),
    [
        (SILENT, 100.0 + SILENCE_TIMEOUT_S),
        (SILENT._replace(last_content_at=104.0), 100.0 + SILENCE_TIMEOUT_S),
        (WITHIN_EVENT._replace(last_content_at=101.0), 100.0 + SILENCE_TIMEOUT_S),
        (WITHIN_EVENT._replace(last_content_at=104.0), 104.0 + MIN_PARTIAL_TIMEOUT_S),
        (WITHIN_EVENT._replace(last_content_at=104.0, longest_pause_s=4.0), 104.0 + SILENCE_TIMEOUT_S),
        (WITHIN_EVENT._replace(last_content_at=104.0, has_content_end=True), 100.0 + SILENCE_TIMEOUT_S),
        (FIRST._replace(last_content_at=104.0), 104.0 + FIRST_EVENT_TIMEOUT_S),
        (FIRST._replace(last_content_at=104.0, may_retry=False), 104.0 + SILENCE_TIMEOUT_S),
        (FIRST._replace(is_within_event=False), 100.0 + SILENCE_TIMEOUT_S),
    ],
)
def test_a_stream_is_due_when_its_engine_has_been_silent_for_too_long(
    activity: SenderActivity, due: float
) -> None:
    assert due_at(activity) == pytest.approx(due)
