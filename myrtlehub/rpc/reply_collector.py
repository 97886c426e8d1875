"""Collects the replies of a call into a Deferred."""

from twisted.internet.defer import Deferred

from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Code, RpcError, Status


class ReplyCollector(CallWatcher):
    """Watcher that fires a Deferred with all replies of a call, or with an RpcError."""

    def __init__(self, deferred: Deferred[list[bytes]]) -> None:
        self._deferred = deferred
        self._replies: list[bytes] = []

    def message(self, data: bytes) -> None:
        """Add a reply."""
        self._replies.append(data)

    def ended(self, status: Status) -> None:
        """Fire the Deferred, unless it has been cancelled."""
        if self._deferred.called:
            return
        if status.code == Code.OK:
            self._deferred.callback(self._replies)
        else:
            self._deferred.errback(RpcError(status.code, status.message, status))


def single_reply(replies: list[bytes]) -> bytes:
    """Return the single reply of a unary call.

    Raises:
        RpcError: INTERNAL, if there is not exactly one.
    """
    if len(replies) != 1:
        raise RpcError(Code.INTERNAL, f"expected one reply, received {len(replies)}")
    return replies[0]
