"""A relay with a planted defect, to check that the soak finds defects of that kind.

`$PLANTED_FAULT` names the defect; run as
`hub-soak run --program myrtlehub.lab.fault_soak.planted_faults`.
"""

import os
from collections import abc
from collections.abc import Callable

from myrtlehub.http1.client_connection import ClientConnection
from myrtlehub.http1.client_request import ClientRequest
from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.http1.headers import Header
from myrtlehub.http1.listener import ConnectionListener
from myrtlehub.http1.server_connection import ServerConnection
from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.http1.server_interfaces import AdmittedConnection
from myrtlehub.lab.program_patch import replace_attribute
from myrtlehub.membership.endpoint import Endpoint, EndpointState
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.sequences import Attempt
from myrtlehub.relay.__main__ import main as run_relay
from myrtlehub.relay.discovery.discovery_client import DiscoveryClient
from myrtlehub.relay.engines import response_stream, sender_activity, state_release
from myrtlehub.relay.engines.engine_client import EngineClient
from myrtlehub.relay.engines.engine_directory import EngineDirectory
from myrtlehub.relay.engines.response_stream import ResponseStream
from myrtlehub.relay.engines.sender_activity import SenderActivity
from myrtlehub.relay.engines.state_release import StateRelease, StateReleaser
from myrtlehub.relay.monitoring.invariant_monitor import InvariantMonitor
from myrtlehub.relay.node import RelayNode
from myrtlehub.relay.process.graceful_shutdown import GracefulShutdown
from myrtlehub.routing.contract import RetrySemantics, RouterConfig
from myrtlehub.routing.policy import admission, retries
from myrtlehub.routing.policy.admission import Admission
from myrtlehub.routing.policy.router import Router
from myrtlehub.routing.records import Engine, Sequence
from myrtlehub.state.invariants import SendPreconditions
from myrtlehub.state.response_completeness import ResponseCompleteness

VARIABLE = "PLANTED_FAULT"
SHARE_UNIT = 64  # of object addresses, by which some streams are selected
OMITTED_UP_TO = 16  # of SHARE_UNIT
CONNECTIONS_PER_DROP = 5


def _return_true(*_: object, **__: object) -> bool:
    return True


def _return_false(*_: object, **__: object) -> bool:
    return False


def _do_nothing(*_: object, **__: object) -> None:
    """Do nothing."""


def _skip_check_before_first_byte() -> None:
    """Send attempts even if a send is no longer allowed at its first byte."""

    def send_facts(self: EngineClient, attempt: Attempt, time_left: float) -> SendPreconditions:
        return SendPreconditions(
            client_is_present=True,
            time_left=1.0,
            engine_is_serving=True,
            is_in_slow_start_share=True,
            may_run=True,
        )

    replace_attribute(EngineClient, "_send_facts", send_facts)


def _replace_retry_rule(may_run_at: Callable[..., bool]) -> None:
    for module in (retries, admission):
        replace_attribute(module, "may_run_at", may_run_at)


def do_not_retry_releases() -> None:
    """Send one request for each release, even if it fails."""

    def on_end(self: StateRelease, succeeded: bool, body: bytes) -> None:
        self._finish(state_release.ReleaseResult.EXPIRED)

    replace_attribute(StateRelease, "_on_end", on_end)
    state_release.RELEASE_TIMEOUT_S = 0.0


def omit_second_releases() -> None:
    """Send no second release if an attempt may have ended at its engine after the first one."""
    replace_attribute(StateReleaser, "_release_again", _do_nothing)


def state_initial_time() -> None:
    """Send engines the full time that the client allowed, not what remains of it."""
    original = EngineClient._at_first_byte

    def at_first_byte(self: EngineClient, attempt: Attempt, request: ClientRequest) -> ClientRequest | None:
        changed = original(self, attempt, request)
        if changed is None:
            return None
        initial_ms = int((attempt.times_out_at - attempt.sequence.accepted_at) * 1000)
        headers = [*changed.headers[:-1], Header(b"x-remaining-ms", b"%d" % initial_ms)]
        return changed._replace(headers=headers)

    replace_attribute(EngineClient, "_at_first_byte", at_first_byte)


def ignore_dedup_window() -> None:
    """Retry deduplicated requests even after the end of the dedup window."""
    _skip_check_before_first_byte()

    def may_run_at(sequence: Sequence, engine: Engine, now: float, config: RouterConfig) -> bool:
        is_at_most_once = sequence.traffic.retry_semantics == RetrySemantics.AT_MOST_ONCE
        return not (is_at_most_once and sequence.possible_run)

    _replace_retry_rule(may_run_at)


def ignore_retry_semantics() -> None:
    """Retry requests that may run at most once."""
    _skip_check_before_first_byte()
    _replace_retry_rule(_return_true)


def ignore_disconnects() -> None:
    """Continue requests whose clients have disconnected."""
    _skip_check_before_first_byte()
    replace_attribute(ActionExecutor, "client_disconnected", _do_nothing)


def ignore_draining() -> None:
    """Send attempts to draining engines."""
    _skip_check_before_first_byte()
    replace_attribute(EngineDirectory, "is_serving", _return_true)
    original = ActionExecutor.update_endpoints

    def update_endpoints(
        self: ActionExecutor,
        rows: abc.Sequence[Endpoint],
        is_complete: bool,
        version: int | None = None,
        digest: str | None = None,
    ) -> None:
        serving = [_as_serving(row) for row in rows]
        original(self, serving, is_complete, version, digest)

    replace_attribute(ActionExecutor, "update_endpoints", update_endpoints)


