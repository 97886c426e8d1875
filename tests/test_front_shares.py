"""Shares of the fronts on common engines."""

from myrtlehub.limits.shares import FrontShares


def test_a_flood_buys_no_larger_share_of_common_engines() -> None:
    shares, now = FrontShares({"chat": 1.0, "embed": 1.0}), 100.0
    shares.room = 10000.0
    shares.asked(now, "embed", 1000.0)
    assert shares.share(now, "embed") == 1.0  # alone
    shares.asked(now, "chat", 5000.0)
    few = shares.share(now, "embed")
    shares.asked(now, "embed", 500_000.0)
    assert few < shares.share(now, "embed") <= 0.5
    assert shares.may_send(now, "embed", 1e6)  # one piece may always go
    shares.sent("embed", 5000.0)
    assert not shares.may_send(now, "embed", 10.0)
    shares.wait("embed", "p", 10.0)
    shares.wait("embed", "q", 10.0)
    shares.drop("embed", "p")
    assert shares.next(now, "embed") is None
    shares.serve("embed", 3, 2)
    assert shares.most["embed"] == 6
    shares.came("embed", 4000.0)
    assert shares.next(now, "embed") == "q" and shares.out["embed"] == 1010.0
    assert shares.share(now + 8.0, "embed") <= 0.5
    assert shares.share(now + 60.0, "embed") == 1.0  # nobody has asked for long
