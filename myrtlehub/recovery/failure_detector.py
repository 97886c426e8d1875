"""Failure detector: which nodes have fallen silent, as one node sees it.

A bound on silence that is the same for all: heartbeats come every `HEARTBEAT_INTERVAL` on an open
connection, so that the usual gap is known and phi-accrual (Hayashibara and others 2004) would learn a
constant, slowly, of each of two or three nodes. What goes wrong is the observer: a process that was itself
paused, or has no core, sees all others late. So whoever checks late suspects nobody, and starts to wait
anew.
"""

from typing import NamedTuple

HEARTBEAT_INTERVAL = 0.25  # seconds
SILENCE_TIMEOUT = 1.5  # seconds until a node counts as failed: six heartbeats, and a pause of a busy process
MAX_CHECK_DELAY = 0.2  # seconds by which a check may be late before what it sees counts for nothing


class Heartbeat(NamedTuple):
    """The last sign of life of a node."""

    incarnation: str
    received_at: float


class SuspectedNode(NamedTuple):
    """A node that fell silent, and the process that was there."""

    node: str
    incarnation: str


class FailureDetector:
    """The last heartbeats of other nodes, checked once per heartbeat interval."""

    def __init__(self, now: float, silence_timeout: float = SILENCE_TIMEOUT) -> None:
        self.silence_timeout = silence_timeout
        self.heartbeats: dict[str, Heartbeat] = {}  # by node
        self.next_check_at = now + HEARTBEAT_INTERVAL

    def record_heartbeat(self, node: str, incarnation: str, now: float) -> str:
        """Take a heartbeat; return the former incarnation if it was another one, or an empty string."""
        former = self.heartbeats.get(node)
        self.heartbeats[node] = Heartbeat(incarnation, now)
        return former.incarnation if former is not None and former.incarnation != incarnation else ""

    def is_alive(self, node: str, incarnation: str) -> bool:
        """Return whether the node's last heartbeat is of this incarnation and not forgotten."""
        heartbeat = self.heartbeats.get(node)
        return heartbeat is not None and heartbeat.incarnation == incarnation

    def forget(self, node: str) -> None:
        """Forget a node that is off the list, or whose failure was dealt with."""
        self.heartbeats.pop(node, None)

    def check(self, now: float) -> list[SuspectedNode]:
        """List the nodes that fell silent; each is listed until it is forgotten."""
        delay = now - self.next_check_at
        self.next_check_at = now + HEARTBEAT_INTERVAL
        if delay > MAX_CHECK_DELAY:
            self._allow_two_more_intervals(now)
            return []
        return [
            SuspectedNode(node, heartbeat.incarnation)
            for node, heartbeat in self.heartbeats.items()
            if now - heartbeat.received_at > self.silence_timeout
        ]

    def _allow_two_more_intervals(self, now: float) -> None:
        earliest = now - 2.0 * HEARTBEAT_INTERVAL
        self.heartbeats = {
            node: heartbeat._replace(received_at=max(heartbeat.received_at, earliest))
            for node, heartbeat in self.heartbeats.items()
        }
