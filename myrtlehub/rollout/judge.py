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
from scipy.stats import norm
from scipy.stats import t as student

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
TROUBLE_BLOCKS = 3  # blocks without any sign, until trouble counts as over
LEAST_BLOCKS = 3  # that are compared before anything is said: one is a moment, not a difference
TINY = 1e-12


class Guard(NamedTuple):
    """One figure that may not get worse. A figure is a sum over a sum: served utility over utility asked, and
    so on."""

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
        change may cost, as blocks of what the fleet is asked."""
        self.guards, self.watch, self.alarm, self.most_lost = tuple(guards), watch, alarm, most_lost
        self.names = sorted(set(zones))
        self.zone = np.array([self.names.index(z) for z in zones])
        self.blocks: list[Block] = []
        self.troubled: list[np.ndarray] = []  # by zone
        self.words = ""  # of the last trouble
        self.since = 0  # block from which the stage in work is watched

    # -- blocks -----------------------------------------------------------------------------------

    def add(self, block: Block) -> None:
        """One more block of time."""
        self.blocks.append(block)
        self.troubled.append(self._trouble())

    def watch_anew(self) -> None:
        """A stage is watched from here on, or again after trouble."""
        self.since = len(self.blocks)

    @property
    def in_trouble(self) -> bool:
        """Whether something that no change did is going on, or was until a moment ago."""
        return any(t.any() for t in self.troubled[-TROUBLE_BLOCKS:])

    def _trouble(self) -> np.ndarray:
        """By zone: whether engines came or went, or the unchanged nodes fell, in the newest block."""
        out = np.zeros(len(self.names), bool)
        now = self.blocks[-1]
        for i, zone in enumerate(self.names):
            counts = [b.engines.get(zone, 0) for b in self.blocks[-1 - TROUBLE_BLOCKS :]]
            if counts and max(counts) - min(counts) > ENGINES_LOST * max(counts):
                out[i] = True
                self.words = f"serving engines of zone {zone} went from {counts[0]} to {counts[-1]}"
        fall = self._fall(now)
        if fall:
            out[:] = True
            self.words = fall
        return out

    def _fall(self, now: Block) -> str:
        """Whether the whole fleet serves less than before the change: at a blow, or since this stage is
        watched.

        Guards against a change that hurts the others: beside them it looks no worse. It looks like a burst,
        so the stage is held; what has not passed by the bound on holding is undone.
        """
        usual = np.array([_served(b) for b in self.blocks if b.measuring])
        usual = usual[~np.isnan(usual)]
        seen = _served(now)
        if now.measuring or len(usual) < LEAST_BLOCKS or np.isnan(seen):
            return ""
        mean, sigma = float(usual.mean()), float(usual.std(ddof=1))
        watched = np.array(
            [_served(b) for b in self.blocks[max(self.since, len(self.blocks) - self.watch) :]]
        )
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
            return Verdict(TROUBLE, f"{self.words}: not put down to the change", tuple(compared))
        blocks = len(self.blocks) - self.since
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
        asked."""
        if served.low <= 0.0:
            return 0.0
        key = (served.guard.figure, ALL)
        asked = [b.sums[key][1].sum() for b in self.blocks if b.measuring and key in b.sums]
        got = sum(b.sums[key][1][b.roles == CHANGED].sum() for b in self.blocks if key in b.sums)
        return served.harm * float(got) / (float(sum(asked)) / len(asked)) if asked else 0.0

    def compare(self, guard: Guard) -> Compared | None:
        """One guard over all blocks in which it can be; None where there are too few."""
        key = (guard.figure, guard.traffic)
        use = [
            (b, t) for b, t in zip(self.blocks, self.troubled, strict=True) if key in b.sums and not t.all()
        ]
        if not use:
            return None
        above = np.array([b.sums[key][0] for b, _ in use])
        below = np.array([b.sums[key][1] for b, _ in use])
        roles = np.array([b.roles for b, _ in use])
        measuring = np.array([b.measuring for b, _ in use])
        live = (below > 0.0) & (roles != AWAY) & ~np.array([t for _, t in use])[:, self.zone]
        value = np.divide(above, below, out=np.zeros_like(above), where=live)
        base = self._unchanged(value, below, live & (roles == UNCHANGED), measuring)
        live &= ~np.isnan(base)
        off = np.where(live, value - np.nan_to_num(base), 0.0)
        weight = np.where(live, below, 0.0)
        return self._weighed(guard, off, weight, roles, measuring, value, above, below, live)

    def _unchanged(
        self, value: np.ndarray, below: np.ndarray, mine: np.ndarray, measuring: np.ndarray
    ) -> np.ndarray:
        """By block and node: the figure of the unchanged nodes of its zone; where there are none, that of all
        unchanged nodes, and by how much the zone differed from them before."""
        weight = np.where(mine, below, 0.0)
        total = weight.sum(axis=1)
        fleet = np.divide(
            (value * weight).sum(axis=1), total, out=np.full(len(total), np.nan), where=total > 0
        )
        base = np.empty(value.shape)
        for z in range(len(self.names)):
            there = self.zone == z
            w = weight[:, there]
            sums = w.sum(axis=1)
            own = np.divide(
                (value[:, there] * w).sum(axis=1), sums, out=np.full(len(sums), np.nan), where=sums > 0
            )
            before = (own - fleet)[measuring]
            before = before[~np.isnan(before)]
            lead = float(before.mean()) if len(before) else 0.0
            base[:, there] = np.where(np.isnan(own), fleet + lead, own)[:, None]
        return base

    def _weighed(
        self,
        guard: Guard,
        off: np.ndarray,
        weight: np.ndarray,
        roles: np.ndarray,
        measuring: np.ndarray,
        value: np.ndarray,
        above: np.ndarray,
        below: np.ndarray,
        live: np.ndarray,
    ) -> Compared | None:
        """From each node's distance to the unchanged ones to what the change did, with bounds."""
        changed = live & (roles == CHANGED)
        blocks = int(changed.any(axis=1).sum())
        first = int(np.argmax(changed.any(axis=1))) if blocks else 0
        later = np.zeros(len(measuring), bool)
        later[first:] = True
        still = live & (roles == UNCHANGED) & (~measuring & later)[:, None]
        c, u = changed.any(axis=0), still.any(axis=0) & ~changed.any(axis=0)
        if blocks < LEAST_BLOCKS or not c.any() or not u.any():
            return None
        pre, pre_weight = _means(off, weight * measuring[:, None])
        noise = _noise(off, weight)
        offsets = _scatter(pre, pre_weight, noise, 0.0, 0.0)
        keep = offsets / (
            offsets + noise / np.maximum(pre_weight, TINY) + TINY
        )  # of a node's own offset from before
        mean_c, weight_c = _means(off, weight * changed)
        mean_u, weight_u = _means(off, weight * still)
        mean, mass = np.where(c, mean_c, mean_u) - keep * pre, np.where(c, weight_c, weight_u)
        known = noise / np.maximum(mass, TINY) + offsets * (1.0 - keep)
        ref = _ratio(above, below, still)
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
        width = deviation * self._multiple(blocks, int(u.sum()))
        harm = guard.sign * float(delta)
        return Compared(
            guard,
            _ratio(above, below, changed),
            ref,
            harm,
            harm - width,
            harm + width,
            blocks,
            (int(c.sum()), int(u.sum())),
            margin,
        )

    def _multiple(self, blocks: int, unchanged: int) -> float:
        """Standard deviations that a bound lies away after so many blocks, whatever was looked at before."""
        alpha = self.alarm / max(1, len(self.guards))
        rho = max(1.0, self.watch / 8.0)  # tightest at about the end of the watch
        normal = np.sqrt((blocks + rho) / blocks * (np.log((blocks + rho) / rho) + 2.0 * np.log(1.0 / alpha)))
        return float(student.isf(norm.sf(normal), unchanged - 1.0 + PRIOR_NODES))


