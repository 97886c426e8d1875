"""Is the changed part of a fleet worse than the unchanged part in the same time? Pure; the node is the unit.

Requests of one node are not independent and nodes differ, so a thousand requests of one changed node prove
nothing about the change. What is compared is, node by node, its figure against the unchanged nodes of its
zone in the same block of time, less by how much it differed from them before anything was changed. Engines
that fail and bursts hit both sides alike and cancel; blocks in which trouble is seen on the unchanged side
are left out.

The test may be looked at after every block: its bounds are a normal mixture's (a confidence sequence: Robbins
1970; Howard, Ramdas, McAuliffe, Sekhon 2021, "Time-uniform, nonparametric, nonasymptotic confidence
sequences"), widened from normal to Student's t, as the scatter between nodes is known from few of them.
"""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
from scipy.special import ndtr, stdtrit

ALL = ""  # of all traffic types together
AWAY, UNCHANGED, CHANGED = 0, 1, 2  # what a node counts as in a block
PASS, WORSE, TROUBLE, UNSURE = "pass", "worse", "trouble", "unsure"

PRIOR_NODES = 4.0  # nodes' worth of belief in the scatter that margins are made for, beside what is seen
PRIOR_SCATTER = 0.25  # of the margin: the scatter between like nodes that is believed before any was seen
MOST_INFLATION = 4.0  # by which blocks that resemble the last one may widen the noise
ENGINES_LOST = 0.1  # share of a zone's serving engines that, gone or come within `TROUBLE_BLOCKS`, is trouble
FALL = 0.05  # by which the unchanged nodes' served share falls in trouble; also FALL_SIGMAS of its scatter
FALL_SIGMAS = 4.0
SLOW_FALL = 0.02  # the same over half a watch or more
BLAME_WATCHES = 2.0  # watches for which a fall of the whole fleet has to last: bursts pass sooner
TROUBLE_BLOCKS = 3  # blocks without any sign, until trouble counts as over
LEAST_BLOCKS = 3  # that are compared before anything is said: one is a moment, not a difference
# Of the share of false alarms that is granted, what bounds are made for: noise and scatter are estimated and
# not known, and with all of it 1.2 to 1.4 in 100 equal versions were stopped where 1 was granted.
ALARM_SPENT = 0.5
TINY = 1e-12


class Guard(NamedTuple):
    """One figure that may not get worse. A figure is a sum over a sum: served utility over utility asked, and
    so on.
    """

    figure: str
    margin: float  # by how much worse is not acceptable, in the figure's unit
    sign: float = 1.0  # 1: higher is worse; -1: lower is worse
    traffic: str = ALL
    relative: bool = False  # the margin is a share of the unchanged nodes' figure


class Block(NamedTuple):
    """What was seen of all nodes in one block of time; arrays have a value a node."""

    roles: np.ndarray  # AWAY, UNCHANGED, CHANGED
    sums: dict[tuple[str, str], tuple[np.ndarray, np.ndarray]]  # by figure and traffic type: above, below
    engines: dict[str, int]  # that serve, by zone, as most nodes have it
    measuring: bool = False  # nothing is changed yet


class Compared(NamedTuple):
    """One guard, as far as it is known. In the figure's unit; `harm` more than 0 is worse."""

    guard: Guard
    changed: float  # the changed nodes' figure in the blocks compared
    unchanged: float
    harm: float
    low: float  # bounds of the harm, valid at every look together
    high: float
    blocks: int
    nodes: tuple[int, int]  # changed, unchanged
    margin: float


class Verdict(NamedTuple):
    """What the figures say now, and the guards that they say it of."""

    says: str
    why: str
    of: tuple[Compared, ...] = ()


