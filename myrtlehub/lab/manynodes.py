"""Many nodes as figures alone, a block of time at a step: what the judge of a rolling change reads.
Simulated.

Nodes differ in traffic (some get several times the mean), in level, and drift by themselves; zones drift
together; requests of one node are not independent. Engines fail and bursts come whatever is being changed. No
process runs.
"""

from typing import NamedTuple

import numpy as np

from myrtlehub.rollout.samples import ALL_TRAFFIC, FigureKey, NodeRatios, NodeRole, SampleWindow

TYPES = ("ask", "post", "note")
MIX = np.array([0.6, 0.3, 0.1])
SERVED = 0.93  # share of the utility asked for, on the average


class Harm(NamedTuple):
    """What a change does to the nodes that have it."""

    served: float = 0.0  # share of the utility lost
    slower: float = 0.0  # share by which first tokens come later
    one_type: bool = False  # to one traffic type alone
    others_from: float = 1.1  # share of the fleet from which on it hurts all nodes instead


class Trouble(NamedTuple):
    """What happens beside the change: from a block on, for so many, in one zone or in all (-1)."""

    at: int
    lasts: int
    zone: int
    served: float  # share of the utility lost
    engines: float  # share of the engines there that go


class ManyNodes:
    """A fleet. `block(roles)` plays one block of time."""

    def __init__(
        self,
        nodes: int,
        zones: int,
        seed: int,
        length: float = 5.0,
        harm: Harm | None = None,
        troubles: tuple[Trouble, ...] = (),
    ) -> None:
        r = self.random = np.random.default_rng(seed)
        self.nodes, self.length, self.harm, self.troubles = nodes, length, harm or Harm(), troubles
        self.zone = np.arange(nodes) % zones
        self.zones = [f"zone-{z}" for z in self.zone]
        self.rate = np.minimum(60.0, 15.0 * r.lognormal(0.0, 0.6, nodes))  # sequences a second
        self.level = r.normal(0.0, 0.01, nodes)  # of the share served
        self.pace = r.normal(0.0, 0.05, nodes)  # of the logarithm of the first token
        self.drift, self.hurry = np.zeros(nodes), np.zeros(nodes)
        self.weather = np.zeros(zones)
        self.at = 0
        self.lost = self.asked = 0.0  # utility that the change took; that was asked for

    def block(self, roles: np.ndarray, measuring: bool = False) -> SampleWindow:
        """One block; UNAVAILABLE nodes ask nothing."""
        r, n = self.random, self.nodes
        self.drift = 0.7 * self.drift + r.normal(0.0, 0.01, n)
        self.hurry = 0.7 * self.hurry + r.normal(0.0, 0.03, n)
        self.weather = 0.8 * self.weather + r.normal(0.0, 0.01, len(self.weather))
        hit = np.zeros(n)
        engines = {f"zone-{z}": 30 for z in range(len(self.weather))}
        for t in self.troubles:
            if t.at <= self.at < t.at + t.lasts:
                there = np.ones(n, bool) if t.zone < 0 else self.zone == t.zone
                hit += t.served * there
                for z in range(len(self.weather)):
                    if t.zone in (-1, z):
                        engines[f"zone-{z}"] -= round(30 * t.engines)
        mine = (roles == NodeRole.CHANGED).astype(float)
        if self.harm.others_from <= mine.mean():
            mine = np.ones(n)
        elif self.harm.others_from < 1.0:
            mine = np.zeros(n)
        share = np.clip(SERVED + self.level + self.drift + self.weather[self.zone] - hit, 0.02, 0.998)
        late = self.pace + self.hurry + 4.0 * hit + mine * np.log1p(self.harm.slower)
        late -= 2.0 * self.weather[self.zone]
        up = roles != NodeRole.UNAVAILABLE
        sums: dict[FigureKey, NodeRatios] = {}
        total = np.zeros(n), np.zeros(n)
        for i, name in enumerate(TYPES):
            asked = r.poisson(self.rate * self.length * MIX[i]) * up
            takes = self.harm.served * (1.0 if not self.harm.one_type else (i == 1) * 1.0)
            whole = r.binomial(asked, share)
            took = r.binomial(whole, np.clip(mine * takes, 0.0, 1.0))
            self.lost += took.sum()
            served = (whole - took).astype(float)
            sums[FigureKey("served", name)] = NodeRatios(served, asked.astype(float))
            total = total[0] + served, total[1] + asked
        self.asked += total[1].sum()
        sums[FigureKey("served", ALL_TRAFFIC)] = NodeRatios(*total)
        sums[FigureKey("rejected", ALL_TRAFFIC)] = NodeRatios(
            r.binomial(np.maximum(0, (total[1] - total[0]).astype(int)), 0.6) * 1.0,
            total[1],
        )
        begun = np.maximum(total[0], 1.0)
        first = begun * (late - 1.5) + r.normal(0.0, 0.8, n) * np.sqrt(begun)
        sums[FigureKey("first_token", ALL_TRAFFIC)] = NodeRatios(first * up, begun * up)
        self.at += 1
        return SampleWindow(roles.copy(), sums, engines, measuring)


def stages(nodes: int) -> list[int]:
    """How many nodes have the change after each stage."""
    return sorted({max(1, round(nodes * s)) for s in (0.02, 0.1, 0.4, 1.0)})


def roles_of(nodes: int, changed: int, away: int = 0) -> np.ndarray:
    """The first so many changed, the next so many away."""
    roles = np.full(nodes, NodeRole.UNCHANGED)
    roles[:changed] = NodeRole.CHANGED
    roles[changed : changed + away] = NodeRole.UNAVAILABLE
    return roles
