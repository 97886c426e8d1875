"""Shares between fronts on engines that serve several of them. Pure; the limits subsystem builds on it.

Engines keep short queues. A batch of thousands is not thrown at them whole: a front has a few pieces out for
each of its engines, all nodes together, and the rest waits here, where it can still be given up at no cost.

Chat's first tokens wait behind whatever a common engine does. What a batch front may have out at common
engines is bounded, by utility: each front's share is its utility a token that is asked of it against that of
all fronts that ask. A front that asks for nothing leaves its share to the others, and one that is alone has
all of it. A front that has engines of its own beside the common ones is shut out of these while it has more
there than its share; one that has none waits here.
"""

from collections import deque
from collections.abc import Hashable

FADE = 5.0  # seconds in which what was asked of a front is half forgotten
AHEAD = 4  # pieces out for each engine of a front, over all nodes: one is done, the others wait there
IDLE = 10.0  # seconds without a request after which a front asks for nothing
EVEN = 0.5  # share from which a front with engines of its own may use common ones beside
LEAST = 0.02  # share that a front with any utility keeps, so that it is never shut out


class FrontShares:
    """What each front has out at common engines, in tokens, against its share of their room."""

    def __init__(self, utility: dict[Hashable, float]) -> None:
        """`utility` a token, by front."""
        self.utility = utility
        self.room = 0.0  # tokens that common engines take at once, this node's part of them
        self.out = dict.fromkeys(utility, 0.0)  # tokens, anywhere
        self.common = dict.fromkeys(utility, 0.0)  # tokens, at common engines
        self.alone = dict.fromkeys(utility, False)  # whether it has engines of its own
        self.shut = dict.fromkeys(utility, False)  # out of the common ones
        self.pieces = dict.fromkeys(utility, 0)  # out, anywhere
        self.most = dict.fromkeys(utility, 0)  # pieces that may be out; 0: any number
        self._asked: dict[Hashable, tuple[float, float]] = {}
        self._waiting: dict[Hashable, deque[tuple[object, float]]] = {f: deque() for f in utility}

    def asked(self, now: float, front: Hashable, tokens: float) -> None:
        """A front is asked for so much work, wherever that will go."""
        self._asked[front] = (self._lately(now, front) + tokens, now)

    def _lately(self, now: float, front: Hashable) -> float:
        count, at = self._asked.get(front, (0.0, now))
        if now - at > IDLE:
            return 0.0  # guards against a share that is kept for nobody: what fades alike stays in proportion
        return count * 0.5 ** ((now - at) / FADE)

    def share(self, now: float, front: Hashable) -> float:
        """Of the common engines' room, by utility asked for; 1 where nobody else asks."""
        worth = {f: self.utility[f] * self._lately(now, f) for f in self.utility}
        others = sum(w for f, w in worth.items() if f != front)
        # What others ask for counts by what it is worth, whatever amount we ask for: a flood buys nothing.
        mine = min(worth[front], others * self.utility[front] / max(self.utility.values()) if others else 1.0)
        if others <= 0.0:
            return 1.0
        return max(LEAST, mine / (mine + others)) if worth[front] else LEAST

    def serve(self, front: Hashable, engines: int, nodes: int) -> None:
        """How many engines the front has, and nodes like this one send to them."""
        self.most[front] = max(1, -(-AHEAD * engines // max(1, nodes)))

    def may_send(self, now: float, front: Hashable, tokens: float) -> bool:
        """Whether so much more may go out; one piece always may, so that nothing waits for ever."""
        if not self.pieces[front]:
            return True
        if 0 < self.most[front] <= self.pieces[front]:
            return False
        if self.room <= 0.0 or self.alone[front]:
            return True
        return self.out[front] + tokens <= self.share(now, front) * self.room

    def sent(self, front: Hashable, tokens: float) -> None:
        """It went out."""
        self.out[front] += tokens
        self.pieces[front] += 1

    def came(self, front: Hashable, tokens: float) -> None:
        """It came back, however it ended."""
        self.out[front] = max(0.0, self.out[front] - tokens)
        self.pieces[front] = max(0, self.pieces[front] - 1)

    def placed(self, now: float, front: Hashable, tokens: float) -> bool:
        """So much of it went to a common engine, or came back (negative); whether `shut` has changed.

        It is shut out at its share and let in again at half of it, lest each piece turns it over; and for as
        long as the others ask for more worth than it does: it has engines of its own, they may not.
        """
        self.common[front] = max(0.0, self.common[front] + tokens)
        share, before = self.share(now, front), self.shut[front]
        bound = share * self.room if share >= EVEN - 1e-9 else 0.0
        if not self.alone[front] or (bound and self.common[front] <= 0.5 * bound):
            self.shut[front] = False
        elif self.common[front] >= bound or not bound:
            self.shut[front] = True
        return self.shut[front] != before

    def wait(self, front: Hashable, piece: object, tokens: float) -> None:
        """It may not be sent yet."""
        self._waiting[front].append((piece, tokens))

    def drop(self, front: Hashable, piece: object) -> None:
        """Nobody wants it any more."""
        self._waiting[front] = deque(w for w in self._waiting[front] if w[0] is not piece)

    def next(self, now: float, front: Hashable) -> object | None:
        """A piece that waited and may be sent now; counts as sent."""
        queue = self._waiting[front]
        if queue and self.may_send(now, front, queue[0][1]):
            piece, tokens = queue.popleft()
            self.sent(front, tokens)
            return piece
        return None

    def waiting(self, front: Hashable) -> int:
        """Pieces that wait."""
        return len(self._waiting[front])
