"""The pools of connections to engines."""

from typing import NamedTuple

from myrtlehub.http1.connection_pool import ConnectionPool


class EngineConnections(NamedTuple):
    """Connections to engines, in two pools with a limit each.

    Releases free what attempts occupy, so attempts must not be able to use up the connections of releases
    (`test_a_state_is_released_while_attempts_use_all_connections`).

    Attributes:
        attempts: For attempts and load probes.
        cleanup: For releases of read state and arrival checks.
    """

    attempts: ConnectionPool
    cleanup: ConnectionPool

    def close_idle(self, engine: str) -> None:
        """Close the idle connections to an engine."""
        for pool in self:
            pool.close_idle(engine)
