"""Exceptions of the relay."""


class RelayError(Exception):
    """Base class of the relay's exceptions."""


class MalformedJsonError(RelayError, ValueError):
    """The bytes are not JSON, or their nesting is too deep."""


class SettingsError(RelayError, ValueError):
    """The node settings cannot be used. The message names the key, the fault and the remedy."""


class EndpointListError(RelayError, ValueError):
    """The endpoint list cannot be used. The message names the key."""


class EventStreamError(RelayError, ValueError):
    """An engine's response body is not a valid stream of server-sent events."""


class RejectedRequestError(RelayError):
    """A client's request is malformed. It has not been executed.

    Attributes:
        status: HTTP status of the response to the client.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
