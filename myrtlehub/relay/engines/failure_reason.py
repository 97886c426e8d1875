"""Reasons for which attempts fail."""

from enum import StrEnum


class FailureReason(StrEnum):
    """Why an attempt failed; the values are logged, and documented in docs/operators/relay.md."""

    MALFORMED_EVENT = "malformed_event"
    ENGINE_ERROR = "engine_error"
    BODY_TOO_LARGE = "body_too_large"
    MEMORY_LIMIT = "memory_limit"
    TRUNCATED_STREAM = "truncated_stream"
    TRUNCATED_BODY = "truncated_body"
    INCOMPLETE_EVENT_TIMEOUT = "incomplete_event_timeout"
    SILENCE_TIMEOUT = "silence_timeout"
    NOT_SENT = "not_sent"
    CONNECTION_FAILED = "connection_failed"
    MALFORMED_RESPONSE = "malformed_response"
    OVERSIZED_RESPONSE = "oversized_response"
