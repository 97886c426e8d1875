"""For Twisted, over our own channel, which knows what was surely never processed."""

import random
from collections.abc import Callable, Iterable

from twisted.internet.defer import Deferred

from myrtlehub.client.promise import Ask, End, NotAnswered, Tries, end_of
from myrtlehub.proto import chat_pb2 as pb
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Code, Status


class _Try(CallWatcher):
    def __init__(self, stream: "Stream") -> None:
        self.stream = stream
        self.end: End | None = None

    def headers(self, meta: tuple) -> None:
        self.stream.tries.told(meta)

    def message(self, data: bytes) -> None:
        reply = pb.GenerateReply.FromString(data)
        final = end_of(reply)
        if final is not None:
            self.end = final
            return
        self.stream.tries.tokens += len(reply.tokens.ids)
        self.stream.on_tokens(tuple(reply.tokens.ids))

    def ended(self, status: Status) -> None:
        end = self.end
        if end is None:
            said = f"{status.code.name}: {status.message}"
            end = (
                End("invalid", said=status.message)
                if status.code == Code.INVALID_ARGUMENT
                else End("aborted", said=said)
                if status.code == Code.ABORTED  # another node has it
                else End("lost", said=said, unprocessed=status.unprocessed)
            )
        self.stream.over(end)


class Stream:
    """One request under way. `done` fires with Generated, or with Rejected, Aborted, InvalidRequestError.

    Cancelling `done` stops the node and its engines as well. `pauseProducing` and `resumeProducing` hold
    up the tokens at their source.
    """

    def __init__(self, client: "Client", ask: Ask, on_tokens: Callable[[tuple[int, ...]], None]) -> None:
        self.client, self.on_tokens = client, on_tokens
        self.tries = Tries(ask, client.clock.seconds(), client.random)
        self.done: Deferred = Deferred(lambda ignored: self._stop())
        self._call = self._timer = None
        self._start()

    def _start(self) -> None:
        tries, now = self.tries, self.client.clock.seconds()
        self._timer = None
        channels = self.client.channels
        self._call = channels[tries.place % len(channels)].call(
            tries.path(), _Try(self), timeout=max(0.001, tries.until - now)
        )
        self._call.send(tries.request(now).SerializeToString())
        self._call.half_close()

    def over(self, end: End) -> None:
        """A try ended."""
        if self.done.called:
            return
        tries = self.tries
        wait = tries.again(end, self.client.clock.seconds())
        if wait is not None:
            self._timer = self.client.clock.callLater(wait, self._start)
            return
        try:
            self.done.callback(tries.result(end))
        except NotAnswered as fault:
            self.done.errback(fault)

    def _stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._call.cancel()

    def pauseProducing(self) -> None:  # noqa: N802
        """Take nothing more for now."""
        self._call.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on."""
        self._call.resumeProducing()


class Client:
    """Sequences at one node, on a channel of the caller's.

    `others`: nodes at which it resumes what the first one lost.
    """

    def __init__(
        self,
        channel: Channel,
        clock: object,
        draw: Callable[[], float] = random.random,
        others: Iterable[Channel] = (),
    ) -> None:
        self.channels, self.clock, self.random = [channel, *others], clock, draw

    def generate(self, ask: Ask, on_tokens: Callable[[tuple[int, ...]], None]) -> Stream:
        """Ask; `on_tokens` is called with each message's token ids."""
        return Stream(self, ask, on_tokens)
