"""A relay with a defect that was put there: what a fault soak misses of these it would miss of others too.

`$PLANTED_FAULT` names one; run as `hub-soak run --program myrtlehub.lab.fault_soak.planted_faults`.
"""

import os
from collections.abc import Callable
from typing import Any

from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.http1.headers import Header
from myrtlehub.http1.listener import ConnectionListener
from myrtlehub.http1.server_connection import ServerConnection
from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.relay.__main__ import main as run_relay
from myrtlehub.relay.discovery.discovery_client import DiscoveryClient
from myrtlehub.relay.engines import state_release
from myrtlehub.relay.engines.engine_client import EngineClient
from myrtlehub.relay.engines.engine_directory import EngineDirectory
from myrtlehub.relay.engines.state_release import StateRelease, StateReleaser
from myrtlehub.relay.monitoring.invariant_monitor import InvariantMonitor
from myrtlehub.routing.policy import admission, retries, router
from myrtlehub.state import invariants

VARIABLE = "PLANTED_FAULT"


def _always(*_: Any, **__: Any) -> bool:  # noqa: ANN401
    return True


def _nothing(*_: Any, **__: Any) -> None:  # noqa: ANN401
    """Do nothing."""


def _without_guard() -> None:
    """Send whatever has changed since the decision."""
    EngineClient._send_facts = lambda self, attempt, time_left: invariants.SendFacts(
        client_is_present=True,
        time_left=1.0,
        engine_is_serving=True,
        is_in_slow_start_share=True,
        may_run=True,
    )


def release_once() -> None:
    """Try a release once, whatever comes of it."""
    StateRelease._on_end = lambda self, succeeded, body: self._finish()
    state_release.RELEASE_TIMEOUT_S = 0.0


def never_release_again() -> None:
    """Send no second release where an attempt may have ended after the first."""
    StateReleaser._release_again = _nothing


def told_at_decision() -> None:
    """Tell engines the time that was left when the attempt was decided, and some more."""
    original = EngineClient._at_first_byte

    def at_first_byte(self: EngineClient, attempt: Any, request: Any) -> Any:  # noqa: ANN401
        request = original(self, attempt, request)
        if request is None:
            return None
        told_ms = int((attempt.times_out_at - attempt.sequence.accepted_at) * 1000)
        headers = [*request.headers[:-1], Header(b"x-remaining-ms", b"%d" % told_ms)]
        return request._replace(headers=headers)

    EngineClient._at_first_byte = at_first_byte


def retry_after_window() -> None:
    """Retry deduplicated work whenever."""
    _without_guard()
    for module in (retries, admission, router.retries):
        module.may_run_at = lambda sequence, engine, now, config: (
            not (
                sequence.traffic.retry_semantics == retries.RetrySemantics.AT_MOST_ONCE
                and sequence.possible_run
            )
        )


def retry_at_most_once() -> None:
    """Retry what may run at most once."""
    _without_guard()
    for module in (retries, admission, router.retries):
        module.may_run_at = _always


def send_after_the_client() -> None:
    """Go on for clients that have left."""
    _without_guard()
    ActionExecutor.client_left = _nothing


def ignore_drains() -> None:
    """Send to engines that drain."""
    _without_guard()
    EngineDirectory.is_serving = _always
    original = ActionExecutor.update_endpoints

    def update_endpoints(self: ActionExecutor, rows: Any, *more: Any) -> None:  # noqa: ANN401
        serving = [row._replace(state="serving") if row.state == "draining" else row for row in rows]
        original(self, serving, *more)

    ActionExecutor.update_endpoints = update_endpoints


def close_open_requests() -> None:
    """Close connections with open requests as the process drains."""

    def drain(self: ServerConnection) -> None:
        self.linger(CloseReason.DRAINING)

    ServerConnection.drain = drain


def stop_watching() -> None:
    """Follow discovery no more once it has failed."""
    DiscoveryClient._on_failure = _nothing


def swallow_ends() -> None:
    """Pass some streams' ends on to nobody."""
    original = ServerExchange.finish

    def finish(self: ServerExchange) -> None:
        if id(self) % 64 > 16:
            original(self)

    ServerExchange.finish = finish


def close_for_room() -> None:
    """Close clients' connections at random moments, whatever is open on them."""
    original = ConnectionListener.connection_opened

    def connection_opened(self: ConnectionListener, connection: ServerConnection) -> None:
        original(self, connection)
        first = next(iter(self.connections))
        if len(self.connections) % 5 == 0 and first is not connection:
            first.drop()

    ConnectionListener.connection_opened = connection_opened


def never_answer_late() -> None:
    """Wake nobody whose deadline has passed."""
    router.Router._place_waiting = _nothing
    InvariantMonitor._check = _nothing


FAULTS: dict[str, Callable[[], None]] = {
    fault.__name__: fault
    for fault in (
        release_once,
        never_release_again,
        told_at_decision,
        retry_after_window,
        retry_at_most_once,
        send_after_the_client,
        ignore_drains,
        close_open_requests,
        stop_watching,
        swallow_ends,
        close_for_room,
        never_answer_late,
    )
}


def main() -> None:
    """Plant the fault, then run the relay."""
    FAULTS[os.environ[VARIABLE]]()
    run_relay()


if __name__ == "__main__":
    main()
