"""The registry of all log events, and the interface of the function that logs them.

`docs/oncall.md` explains each event; `tests/repository/test_log_events.py` checks that it lists all of them.
Field names follow `docs/glossary.md` and end in the unit if there is one (`duration_s`, `size_bytes`). Common
fields are `sequence_id`, `reason`, `engine`, `peer` and `list_version`.
"""

from enum import StrEnum
from typing import Protocol


class LogEvent(StrEnum):
    """A type of log line; the value is written to the line's field `event`."""

    # Programs
    READY = "ready"
    DRAINING = "draining"
    SHUTDOWN_UNFINISHED = "shutdown_unfinished"
    ENDED = "ended"
    EVENT_LOOP_LAG = "event_loop_lag"
    UNEXPECTED_ERROR = "unexpected_error"

    # Sequences, attempts and engines
    SEQUENCE_ANSWERED = "sequence_answered"
    BATCH_ANSWERED = "batch_answered"
    REQUEST_REJECTED = "request_rejected"
    CLIENT_DISCONNECTED = "client_disconnected"
    CONNECTION_CLOSED = "connection_closed"
    PEER_CONNECTION_CLOSED = "peer_connection_closed"
    ATTEMPT_SENT = "attempt_sent"
    ATTEMPT_ARRIVED = "attempt_arrived"
    ATTEMPT_ENDED = "attempt_ended"
    ATTEMPT_FAILED = "attempt_failed"
    STREAM_BROKEN = "stream_broken"
    SEND_WITHHELD = "send_withheld"
    RELEASE_SENT = "release_sent"
    RELEASE_ENDED = "release_ended"
    ROUTER_NOTE = "router_note"
    ENGINE_STATE_CHANGED = "engine_state_changed"
    ENGINE_OVERLOADED = "engine_overloaded"

    # Endpoint lists and discovery
    ENDPOINT_LIST_ACCEPTED = "endpoint_list_accepted"
    ENDPOINT_LIST_REJECTED = "endpoint_list_rejected"
    ENDPOINT_LIST_DEFERRED = "endpoint_list_deferred"
    FALLBACK_LIST_REJECTED = "fallback_list_rejected"
    VERSION_STORE_READ_FAILED = "version_store_read_failed"
    VERSION_STORE_WRITE_FAILED = "version_store_write_failed"
    DISCOVERY_UNREACHABLE = "discovery_unreachable"
    DISCOVERY_RECOVERED = "discovery_recovered"

    # Settings
    SETTINGS_STAGED = "settings_staged"
    SETTINGS_APPLIED = "settings_applied"
    SETTINGS_RELOADED = "settings_reloaded"
    SETTINGS_RELOAD_FAILED = "settings_reload_failed"
    ADMIN_CALL_REJECTED = "admin_call_rejected"

    # Replication and takeover
    OWNER_LOST = "owner_lost"
    OWNERSHIP_SUPERSEDED = "ownership_superseded"
    TAKEOVER_DECIDED = "takeover_decided"
    TAKEOVER_LIMITED = "takeover_limited"

    # The relay's monitoring and log writer
    COUNTERS = "counters"
    INVARIANT_VIOLATED = "invariant_violated"
    EVENT_RECORDED = "event_recorded"
    EVENT_NOT_ENCODABLE = "event_not_encodable"
    LOG_LINES_DROPPED = "log_lines_dropped"

    # Rollouts, logged by the rollout controller
    CONTROLLER_STARTED = "controller_started"
    JOURNAL_TAIL_DROPPED = "journal_tail_dropped"
    SAMPLES_UNUSABLE = "samples_unusable"
    PHASE_CHANGED = "phase_changed"
    NODE_STATE_CHANGED = "node_state_changed"
    NODE_CALL_REJECTED = "node_call_rejected"
    OPERATOR_NEEDED = "operator_needed"
    PROCESS_KILLED = "process_killed"
    ROLLOUT_ENDED = "rollout_ended"


class Log(Protocol):
    """A function that writes one log line; it never raises."""

    def __call__(self, event: LogEvent, /, **fields: object) -> None:
        """Log an event with its fields, whose values must be encodable as JSON."""


def no_log(event: LogEvent, /, **fields: object) -> None:
    """Discard the event; the default for programs and tests that need no log."""