def _as_serving(row: Endpoint) -> Endpoint:
    is_draining = row.state == EndpointState.DRAINING
    return row.with_fields(state=EndpointState.SERVING.value) if is_draining else row


def close_while_draining() -> None:
    """Close connections with open requests when the process starts draining."""

    def drain(self: ServerConnection) -> None:
        self.linger(CloseReason.DRAINING)

    replace_attribute(ServerConnection, "drain", drain)


def stop_discovery_after_failure() -> None:
    """Do not poll discovery any more after its first failure."""
    replace_attribute(DiscoveryClient, "_on_failure", _do_nothing)


def omit_stream_ends() -> None:
    """Do not send the end of some streams."""
    original = ServerExchange.finish

    def finish(self: ServerExchange) -> None:
        if id(self) % SHARE_UNIT > OMITTED_UP_TO:
            original(self)

    replace_attribute(ServerExchange, "finish", finish)


def drop_used_connections() -> None:
    """Close clients' connections now and then, even with open requests."""
    original = ConnectionListener.connection_opened

    def connection_opened(self: ConnectionListener, connection: AdmittedConnection) -> None:
        original(self, connection)
        oldest = next(iter(self.connections))
        if len(self.connections) % CONNECTIONS_PER_DROP == 0 and oldest is not connection:
            oldest.drop()

    replace_attribute(ConnectionListener, "connection_opened", connection_opened)


def ignore_deadlines() -> None:
    """Do not wake up waiting requests, not even to reject them at their deadline."""
    replace_attribute(Router, "_place_waiting", _do_nothing)
    replace_attribute(InvariantMonitor, "_check", _do_nothing)


def trust_sent_attempts() -> None:
    """Count each attempt that was sent as arrived, so that its read state is not released meanwhile."""
    replace_attribute(Admission, "expect_arrival", _do_nothing)
    replace_attribute(InvariantMonitor, "_check_states", _do_nothing)


def accept_until_killed() -> None:
    """Accept requests after SIGTERM for as long as connections are open."""
    replace_attribute(RelayNode, "begin_shutdown", _do_nothing)
    replace_attribute(ServerConnection, "drain", _do_nothing)
    replace_attribute(ServerConnection, "finish", _finish_and_stay_open)


def _finish_and_stay_open(self: ServerConnection) -> None:
    """End a response as if the listener did not drain."""
    was_draining, self.listener.is_draining = self.listener.is_draining, False
    try:
        _original_finish(self)
    finally:
        self.listener.is_draining = was_draining


_original_finish = ServerConnection.finish


def end_at_second_signal() -> None:
    """End the process at once if a signal follows SIGTERM."""
    original = GracefulShutdown.start

    def start(self: GracefulShutdown) -> None:
        if self._is_started:
            self.end()
        original(self)

    replace_attribute(GracefulShutdown, "start", start)


def accept_without_bound() -> None:
    """Accept clients without a bound, so that descriptors run out."""
    replace_attribute(ConnectionListener, "connection_opened", _admit)


def _admit(self: ConnectionListener, connection: AdmittedConnection) -> None:
    self.connections[connection] = None


def trust_framing() -> None:
    """Count a stream as complete when its framing has ended."""
    replace_attribute(ResponseCompleteness, "missing", None)


def ignore_bytes() -> None:
    """Count only complete events as a sign that an engine still sends."""

    def due_at(activity: SenderActivity) -> float:
        return activity.last_event_at + sender_activity.SILENCE_TIMEOUT_S

    replace_attribute(response_stream, "due_at", due_at)


def take_comments_for_events() -> None:
    """Pass comments on before the first event, which ends the client's wait."""

    def feed(self: ResponseStream, data: bytes) -> bytes:
        return self.parser.feed(data)

    replace_attribute(ResponseStream, "feed", feed)


def believe_claims() -> None:
    """Wait for whatever a chunk or a length claims."""
    replace_attribute(ClientConnection, "_announces_too_much", _return_false)


def count_line_ends() -> None:
    """Count each content as a sign that an engine still writes events, line ends too."""

    def due_at(activity: SenderActivity) -> float:
        return activity.last_content_at + sender_activity.SILENCE_TIMEOUT_S

    replace_attribute(response_stream, "due_at", due_at)


# By the value of $PLANTED_FAULT; operators type these names.
PLANT_BY_NAME: dict[str, Callable[[], None]] = {
    "release_once": do_not_retry_releases,
    "never_release_again": omit_second_releases,
    "told_at_decision": state_initial_time,
    "retry_after_window": ignore_dedup_window,
    "retry_at_most_once": ignore_retry_semantics,
    "send_after_the_client": ignore_disconnects,
    "ignore_drains": ignore_draining,
    "close_open_requests": close_while_draining,
    "stop_watching": stop_discovery_after_failure,
    "swallow_ends": omit_stream_ends,
    "close_for_room": drop_used_connections,
    "never_answer_late": ignore_deadlines,
    "trust_sent": trust_sent_attempts,
    "accept_until_killed": accept_until_killed,
    "end_at_second_signal": end_at_second_signal,
    "accept_without_bound": accept_without_bound,
    "trust_framing": trust_framing,
    "ignore_bytes": ignore_bytes,
    "comments_begin": take_comments_for_events,
    "believe_claims": believe_claims,
    "count_line_ends": count_line_ends,
}


def main() -> None:
    """Plant the defect, then run the relay."""
    PLANT_BY_NAME[os.environ[VARIABLE]]()
    run_relay()


if __name__ == "__main__":
    main()
