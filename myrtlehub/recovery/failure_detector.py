"""Failure detector: one node suspects others to have failed when their heartbeats stop.

The timeout is fixed. Heartbeats arrive every `HEARTBEAT_INTERVAL` on an open connection, so the adaptive
timeout of a phi-accrual detector (Hayashibara and others, 2004) would only converge to this constant.

A check that runs late suspects no node. The observer itself was paused or had no processor time, so it may
not have read heartbeats that have arrived.
"""

from typing import NamedTuple

HEARTBEAT_INTERVAL = 0.25  # seconds
HEARTBEAT_TIMEOUT = 1.5  # seconds: six intervals, longer than the pauses of a busy process
MAX_CHECK_DELAY = 0.2  # seconds; a check that runs later than this suspects no node


class Heartbeat(NamedTuple):
    """The last heartbeat received from a node."""

    incarnation: str
    received_at: float  # seconds on the observer's clock


class SuspectedNode(NamedTuple):
    """A node suspected to have failed, and the incarnation that sent its last heartbeat."""

    node: str
    incarnation: str


class FailureDetector:
    """Stores the last heartbeat of each other node; `check` is called once per heartbeat interval."""

    def __init__(self, now: float, heartbeat_timeout: float = HEARTBEAT_TIMEOUT) -> None:
        self.heartbeat_timeout = heartbeat_timeout
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
        """Return whether this incarnation sent the node's last heartbeat and was not removed since."""
        heartbeat = self.heartbeats.get(node)
        return heartbeat is not None and heartbeat.incarnation == incarnation

    def forget(self, node: str) -> None:
        """Remove a node, for example after its failure was handled."""
        self.heartbeats.pop(node, None)

    def check(self, now: float) -> list[SuspectedNode]:
        """Return the suspected nodes; each check returns a node again until it is removed by `forget`."""
        delay = now - self.next_check_at
        self.next_check_at = now + HEARTBEAT_INTERVAL
        if delay > MAX_CHECK_DELAY:
            self._limit_heartbeat_ages(now)
            return []
        return [
            SuspectedNode(node, heartbeat.incarnation)
            for node, heartbeat in self.heartbeats.items()
            if now - heartbeat.received_at > self.heartbeat_timeout
        ]

    def _limit_heartbeat_ages(self, now: float) -> None:
        """Treat the last heartbeat of each node as received no more than two intervals ago.

        Otherwise an observer that was paused for longer than the timeout would suspect nodes whose
        heartbeats arrived during the pause and are still unread
        (`test_a_failure_detector_that_checks_late_suspects_no_node`).
        """
        earliest = now - 2.0 * HEARTBEAT_INTERVAL
        self.heartbeats = {
            node: heartbeat._replace(received_at=max(heartbeat.received_at, earliest))
            for node, heartbeat in self.heartbeats.items()
        }
