"""Fair share: the shares of fronts in common engines."""

from myrtlehub.limits.fair_share import FairShare


def test_a_flood_of_requests_does_not_increase_a_share_of_common_engines() -> None:
    shares = FairShare({"chat": 1.0, "embed": 1.0})
    now = 100.0
    shares.common_capacity = 10000.0
    shares.add_demand(now, "embed", 1000.0)
    assert shares.share(now, "embed") == 1.0  # the only front with demand
    shares.add_demand(now, "chat", 5000.0)
    share_before_flood = shares.share(now, "embed")
    shares.add_demand(now, "embed", 500_000.0)
    assert share_before_flood < shares.share(now, "embed") <= 0.5
    assert shares.may_send(now, "embed", 1e6)  # one engine batch may always be sent
    shares.record_sent("embed", 5000.0)
    assert not shares.may_send(now, "embed", 10.0)
    shares.enqueue("embed", "p", 10.0)
    shares.enqueue("embed", "q", 10.0)
    shares.cancel("embed", "p")
    assert shares.next_batch(now, "embed") is None
    shares.set_engine_count("embed", 3, 2)
    assert shares.max_batches["embed"] == 6
    shares.record_done("embed", 4000.0)
    assert shares.next_batch(now, "embed") == "q" and shares.tokens_in_flight["embed"] == 1010.0
    assert shares.share(now + 8.0, "embed") <= 0.5
    assert shares.share(now + 60.0, "embed") == 1.0  # the other front is idle