def _served(b: Block) -> float:
    """Share of the utility asked for that is served: by the unchanged nodes, by all where none is left."""
    above, below = b.sums.get(("served", ALL), (np.zeros(len(b.roles)), np.zeros(len(b.roles))))
    mine = b.roles == UNCHANGED if (b.roles == UNCHANGED).any() else b.roles == CHANGED
    return _ratio(above, below, mine) if below[mine].sum() > 0 else float("nan")


def _means(off: np.ndarray, weight: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
    mass = weight.sum(axis=0)
    return np.divide((off * weight).sum(axis=0), mass, out=np.zeros(len(mass)), where=mass > 0), mass


def _ratio(above: np.ndarray, below: np.ndarray, mine: np.ndarray) -> float:
    total = float(below[mine].sum())
    return float(above[mine].sum()) / total if total > 0 else 0.0


def _noise(off: np.ndarray, weight: np.ndarray) -> float:
    """Variance of a block's figure times its weight, within nodes; wider where a block resembles the last
    one."""
    mean, mass = _means(off, weight)
    rest = np.where(weight > 0, off - mean, 0.0)
    scaled = rest * np.sqrt(weight)
    freedom = max(1.0, float((weight > 0).sum() - (mass > 0).sum()))
    noise = float((scaled**2).sum()) / freedom
    both = (weight[1:] > 0) & (weight[:-1] > 0)
    alike = float((scaled[1:] * scaled[:-1])[both].sum()) / max(1.0, float(both.sum()))
    near = min(0.6, max(0.0, alike / max(noise, TINY)))
    return noise * min(MOST_INFLATION, (1.0 + near) / (1.0 - near))


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
