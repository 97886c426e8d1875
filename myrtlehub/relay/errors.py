"""Exceptions of the relay."""


class RelayError(Exception):
    """Base class of the relay's exceptions."""


class MalformedJsonError(RelayError, ValueError):
    """The data is not JSON, or is nested too deeply."""


class SettingsError(RelayError, ValueError):
    """The node settings are invalid. The message names the key, the error and how to correct it."""


class EndpointListError(RelayError, ValueError):
    """The endpoint list is invalid. The message names the key and the error."""


class EventStreamError(RelayError, ValueError):
    """The body of an engine's response is not a valid stream of server-sent events."""


class RejectedRequestError(RelayError):
    """A client's request is malformed and is rejected without being executed.

    Attributes:
        status: HTTP status of the response to the client.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class AttemptEndedError(RelayError):
    """An operation needs an attempt's request, but the attempt has ended."""

    def __init__(self, sequence_id: str, attempt_number: int) -> None:
        super().__init__(f"attempt {attempt_number} of sequence {sequence_id} has ended")


class UnknownRequestTypeError(RelayError, TypeError):
    """The request of a sequence was not made by the relay's request decoder."""

    def __init__(self, sequence_id: str) -> None:
        super().__init__(f"the request of sequence {sequence_id} is not an EngineRequest")
