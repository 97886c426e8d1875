"""The module once a field: engines that do the same for the same traffic types are decided on together.

Chat's readers and writers are one field, engines that embed another, engines that rank a third; an engine
that does several stands in several. Each field has a `decide.Router` of its own, the same code with the same
rules; what one learns of usual rates, room and cells is not mixed with another's. To the host it is one
router.
"""

from collections.abc import Callable, Sequence

from myrtlehub.routing import contract


class EnginePools:
    """`make(terms)` gives a router; `kinds` and `traffic` say which kinds and traffic types a field has."""

    def __init__(
        self,
        make: Callable[[contract.RouterConfig], object],
        terms: Sequence[contract.RouterConfig],
        kinds: Sequence[frozenset[int]],
        field_of_traffic: Sequence[int],
    ) -> None:
        self.routers = [make(t) for t in terms]
        self.kinds, self.field_of_traffic = kinds, field_of_traffic
        self._field_of: dict[int, int] = {}  # by sequence
        self._born: list[int] = []  # by engine: how often its index has been handed out
        self._shut: set[int] = set()  # fields that are kept from engines that others have as well
        # by field: the engines that it knows, as which birth, and as the list has them
        self._told: list[dict[int, tuple[int, contract.EndpointUpdate]]] = [{} for _ in terms]

    def start(self, now: float) -> list[contract.Action]:
        """All of them."""
        return [r for f, router in enumerate(self.routers) for r in self._own(f, router.start(now))]

    def endpoint_list_failed(self, now: float) -> list[contract.Action]:
        """Word for all."""
        return [
            r for f, router in enumerate(self.routers) for r in self._own(f, router.endpoint_list_failed(now))
        ]

    def update_endpoints(
        self, now: float, listings: list[contract.EndpointUpdate], whole: bool
    ) -> list[contract.Action]:
        """Each field is told of its own engines; one that changed its kind is gone from fields it left."""
        for e in listings:
            while len(self._born) <= e.engine:
                self._born.append(0)
            self._born[e.engine] += e.is_new
        out = []
        for f, router in enumerate(self.routers):
            mine, told = [], self._told[f]
            for e in listings:
                born = self._born[e.engine]
                known = e.engine in told and told[e.engine][0] == born
                if e.kind in self.kinds[f]:
                    mine.append(self._seen_by(f, e._replace(is_new=not known)))
                    told[e.engine] = born, e
                elif known:
                    mine.append(e._replace(state=contract.EngineState.GONE, is_new=False))
                    told[e.engine] = born, e
            if whole:
                for i in set(told).difference(e.engine for e in listings):
                    told[i] = told[i][0], told[i][1]._replace(state=contract.EngineState.GONE)
            if mine or whole:
                out += self._own(f, router.update_endpoints(now, mine, whole))
        return out

    def _seen_by(self, f: int, e: contract.EndpointUpdate) -> contract.EndpointUpdate:
        """A field that is shut out sees common engines drain: nothing new goes there."""
        away = f in self._shut and e.state == contract.EngineState.SERVING and self._common(e)
        return e._replace(state=contract.EngineState.DRAINING) if away else e

    def _common(self, e: contract.EndpointUpdate) -> bool:
        return sum(e.kind in kinds for kinds in self.kinds) > 1

    def set_pool_closed(self, now: float, f: int, shut: bool) -> list[contract.Action]:
        """Keep a field from engines that others have as well, or let it in again."""
        (self._shut.add if shut else self._shut.discard)(f)
        again = [
            self._seen_by(f, e._replace(is_new=False))
            for born, e in self._told[f].values()
            if born == self._born[e.engine] and e.kind in self.kinds[f] and self._common(e)
        ]
        return self._own(f, self.routers[f].update_endpoints(now, again, False))

    def arrive(self, now: float, seq: int, a: contract.Arrival) -> list[contract.Action]:
        """By its traffic type."""
        f = self._field_of[seq] = self.field_of_traffic[a.traffic]
        return self._own(f, self.routers[f].arrive(now, seq, a))

    def began(self, now: float, seq: int, attempt: int, latency: float) -> list[contract.Action]:
        """To whom it belongs, as all that follows; nothing once it is done."""
        return self._of(seq, "began", now, attempt, latency)

    def ended(self, now: float, seq: int, *more: object) -> list[contract.Action]:
        """See `interface`."""
        return self._of(seq, "ended", now, *more)

    def client_left(self, now: float, seq: int) -> list[contract.Action]:
        """See `interface`."""
        return self._of(seq, "client_left", now)

    def reservation_answered(self, now: float, seq: int, *more: object) -> list[contract.Action]:
        """See `interface`."""
        return self._of(seq, "reservation_answered", now, *more)

    def wake(self, now: float, token: int) -> list[contract.Action]:
        """Tokens name the field that asked."""
        token, f = divmod(token, len(self.routers))
        return self._own(f, self.routers[f].wake(now, token))

    def _of(self, seq: int, call: str, now: float, *more: object) -> list[contract.Action]:
        f = self._field_of.get(seq)
        return [] if f is None else self._own(f, getattr(self.routers[f], call)(now, seq, *more))

    def _own(self, f: int, results: list[contract.Action]) -> list[contract.Action]:
        """Results as the host gets them: wake-ups say whose they are."""
        for i, r in enumerate(results):
            if isinstance(r, contract.ScheduleWakeup):
                results[i] = r._replace(token=r.token * len(self.routers) + f)
            elif isinstance(r, contract.Forget):
                self._field_of.pop(r.sequence, None)
        return results
