"""Failure detector: the nodes that one node suspects to have failed, by their missing heartbeats.

The timeout is fixed. Heartbeats arrive every `HEARTBEAT_INTERVAL` on an open connection, so a phi-accrual
detector (Hayashibara and others, 2004) would only learn this constant.

A check that runs late suspects no node: the observer itself was paused or had no processor time, so
heartbeats may have arrived that it has not read yet.
"""

from typing import NamedTuple

HEARTBEAT_INTERVAL = 0.25  # seconds
SILENCE_TIMEOUT = 1.5  # seconds without a heartbeat: six intervals, longer than a busy process pauses
MAX_CHECK_DELAY = 0.2  # seconds; a check that runs later than this suspects no node


class Heartbeat(NamedTuple):
    """The last heartbeat of a node."""

    incarnation: str
    received_at: float  # seconds on the observer's clock


class SuspectedNode(NamedTuple):
    """A node that is suspected to have failed, and the incarnation that sent its last heartbeat."""

    node: str
    incarnation: str


class FailureDetector:
    """The last heartbeats of other nodes, checked once per heartbeat interval."""

    def __init__(self, now: float, silence_timeout: float = SILENCE_TIMEOUT) -> None:
        self.silence_timeout = silence_timeout
        self.heartbeats: dict[str, Heartbeat] = {}  # by node
        self.next_check_at = now + HEARTBEAT_INTERVAL

    def record_heartbeat(self, node: str, incarnation: str, now: float) -> str | None:
        """Record a heartbeat.

        Returns:
            The incarnation that this one replaces; None if the node was unknown or has not restarted.
        """
        previous = self.heartbeats.get(node)
        self.heartbeats[node] = Heartbeat(incarnation, now)
        if previous is None or previous.incarnation == incarnation:
            return None
        return previous.incarnation

    def is_alive(self, node: str, incarnation: str) -> bool:
        """Return whether this incarnation sent the node's last heartbeat and has not been forgotten."""
        heartbeat = self.heartbeats.get(node)
        return heartbeat is not None and heartbeat.incarnation == incarnation

    def forget(self, node: str) -> None:
        """Remove a node, for example once its failure was handled."""
        self.heartbeats.pop(node, None)

    def check(self, now: float) -> list[SuspectedNode]:
        """Return the suspected nodes; a node is returned by every check until it is forgotten."""
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
        """Treat the last heartbeat of each node as received no more than two intervals ago.

        Protects against this sequence: the observer pauses for longer than the timeout, resumes, and checks
        before it has read the heartbeats that arrived meanwhile
        (`test_a_failure_detector_that_checks_late_suspects_no_node`).
        """
        earliest = now - 2.0 * HEARTBEAT_INTERVAL
        self.heartbeats = {
            node: heartbeat._replace(received_at=max(heartbeat.received_at, earliest))
            for node, heartbeat in self.heartbeats.items()
        }
