"""What each end of a try means, and whether it may be tried again: pure, the same for all three clients."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from myrtlehub.proto import chat_pb2 as pb

PATH, RESUME = "/myrtlehub.v1.Chat/Generate", "/myrtlehub.v1.Chat/Resume"
SEQUENCE, RESUMES = "myrtle-seq", "myrtle-resume"  # metadata: a sequence's id; one may come back for it
COME_BACKS = 12  # at most, of one request: whoever finds no node by then has lost the fleet
REPEATABLE, TOKENED, ONCE_ONLY = "repeatable", "tokened", "once-only"


@dataclass(frozen=True)
class Ask:
    """One request. `repeats` is what the node's file says of the traffic type; when in doubt, once-only.

    `first_within` bounds the wait for the first token of a try, `within` all of it with every try, in
    seconds.
    """

    traffic_type: str
    prompt_tokens: int
    most_output: int
    prompt: bytes = b""
    repeats: str = ONCE_ONLY
    mark: str = ""
    tenant: str = ""
    session: str = ""
    shared_prefix: str = ""
    shared_tokens: int = 0
    first_within: float = 0.0
    within: float = 60.0
    tries: int = 3

    def message(self, attempt: int) -> pb.GenerateRequest:
        """The request of a try, counted from 0."""
        return pb.GenerateRequest(
            traffic_type=self.traffic_type,
            tenant=self.tenant,
            session=self.session,
            shared_prefix=self.shared_prefix,
            shared_tokens=self.shared_tokens,
            prompt_tokens=self.prompt_tokens,
            most_output=self.most_output,
            time_left_ms=int(self.first_within * 1000),
            mark=self.mark,
            repeated=attempt > 0,
            prompt=self.prompt,
            may_move=True,
        )


class Generated(NamedTuple):
    """The whole answer came."""

    tokens: int
    tries: int


class NotAnswered(Exception):
    """Base of the ends that are no answer. `tokens_seen` had come before."""

    def __init__(self, said: str, tokens_seen: int = 0, tries: int = 1) -> None:
        super().__init__(said)
        self.tokens_seen, self.tries = tokens_seen, tries


class Rejected(NotAnswered):
    """Nothing ran, or a repeat does no harm: the same request may come again, best after `wait` seconds."""

    wait = 0.0


class Aborted(NotAnswered):
    """No promise: it may have run. A once-only request must not be sent again without a person's word."""


class InvalidRequestError(NotAnswered):
    """The request is malformed; it was not taken and nothing ran. The text names the field."""


class End(NamedTuple):
    """How one try ended, as its transport saw it."""

    answer: str  # generated, rejected, aborted, moved, invalid, or lost: without a final answer
    wait: float = 0.0
    said: str = ""
    unprocessed: bool = False  # known never to have reached the node's program
    count: int = 0  # tokens of a generated answer, as the node counted


def end_of(reply: pb.GenerateReply) -> End | None:
    """The end that a reply is, None for tokens."""
    which = reply.WhichOneof("reply")
    if which == "tokens":
        return None
    if which == "generated":
        return End("generated", count=reply.generated.tokens)
    if which == "rejected":
        return End("rejected", reply.rejected.wait_ms / 1000.0, "rejected")
    if which == "moved":
        return End("moved", said="its node is leaving")
    return End("aborted", said=reply.aborted.reason or "aborted")


class Tries:
    """The tries of one request. `random` draws in [0, 1): waits are spread, lest all come back together."""

    def __init__(self, ask: Ask, now: float, random: object) -> None:
        self.ask, self.random = ask, random
        self.until = now + ask.within
        self.count = 0  # tries so far
        self.tokens = 0
        self.began = now
        self.sequence = ""  # by which it is known to all nodes, once its node has said so
        self.come_backs = 0
        self.resumes = False  # the next call comes back for it, and does not ask anew
        self.place = 0  # of the node to ask, among those that are known

    def told(self, meta: Iterable[tuple[str, str | bytes]]) -> None:
        """Initial metadata of a call came."""
        known = dict(meta)
        if RESUMES in known:
            self.sequence = known.get(SEQUENCE, "")

    def path(self) -> str:
        """The method of the next call."""
        return RESUME if self.resumes else PATH

    def request(self, now: float) -> pb.GenerateRequest:
        """What the next call asks."""
        request = self.ask.message(self.count)
        if self.resumes:
            request.resume.sequence, request.resume.tokens = self.sequence, self.tokens
            if request.time_left_ms:
                request.time_left_ms = max(1, request.time_left_ms - int((now - self.began) * 1000))
        return request

    def _come_back(self, end: End, now: float) -> float | None:
        """Seconds until it comes back for what its node had in hand; None where there is nothing to come for.

        At another node, where one is known; spread, as all clients of a lost node come at once.
        """
        if not self.sequence or end.answer not in ("lost", "moved") or self.come_backs >= COME_BACKS:
            return None
        self.resumes = True
        self.place += 1
        self.come_backs += 1
        wait = 0.15 * self.random() if self.come_backs == 1 else 0.1 * self.come_backs * (0.5 + self.random())
        return wait if now + wait < self.until else None

    def again(self, end: End, now: float) -> float | None:
        """Seconds after which to try again, or None: `result` then says how it ended.

        A rejected request goes again after the wait named. One that may have run goes again by itself only if
        it is repeatable, and none of its tokens were handed out: they would come twice. Where its node or
        connection was lost it comes back for the rest first, whatever it is.
        """
        back = self._come_back(end, now)
        if back is not None:
            return back
        self.count += 1
        if self.count >= self.ask.tries or self.tokens:
            return None
        # Guards against clients that all come back at once where nodes may name no time to return.
        unnamed = end.answer == "rejected" and not end.wait
        if not unnamed and (end.answer == "rejected" or end.unprocessed):
            wait = max(end.wait, 0.02) * (1.0 + 0.5 * self.random())
        elif unnamed or (end.answer in ("aborted", "lost") and self.ask.repeats == REPEATABLE):
            wait = 0.05 * 2.0**self.count * (0.5 + self.random())
        else:
            return None
        if now + wait >= self.until:
            return None
        # It is another sequence from here on, at another node where one is known: the first may be gone.
        self.resumes, self.sequence, self.began = False, "", now
        self.place += end.answer == "lost"
        return wait

    def result(self, end: End) -> Generated:
        """The value of a generated answer; every other end is raised."""
        if end.answer == "generated":
            return Generated(end.count, self.count)
        kind = {"rejected": Rejected, "invalid": InvalidRequestError}.get(end.answer, Aborted)
        if end.unprocessed:
            kind = Rejected
        fault = kind(end.said, self.tokens, self.count)
        if isinstance(fault, Rejected):
            fault.wait = end.wait
        raise fault
