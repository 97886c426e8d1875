"""Handlers of unary, server-streaming and client-streaming methods."""

from collections.abc import Callable
from functools import partial

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, RpcError

Handler = Callable[[ServerCall], Receiver]
Reply = bytes | Deferred[bytes]


class _ReplySender:
    """Sends the single reply of a call, which may be a Deferred, and ends the call."""

    def __init__(self, call: ServerCall) -> None:
        self._call = call
        self._reply: Deferred[bytes] | None = None

    def run(self, method: Callable[[], Reply]) -> None:
        """Run a method and send its reply."""
        self._reply = maybeDeferred(  # type: ignore[call-overload]  # no overload accepts a union of results
            method
        )
        self._reply.addCallbacks(self._send, self._fail)

    def _send(self, reply: bytes) -> None:
        self._call.send(reply)
        self._call.finish()

    def _fail(self, failure: Failure) -> None:
        if self._call.over:
            return
        if isinstance(failure.value, RpcError):
            self._call.fail(failure.value)
        else:
            self._call.fail_with_internal_error(failure)

    def cancel(self) -> None:
        """Cancel a pending reply."""
        if self._reply is not None:
            self._reply.addErrback(lambda failure: None)
            self._reply.cancel()


class _SingleRequest(Receiver):
    """Receiver of exactly one request message, which has to be complete in time."""

    def __init__(self, call: ServerCall) -> None:
        self._call = call
        self._request: bytes | None = None
        self._timer = call.clock.callLater(call.request_timeout, self._on_timeout)

    def _on_timeout(self) -> None:
        self._call.fail(RpcError(Code.DEADLINE_EXCEEDED, "the request was not complete in time"))

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()

    def message(self, data: bytes) -> None:
        """Store the request; a second one is an error."""
        if self._request is not None:
            raise RpcError(Code.UNIMPLEMENTED, "more than one request message on a call that takes one")
        self._request = data

    def finished(self) -> None:
        """Run the method with the request."""
        self._stop_timer()
        if self._request is None:
            raise RpcError(Code.UNIMPLEMENTED, "no request message on a call that takes one")
        self._run(self._request)

    def _run(self, request: bytes) -> None:
        raise NotImplementedError


class _UnaryCall(_SingleRequest):
    def __init__(self, call: ServerCall, method: Callable[[ServerCall, bytes], Reply]) -> None:
        super().__init__(call)
        self._method = method
        self._sender = _ReplySender(call)

    def _run(self, request: bytes) -> None:
        self._sender.run(partial(self._method, self._call, request))

    def lost(self, code: Code) -> None:
        """Cancel the reply."""
        self._stop_timer()
        self._sender.cancel()


class _ServerStreamCall(_SingleRequest):
    def __init__(self, call: ServerCall, method: Callable[[ServerCall, bytes], Receiver | None]) -> None:
        super().__init__(call)
        self._method = method
        self._receiver: Receiver | None = None

    def _run(self, request: bytes) -> None:
        self._receiver = self._method(self._call, request)

    def lost(self, code: Code) -> None:
        """Forward to the receiver that the method returned, if any."""
        self._stop_timer()
        if isinstance(self._receiver, Receiver):
            self._receiver.lost(code)


class _ClientStreamCall(Receiver):
    def __init__(self, call: ServerCall, method: Callable[[ServerCall, list[bytes]], Reply]) -> None:
        self._call = call
        self._method = method
        self._requests: list[bytes] = []
        self._sender = _ReplySender(call)

    def message(self, data: bytes) -> None:
        """Add a request."""
        self._requests.append(data)

    def finished(self) -> None:
        """Run the method with all requests."""
        self._sender.run(partial(self._method, self._call, self._requests))

    def lost(self, code: Code) -> None:
        """Cancel the reply."""
        self._sender.cancel()


def unary(method: Callable[[ServerCall, bytes], Reply]) -> Handler:
    """Return the handler of a unary method, whose reply may be a Deferred."""
    return lambda call: _UnaryCall(call, method)


def server_stream(method: Callable[[ServerCall, bytes], Receiver | None]) -> Handler:
    """Return the handler of a server-streaming method.

    The method sends the replies and finishes the call. A Receiver that it returns is notified if the call is
    `lost`.
    """
    return lambda call: _ServerStreamCall(call, method)


def client_stream(method: Callable[[ServerCall, list[bytes]], Reply]) -> Handler:
    """Return the handler of a client-streaming method, which gets all requests at the end of the stream."""
    return lambda call: _ClientStreamCall(call, method)
