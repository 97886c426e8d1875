"""The token bucket of working time."""

from twisted.internet.task import Clock

from myrtlehub.limits.time_bucket import TimeBucket


def begun_pieces(clock: Clock, bucket: TimeBucket, piece_s: float, seconds: float, step_s: float) -> int:
    """Begin pieces of work as often as allowed; return their number."""
    count = 0
    until = clock.seconds() + seconds
    while clock.seconds() < until:
        if bucket.try_begin():
            clock.advance(piece_s)
            bucket.end()
            count += 1
        else:
            clock.advance(step_s)
    return count


def test_work_takes_its_share_of_the_time_however_long_a_piece_is() -> None:
    for piece_s in (0.0001, 0.002, 0.03, 0.4):
        clock = Clock()
        bucket = TimeBucket(clock, share=0.25, capacity=0.01)
        work_s = piece_s * begun_pieces(clock, bucket, piece_s, seconds=40.0, step_s=0.0005)
        assert 0.24 * 40.0 < work_s < 0.26 * 40.0 + piece_s, piece_s


def test_unused_time_adds_up_to_the_capacity_only() -> None:
    clock = Clock()
    bucket = TimeBucket(clock, share=0.5, capacity=0.01)
    clock.advance(60.0)
    begun = 0
    while bucket.try_begin():
        clock.advance(0.003)
        bucket.end()
        begun += 1
    assert begun == 7  # 10 ms, and half of the time that the work takes


def test_work_goes_on_after_one_that_ended_without_notice() -> None:
    clock = Clock()
    bucket = TimeBucket(clock, share=0.5, capacity=0.01)
    assert bucket.try_begin()  # raised an exception
    clock.advance(1.0)
    assert bucket.try_begin()
    bucket.end()
    assert bucket.try_begin()
