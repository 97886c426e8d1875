"""Entries that expire by their age, or because there are too many."""

from twisted.internet.task import Clock

from myrtlehub.relay.engines.recent_entries import RecentEntries


def test_entries_expire_by_age_and_the_oldest_go_if_there_are_too_many() -> None:
    clock = Clock()
    entries: RecentEntries[int] = RecentEntries(clock, max_age=10.0, max_count=3)
    entries.add("a", 1)
    clock.advance(6.0)
    entries.add("b", 2)
    assert entries.get("a") == 1 and "b" in entries and entries.get("c") is None
    clock.advance(6.0)
    assert "a" not in entries and "b" in entries
    entries.add("b", 3)  # its age begins anew
    clock.advance(6.0)
    assert entries.get("b") == 3 and len(entries) == 1
    for name in "cde":
        entries.add(name, 0)
    assert "b" not in entries and len(entries) == 3
