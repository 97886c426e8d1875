"""Shares of the fronts on common engines."""

from myrtlehub.limits.fair_share import FairShare


def test_a_flood_buys_no_larger_share_of_common_engines() -> None:
    shares, now = FairShare({"chat": 1.0, "embed": 1.0}), 100.0
    shares.common_capacity = 10000.0
    shares.add_demand(now, "embed", 1000.0)
    assert shares.share(now, "embed") == 1.0  # alone
    shares.add_demand(now, "chat", 5000.0)
    few = shares.share(now, "embed")
    shares.add_demand(now, "embed", 500_000.0)
    assert few < shares.share(now, "embed") <= 0.5
    assert shares.may_send(now, "embed", 1e6)  # one piece may always go
    shares.record_sent("embed", 5000.0)
    assert not shares.may_send(now, "embed", 10.0)
    shares.enqueue("embed", "p", 10.0)
    shares.enqueue("embed", "q", 10.0)
    shares.cancel("embed", "p")
    assert shares.next_piece(now, "embed") is None
    shares.set_engine_count("embed", 3, 2)
    assert shares.max_pieces["embed"] == 6
    shares.record_done("embed", 4000.0)
    assert shares.next_piece(now, "embed") == "q" and shares.tokens_in_flight["embed"] == 1010.0
    assert shares.share(now + 8.0, "embed") <= 0.5
    assert shares.share(now + 60.0, "embed") == 1.0  # nobody has asked for long
