"""Collects the replies of a call for a Deferred."""

from twisted.internet.defer import Deferred

from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Code, RpcError, Status


class ReplyCollector(CallWatcher):
    """Fires a Deferred with all replies of a call, or with an RpcError."""

    def __init__(self, deferred: Deferred[list[bytes]]) -> None:
        self._deferred = deferred
        self._replies: list[bytes] = []

    def message(self, data: bytes) -> None:
        """Collect a reply."""
        self._replies.append(data)

    def ended(self, status: Status) -> None:
        """Fire the Deferred, unless it was cancelled."""
        if self._deferred.called:
            return
        if status.code == Code.OK:
            self._deferred.callback(self._replies)
        else:
            self._deferred.errback(RpcError(status.code, status.message, status))


def single_reply(replies: list[bytes]) -> bytes:
    """Return the only reply of a unary call.

    Raises:
        RpcError: INTERNAL, if there is not exactly one.
    """
    if len(replies) != 1:
        raise RpcError(Code.INTERNAL, f"{len(replies)} replies where one was due")
    return replies[0]
