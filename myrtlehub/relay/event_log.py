"""The log of events where nobody reads it; `node.protocols.Log` says what a log is."""


def no_log(event: str, **fields: object) -> None:
    """Write nothing."""