class Tally:
    """One guard's figure over all blocks so far, as sums by node: a look costs no more late in a change."""

    SUMS = (
        "pre_off", "pre_weight",  # before the change: distance to the unchanged nodes times weight; weight
        "changed_off", "changed_weight", "changed_above", "changed_below",
        "still_off", "still_weight", "still_above", "still_below",  # unchanged, since the first was changed
        "off", "weight", "square", "count",  # of all blocks
        # of neighbouring blocks, a and b, by the root of the product of their weights: does one resemble
        # the last?
        "both_ab", "both_a", "both_b", "both_weight", "both_count", "last_off", "last_weight",
    )  # fmt: skip
    ZONES = ("lead", "led")  # by zone: by how much it differed from the fleet before; in how many blocks

    def __init__(self, zone: np.ndarray, zones: int) -> None:
        self.zone = zone
        self.zones = {name: np.zeros(zones) for name in self.ZONES}
        self.sums = {name: np.zeros(len(zone)) for name in self.SUMS}
        self.blocks = 0  # with a changed node

    def add(self, above: np.ndarray, below: np.ndarray, block: Block, troubled: np.ndarray) -> None:
        """One more block that is not in trouble everywhere."""
        s = self.sums
        live = (below > 0.0) & (block.roles != AWAY) & ~troubled[self.zone]
        value = np.divide(above, below, out=np.zeros_like(above), where=live)
        base = self._unchanged(
            value, np.where(live & (block.roles == UNCHANGED), below, 0.0), block.measuring
        )
        live &= ~np.isnan(base)
        off = np.where(live, value - np.nan_to_num(base), 0.0)
        weight = np.where(live, below, 0.0)
        changed = live & (block.roles == CHANGED)
        self.blocks += bool(changed.any())
        groups = [("changed", changed)]
        if self.blocks and not block.measuring:
            groups.append(("still", live & (block.roles == UNCHANGED)))
        for name, mine in groups:
            s[f"{name}_off"] += np.where(mine, off * weight, 0.0)
            s[f"{name}_weight"] += np.where(mine, weight, 0.0)
            s[f"{name}_above"] += np.where(mine, above, 0.0)
            s[f"{name}_below"] += np.where(mine, below, 0.0)
        if block.measuring:
            s["pre_off"] += off * weight
            s["pre_weight"] += weight
        s["off"] += off * weight
        s["weight"] += weight
        s["square"] += off * off * weight
        s["count"] += weight > 0.0
        both = np.sqrt(weight * s["last_weight"])
        s["both_ab"] += both * off * s["last_off"]
        s["both_a"] += both * off
        s["both_b"] += both * s["last_off"]
        s["both_weight"] += both
        s["both_count"] += both > 0.0
        s["last_off"], s["last_weight"] = off, weight

    def _unchanged(self, value: np.ndarray, weight: np.ndarray, measuring: bool) -> np.ndarray:
        """By node: the figure of the unchanged nodes of its zone; where there are none, that of all unchanged
        nodes, and by how much the zone differed from them before. `weight` is 0 of all other nodes.
        """
        by_zone = np.bincount(self.zone, weight, len(self.zones["lead"]))
        sums = np.bincount(self.zone, value * weight, len(by_zone))
        total = float(weight.sum())
        fleet = float(sums.sum()) / total if total > 0.0 else float("nan")
        own = np.divide(sums, by_zone, out=np.full(len(sums), np.nan), where=by_zone > 0.0)
        if measuring and total > 0.0:
            seen = ~np.isnan(own)
            self.zones["lead"][seen] += own[seen] - fleet
            self.zones["led"] += seen
        lead = self.zones["lead"] / np.maximum(self.zones["led"], 1.0)
        return np.where(np.isnan(own), fleet + lead, own)[self.zone]

    def noise(self) -> float:
        """Variance of a block's figure times its weight, within nodes; wider where a block resembles the last
        one.
        """
        s = self.sums
        mean, mass = _mean(s["off"], s["weight"])
        freedom = max(1.0, float(s["count"].sum() - (mass > 0.0).sum()))
        noise = max(0.0, float((s["square"] - mean * mean * mass).sum())) / freedom
        alike = s["both_ab"] - mean * (s["both_a"] + s["both_b"]) + mean * mean * s["both_weight"]
        alike = float(alike.sum()) / max(1.0, float(s["both_count"].sum()))
        near = min(0.6, max(0.0, alike / max(noise, TINY)))
        return noise * min(MOST_INFLATION, (1.0 + near) / (1.0 - near))

    def known(self) -> dict:
        """All of it, as plain numbers."""
        rows = {k: [float(f"{x:.9g}") for x in v] for k, v in {**self.sums, **self.zones}.items()}
        return {"blocks": self.blocks, **rows}

    def recall(self, known: dict) -> None:
        """Go on from what `known` gave. KeyError, ValueError: it is of another fleet, or another version."""
        for name, into in ((n, d) for d in (self.sums, self.zones) for n in d):
            row = np.array(known[name], float)
            if row.shape != into[name].shape:
                raise ValueError(f"{name}: {row.shape} values, and there are {into[name].shape}")
            into[name] = row
        self.blocks = int(known["blocks"])


