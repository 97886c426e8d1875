"""Errors of the relay."""


class RelayError(Exception):
    """Any error of the relay."""


class MalformedJsonError(RelayError, ValueError):
    """Bytes that are not JSON, or are nested too deep."""


class SettingsError(RelayError, ValueError):
    """Node settings that cannot be used. The text names the key and says what to do."""


class EndpointListError(RelayError, ValueError):
    """An endpoint list that cannot be used. The text names the key."""


class EventStreamError(RelayError, ValueError):
    """A stream of an engine that is no stream of server-sent events."""


class RejectedRequestError(RelayError):
    """A malformed request; nothing of it ran.

    Attributes:
        status: The status of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
