"""The door: names and ids from outside become small indices, and what may not come in is told why."""

from collections.abc import Iterable
from typing import NamedTuple
from zlib import crc32

import xxhash

from myrtlehub import interface as itf
from myrtlehub.config.sheets import EngineRow, NodeSheet
from myrtlehub.limits.lag import LagMeter
from myrtlehub.membership.version import served

STATES = {"serving": itf.SERVING, "draining": itf.DRAINING, "gone": itf.GONE}
MARK_LIMIT = 200


class NotTaken(Exception):
    """A request that is malformed: it was not taken, and nothing ran. The text says what to mend."""


class Asked(NamedTuple):
    """A request as it came, whatever the front."""

    traffic_type: str
    tenant: str = ""
    session: str = ""
    prefix: str = ""
    shared: int = 0
    prompt: int = 0
    most_output: int = 0
    time_left: float = 0.0  # seconds; 0: the traffic type's abandon time
    deadline_in: float = float("inf")  # seconds to the call's own deadline
    mark: str = ""
    repeated: bool = False
    expected: float = 0.0
    text: bytes = b""
    front: str = "chat"
    batch: bytes = b""  # of a part: a BatchRequest without its `work`


def key_of(text: str) -> int:
    """A session or prefix as a whole number below 2^53, never 0; 0 for none."""
    return (xxhash.xxh3_64_intdigest(text.encode()) >> 11) or 1 if text else 0


class EngineIndices:
    """Engines by address and by dense index; an index is handed on only once nothing of its engine is out."""

    def __init__(self) -> None:
        self.at: dict[str, int] = {}
        self.rows: list[EngineRow] = []
        self._uses: list[int] = []
        self._marks: list[int] = []  # a number of the address, the same at every node
        self._gone: set[int] = set()
        self._free: list[int] = []

    def listings(self, rows: Iterable[EngineRow], whole: bool, kinds: dict[str, int], zones: dict[str, int],
                 now: float) -> list[itf.Listing]:
        """News of the list as listings, in order; engines it removes are remembered until they are unused."""
        listings, seen, at = [], set(), self.at
        for row in rows:
            row = served(row)
            address, kind, zone, cell, weight, word, age, _ = row.figures
            state, index = STATES[word], at.get(address)
            fresh = index is None
            if fresh:
                if state == itf.GONE:
                    continue
                index = at[address] = self._new(row)
            else:
                self.rows[index] = row
            seen.add(index)
            if state == itf.GONE:
                self._gone.add(index)
            else:
                self._gone.discard(index)
            listings.append(itf.Listing(index, fresh, state, kinds[kind], zones[zone], cell,
                                        now - age if age else 0.0, weight, self._marks[index]))
        if whole:
            self._gone.update(i for i in self.at.values() if i not in seen)
        return listings

    def _new(self, row: EngineRow) -> int:
        """An index for an engine that had none."""
        mark = crc32(row.address.encode())
        if self._free:
            index = self._free.pop(0)
            self.rows[index], self._marks[index] = row, mark
            return index
        self.rows.append(row)
        self._uses.append(0)
        self._marks.append(mark)
        return len(self.rows) - 1

    def sweep(self) -> list[str]:
        """Forget engines that are gone and unused; their addresses."""
        over = [i for i in sorted(self._gone) if not self._uses[i]]
        return [self._forget(i) for i in over]

    def _forget(self, index: int) -> str:
        self._gone.discard(index)
        self._free.append(index)
        address = self.rows[index].address
        del self.at[address]
        return address

    def used(self, index: int) -> None:
        """An attempt went out to it."""
        self._uses[index] += 1

    def unused(self, index: int) -> str:
        """An attempt came back; the address if that was the last of a gone engine."""
        self._uses[index] -= 1
        return self._forget(index) if index in self._gone and not self._uses[index] else ""

    def gone(self, index: int) -> bool:
        """Whether the list has dropped it."""
        return index in self._gone


class Door:
    """Names of a node's file against indices, and requests against what the file allows."""

    def __init__(self, sheet: NodeSheet) -> None:
        self.traffic = {t.name: i for i, t in enumerate(sheet.traffic)}
        self.rows = sheet.traffic
        self.tenants = {t.name: i for i, t in enumerate(sheet.tenants)}
        self.kinds = {k.name: i for i, k in enumerate(sheet.kinds)}
        self.zones = {z: i for i, z in enumerate(sheet.zones)}
        self.slack = sheet.rules.answer_slack
        self.engines = EngineIndices()
        self.lag = LagMeter()  # beats come from whoever runs the node; without any it takes nothing off

    def arrival(self, a: Asked, now: float) -> itf.Arrival:
        """Raises NotTaken, naming the field."""
        if a.traffic_type not in self.traffic:
            raise NotTaken(f"traffic_type {a.traffic_type!r} is not one of {', '.join(sorted(self.traffic))}")
        if a.tenant and self.tenants and a.tenant not in self.tenants:
            raise NotTaken(f"tenant {a.tenant!r} is not known here")
        for name in ("prompt", "most_output"):
            if getattr(a, name) < 1:
                raise NotTaken(f"{name}{'_tokens' if name == 'prompt' else ''} has to be at least 1")
        if a.shared > a.prompt:
            raise NotTaken(f"shared_tokens {a.shared} is more than prompt_tokens {a.prompt}")
        traffic = self.traffic[a.traffic_type]
        row = self.rows[traffic]
        if row.front != a.front:
            raise NotTaken(f"traffic_type {a.traffic_type!r} is for the front {row.front!r}")
        if row.repeats == "tokened" and not a.mark:
            raise NotTaken(f"mark is required for traffic type {a.traffic_type!r}: repeats are known by it")
        if len(a.mark.encode()) > MARK_LIMIT:
            raise NotTaken(f"mark is longer than {MARK_LIMIT} bytes")
        left = min(a.time_left or row.abandon_time, row.abandon_time, a.deadline_in - self.slack)
        left = self.lag.left(now, left)
        return itf.Arrival(
            traffic, self.tenants.get(a.tenant, -1), float(a.prompt), left, key_of(a.session),
            key_of(a.prefix), float(a.shared), float(a.most_output), a.expected, False, a.repeated)