class Judge:
    """Collects blocks and says what they come to."""

    def __init__(
        self,
        guards: Sequence[Guard],
        zones: Sequence[str],
        watch: int,
        alarm: float = 0.01,
        most_lost: float = float("inf"),
    ) -> None:
        """`zones` by node; `watch`: blocks for which a stage is watched; `alarm`: share of equal versions
        that may be called worse, over all guards and looks of a stage; `most_lost`: utility that the whole
        change may cost, as blocks of what the fleet is asked.
        """
        self.guards, self.watch, self.alarm, self.most_lost = tuple(guards), watch, alarm, most_lost
        self.names = sorted(set(zones))
        self.zone = np.array([self.names.index(z) for z in zones])
        self.tallies = {(g.figure, g.traffic): Tally(self.zone, len(self.names)) for g in self.guards}
        self.blocks = 0  # so far
        self.engines: list[dict[str, int]] = []  # that serve, by zone, in the last blocks
        self.engines_then: dict[str, int] = {}  # the same when the stage in work was begun
        self.served: list[float] = []  # by block, of the unchanged nodes
        self.usual: list[float] = []  # the same, of the blocks before the change
        self.asked: list[float] = []  # utility that the fleet was asked for in those
        self.got = 0.0  # utility that changed nodes were asked for
        self.troubled: list[np.ndarray] = []  # by zone
        self.words = ""  # of the last trouble
        self.since = 0  # block from which the stage in work is watched
        self.stage_from = 0  # block in which the first node of the stage in work was changed
        self.fallen_from = -1  # block from which the fleet serves less, and no engine came or went; -1: no

    # -- blocks -----------------------------------------------------------------------------------

    def add(self, block: Block) -> None:
        """One more block of time."""
        self.blocks += 1
        self.engines = [*self.engines[-TROUBLE_BLOCKS:], block.engines]
        if block.measuring:
            self.engines_then = block.engines
        self.served.append(_served(block))
        if block.measuring and not np.isnan(self.served[-1]):
            self.usual.append(self.served[-1])
        of = block.sums.get(("served", ALL))
        if of is not None:
            if block.measuring:
                self.asked.append(float(of[1].sum()))
            self.got += float(of[1][block.roles == CHANGED].sum())
        troubled = self._trouble(block.measuring)
        self.troubled.append(troubled)
        if not troubled.all():
            for key, tally in self.tallies.items():
                if key in block.sums:
                    tally.add(*block.sums[key], block, troubled)

    def watch_anew(self) -> None:
        """A stage is watched from here on, or again after trouble."""
        self.since = self.blocks

    def stage_begun(self) -> None:
        """Nodes of another stage are changed from here on."""
        self.stage_from, self.fallen_from = self.blocks, -1
        if self.engines:
            self.engines_then = self.engines[-1]

    @property
    def in_trouble(self) -> bool:
        """Whether something that no change did is going on, or was until a moment ago."""
        return any(t.any() for t in self.troubled[-TROUBLE_BLOCKS:])

    def _trouble(self, measuring: bool) -> np.ndarray:
        """By zone: whether engines came or went, or the unchanged nodes fell, in the newest block."""
        out = np.zeros(len(self.names), bool)
        for i, zone in enumerate(self.names):
            counts = [e.get(zone, 0) for e in self.engines]
            if counts and _differ(max(counts), min(counts)):
                out[i] = True
                self.words = f"serving engines of zone {zone} went from {counts[0]} to {counts[-1]}"
        fall = "" if measuring else self._fall()
        if out.any() or not fall:
            self.fallen_from = -1
        elif self.fallen_from < 0:
            self.fallen_from = self.blocks - 1
        if fall:
            out[:] = True
            self.words = fall
        return out

    def _fall(self) -> str:
        """Whether the whole fleet serves less than before the change: at a blow, or since this stage is
        watched.

        Guards against a change that hurts the others: beside them it looks no worse. It looks like a burst,
        so the stage is held at first; `_blame` tells them apart by time.
        """
        usual, seen = np.array(self.usual), self.served[-1]
        if len(usual) < LEAST_BLOCKS or np.isnan(seen):
            return ""
        mean, sigma = float(usual.mean()), float(usual.std(ddof=1))
        watched = np.array(self.served[max(self.since, self.blocks - self.watch) :])
        long = len(watched) >= self.watch // 2 and not np.isnan(watched).any()
        wide = sigma * (MOST_INFLATION / max(1, len(watched)) + MOST_INFLATION / len(usual)) ** 0.5
        if mean - seen > max(FALL, FALL_SIGMAS * sigma):
            return f"the fleet serves {seen:.3f} of the utility asked, {mean:.3f} before the change"
        if long and mean - float(watched.mean()) > max(SLOW_FALL, FALL_SIGMAS / 2.0 * wide):
            return (
                f"the fleet serves {watched.mean():.3f} of the utility asked since this stage is watched, "
                f"{mean:.3f} before the change"
            )
        return ""

    def _blame(self) -> str:
        """Whether a fall of the whole fleet is put down to the change: why, or nothing.

        It began with this stage, lasts for longer than a burst does, the newest half of a watch is no
        better, and as many engines serve as when the stage was begun.
        """
        lasts = self.blocks - self.fallen_from
        if self.fallen_from < self.stage_from or lasts < BLAME_WATCHES * self.watch:
            return ""
        if any(_differ(self.engines[-1].get(z, 0), self.engines_then.get(z, 0)) for z in self.names):
            return ""
        newest, mean = self.served[-max(1, self.watch // 2) :], float(np.mean(self.usual))
        if np.isnan(newest).any() or mean - float(np.mean(newest)) <= SLOW_FALL:
            return ""
        return (
            f"{self.words}; it began {self.fallen_from - self.stage_from} blocks after this stage was begun, "
            f"has lasted for {lasts}, and as many engines serve as then: the change hurts the others"
        )

    # -- what a controller that goes on has to know --------------------------------------------------

    def known(self) -> dict:
        """All that was learned so far, as plain numbers, for `recall` in another process."""
        return {
            "usual": self.usual,
            "asked": self.asked,
            "got": self.got,
            "tallies": {" ".join(key): tally.known() for key, tally in self.tallies.items()},
        }

    def recall(self, known: dict) -> None:
        """Go on from there: what was watched after it is watched anew. KeyError, ValueError: it is of another
        fleet, or another version.
        """
        for key, tally in self.tallies.items():
            tally.recall(known["tallies"][" ".join(key)])
        self.usual, self.asked = list(known["usual"]), list(known["asked"])
        self.got = float(known["got"])

    # -- figures ----------------------------------------------------------------------------------

    def verdict(self) -> Verdict:
        """What is to be said now of the stage in work."""
        compared = [c for g in self.guards if (c := self.compare(g)) is not None]
        worse = [c for c in compared if c.low > 0.0 and c.harm >= c.margin]
        if worse:
            return Verdict(WORSE, "; ".join(map(said, worse)), tuple(worse))
        lost = next(
            (self._lost(c) for c in compared if c.guard.figure == "served" and c.guard.traffic == ALL), 0.0
        )
        if lost > self.most_lost:
            return Verdict(
                WORSE,
                f"the change has cost the utility of {lost:.1f} blocks of the whole fleet, "
                f"{self.most_lost:.1f} may be lost",
                tuple(compared),
            )
        if self.in_trouble:
            blame = self._blame()
            if blame:
                return Verdict(WORSE, blame, tuple(compared))
            return Verdict(TROUBLE, f"{self.words}: not put down to the change", tuple(compared))
        blocks = self.blocks - self.since
        if blocks < self.watch:
            sure = compared and all(c.high < c.margin for c in compared)
            if not (sure and blocks >= max(LEAST_BLOCKS, self.watch // 2)):
                return Verdict(UNSURE, f"{blocks} of {self.watch} blocks watched", tuple(compared))
        doubt = [c for c in compared if c.high >= c.margin]
        return Verdict(
            PASS,
            (
                "not shown to be worse; less than the margin is not shown either for "
                + ", ".join(
                    c.guard.figure + (f" of {c.guard.traffic}" if c.guard.traffic else "") for c in doubt
                )
            )
            if doubt
            else "within all margins",
            tuple(compared),
        )

    def _lost(self, served: Compared) -> float:
        """Utility that the change has cost, where it surely cost some, in blocks of what the fleet is
        asked.
        """
        if served.low <= 0.0 or not self.asked:
            return 0.0
        return served.harm * self.got / (sum(self.asked) / len(self.asked))

    def compare(self, guard: Guard) -> Compared | None:
        """One guard over all blocks in which it can be; None where there are too few."""
        tally = self.tallies[guard.figure, guard.traffic]
        s = tally.sums
        c = s["changed_weight"] > 0.0
        u = (s["still_weight"] > 0.0) & ~c
        if tally.blocks < LEAST_BLOCKS or not c.any() or not u.any():
            return None
        pre, pre_weight = _mean(s["pre_off"], s["pre_weight"])
        noise = tally.noise()
        offsets = _scatter(pre, pre_weight, noise, 0.0, 0.0)
        keep = offsets / (
            offsets + noise / np.maximum(pre_weight, TINY) + TINY
        )  # of a node's own offset from before
        mean_c, weight_c = _mean(s["changed_off"], s["changed_weight"])
        mean_u, weight_u = _mean(s["still_off"], s["still_weight"])
        mean, mass = np.where(c, mean_c, mean_u) - keep * pre, np.where(c, weight_c, weight_u)
        known = noise / np.maximum(mass, TINY) + offsets * (1.0 - keep)
        ref = _ratio(s["still_above"], s["still_below"])
        margin = guard.margin * (abs(ref) if guard.relative else 1.0)
        drift = _scatter(
            mean[u],
            mass[u],
            noise,
            (PRIOR_SCATTER * margin) ** 2,
            PRIOR_NODES,
            (known - noise / np.maximum(mass, TINY))[u],
        )
        w = 1.0 / (known + drift + TINY)
        delta = (w[c] @ mean[c]) / w[c].sum() - (w[u] @ mean[u]) / w[u].sum()
        deviation = float(np.sqrt(1.0 / w[c].sum() + 1.0 / w[u].sum()))
        width = deviation * self._multiple(tally.blocks, int(u.sum()))
        harm = guard.sign * float(delta)
        return Compared(
            guard,
            _ratio(s["changed_above"], s["changed_below"]),
            ref,
            harm,
            harm - width,
            harm + width,
            tally.blocks,
            (int(c.sum()), int(u.sum())),
            margin,
        )

    def _multiple(self, blocks: int, unchanged: int) -> float:
        """Standard deviations that a bound lies away after so many blocks, whatever was looked at before."""
        alpha = ALARM_SPENT * self.alarm / max(1, len(self.guards))
        rho = max(1.0, self.watch / 8.0)  # tightest at about the end of the watch
        normal = np.sqrt((blocks + rho) / blocks * (np.log((blocks + rho) / rho) + 2.0 * np.log(1.0 / alpha)))
        return -float(stdtrit(unchanged - 1.0 + PRIOR_NODES, ndtr(-normal)))


def _differ(one: int, other: int) -> bool:
    """Whether so many engines of a zone have gone or come that it is trouble."""
    return abs(one - other) > ENGINES_LOST * max(one, other)


def _served(b: Block) -> float:
    """Share of the utility asked for that is served: by the unchanged nodes, by all where none is left."""
    above, below = b.sums.get(("served", ALL), (np.zeros(len(b.roles)), np.zeros(len(b.roles))))
    mine = b.roles == UNCHANGED if (b.roles == UNCHANGED).any() else b.roles == CHANGED
    return _ratio(above[mine], below[mine]) if below[mine].sum() > 0 else float("nan")


def _mean(off: np.ndarray, mass: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
    return np.divide(off, mass, out=np.zeros(len(mass)), where=mass > 0), mass


def _ratio(above: np.ndarray, below: np.ndarray) -> float:
    total = float(below.sum())
    return float(above.sum()) / total if total > 0 else 0.0


def _scatter(
    mean: np.ndarray,
    mass: np.ndarray,
    noise: float,
    prior: float,
    nodes: float,
    known: np.ndarray | float = 0.0,
) -> float:
    """Variance between nodes beyond what noise explains, moderated by a prior of so many nodes' worth."""
    seen = mass > 0
    if seen.sum() < 2:
        return prior
    centre = float((mean[seen] * mass[seen]).sum() / mass[seen].sum())
    extra = (
        (mean[seen] - centre) ** 2
        - noise / mass[seen]
        - (known[seen] if isinstance(known, np.ndarray) else known)
    )
    freedom = float(seen.sum()) - 1.0
    return max(0.0, (max(0.0, float(extra.sum()) / freedom) * freedom + prior * nodes) / (freedom + nodes))


def said(c: Compared) -> str:
    """One guard for people: figure, both groups, interval."""
    g = c.guard
    return (
        f"{g.figure}{f' of {g.traffic}' if g.traffic else ''}: "
        f"{c.changed:.4f} on {c.nodes[0]} changed nodes, "
        f"{c.unchanged:.4f} on {c.nodes[1]} unchanged ones; worse by {c.harm:.4f} "
        f"({c.low:.4f} to {c.high:.4f}) over {c.blocks} blocks, {c.margin:.4f} is acceptable"
    )
