"""One guarded figure over all sample windows so far, as sums by node.

Sums, not windows, are what is remembered: a look costs no more late in a rollout, and a resumed controller
reads them from the journal. The names of the sums are stored there and do not change.
"""

from enum import StrEnum
from typing import Any, NamedTuple

import numpy as np

from myrtlehub.rollout.samples import NodeRatios, NodeRole, SampleWindow

STORED_DIGITS = 9  # significant ones, of each sum in the journal


class TallySum(StrEnum):
    """A sum by node. An offset is a node's distance to the unchanged nodes, times its weight."""

    BASELINE_OFFSET = "pre_off"  # before the change
    BASELINE_WEIGHT = "pre_weight"
    CHANGED_OFFSET = "changed_off"
    CHANGED_WEIGHT = "changed_weight"
    CHANGED_NUMERATOR = "changed_above"
    CHANGED_DENOMINATOR = "changed_below"
    UNCHANGED_OFFSET = "still_off"  # of unchanged nodes, since the first one was changed
    UNCHANGED_WEIGHT = "still_weight"
    UNCHANGED_NUMERATOR = "still_above"
    UNCHANGED_DENOMINATOR = "still_below"
    OFFSET = "off"  # of all windows
    WEIGHT = "weight"
    SQUARE = "square"
    COUNT = "count"
    # Of neighbouring windows, weighted by the root of the product of their weights: whether one resembles the
    # last.
    PAIR_PRODUCT = "both_ab"
    PAIR_NEW = "both_a"
    PAIR_LAST = "both_b"
    PAIR_WEIGHT = "both_weight"
    PAIR_COUNT = "both_count"
    LAST_OFFSET = "last_off"
    LAST_WEIGHT = "last_weight"


class ZoneSum(StrEnum):
    """A sum by zone."""

    LEAD = "lead"  # by how much it differed from the fleet before the change
    WINDOWS = "led"  # in how many windows it did


class _GroupSums(NamedTuple):
    """The sums of one side of the comparison."""

    offset: TallySum
    weight: TallySum
    numerator: TallySum
    denominator: TallySum


_CHANGED = _GroupSums(
    TallySum.CHANGED_OFFSET,
    TallySum.CHANGED_WEIGHT,
    TallySum.CHANGED_NUMERATOR,
    TallySum.CHANGED_DENOMINATOR,
)
_UNCHANGED = _GroupSums(
    TallySum.UNCHANGED_OFFSET,
    TallySum.UNCHANGED_WEIGHT,
    TallySum.UNCHANGED_NUMERATOR,
    TallySum.UNCHANGED_DENOMINATOR,
)


class MetricTally:
    """Sums of one figure of one traffic type."""

    def __init__(self, node_zones: np.ndarray, zone_count: int) -> None:
        self.node_zones = node_zones  # index of each node's zone
        self.zone_sums = {name: np.zeros(zone_count) for name in ZoneSum}
        self.sums = {name: np.zeros(len(node_zones)) for name in TallySum}
        self.windows = 0  # with a changed node

    def add(self, ratios: NodeRatios, window: SampleWindow, disturbed: np.ndarray) -> None:
        """Add a window; zones where it was `disturbed` are left out."""
        live = (ratios.denominator > 0.0) & (window.roles != NodeRole.UNAVAILABLE)
        live &= ~disturbed[self.node_zones]
        value = np.divide(
            ratios.numerator, ratios.denominator, out=np.zeros_like(ratios.numerator), where=live
        )
        unchanged = live & (window.roles == NodeRole.UNCHANGED)
        reference = self._reference(value, np.where(unchanged, ratios.denominator, 0.0), window.is_baseline)
        live &= ~np.isnan(reference)
        offset = np.where(live, value - np.nan_to_num(reference), 0.0)
        weight = np.where(live, ratios.denominator, 0.0)
        changed = live & (window.roles == NodeRole.CHANGED)
        self.windows += bool(changed.any())
        self._add_group(_CHANGED, changed, offset, weight, ratios)
        if self.windows and not window.is_baseline:
            self._add_group(_UNCHANGED, live & (window.roles == NodeRole.UNCHANGED), offset, weight, ratios)
        if window.is_baseline:
            self.sums[TallySum.BASELINE_OFFSET] += offset * weight
            self.sums[TallySum.BASELINE_WEIGHT] += weight
        self._add_totals(offset, weight)
        self._add_pairs(offset, weight)

    def _add_group(
        self,
        names: _GroupSums,
        members: np.ndarray,
        offset: np.ndarray,
        weight: np.ndarray,
        ratios: NodeRatios,
    ) -> None:
        self.sums[names.offset] += np.where(members, offset * weight, 0.0)
        self.sums[names.weight] += np.where(members, weight, 0.0)
        self.sums[names.numerator] += np.where(members, ratios.numerator, 0.0)
        self.sums[names.denominator] += np.where(members, ratios.denominator, 0.0)

    def _add_totals(self, offset: np.ndarray, weight: np.ndarray) -> None:
        self.sums[TallySum.OFFSET] += offset * weight
        self.sums[TallySum.WEIGHT] += weight
        self.sums[TallySum.SQUARE] += offset * offset * weight
        self.sums[TallySum.COUNT] += weight > 0.0

    def _add_pairs(self, offset: np.ndarray, weight: np.ndarray) -> None:
        sums = self.sums
        pair_weight = np.sqrt(weight * sums[TallySum.LAST_WEIGHT])
        sums[TallySum.PAIR_PRODUCT] += pair_weight * offset * sums[TallySum.LAST_OFFSET]
        sums[TallySum.PAIR_NEW] += pair_weight * offset
        sums[TallySum.PAIR_LAST] += pair_weight * sums[TallySum.LAST_OFFSET]
        sums[TallySum.PAIR_WEIGHT] += pair_weight
        sums[TallySum.PAIR_COUNT] += pair_weight > 0.0
        sums[TallySum.LAST_OFFSET] = offset
        sums[TallySum.LAST_WEIGHT] = weight

    def _reference(self, value: np.ndarray, weight: np.ndarray, is_baseline: bool) -> np.ndarray:
        """Return by node the figure of the unchanged nodes of its zone; `weight` is 0 of all other nodes.

        Where a zone has none it is that of all unchanged nodes, and by how much the zone differed from them
        before the change.
        """
        lead = self.zone_sums[ZoneSum.LEAD]
        weight_by_zone = np.bincount(self.node_zones, weight, len(lead))
        sum_by_zone = np.bincount(self.node_zones, value * weight, len(lead))
        total = float(weight.sum())
        fleet = float(sum_by_zone.sum()) / total if total > 0.0 else float("nan")
        nothing = np.full(len(lead), np.nan)
        own = np.divide(sum_by_zone, weight_by_zone, out=nothing, where=weight_by_zone > 0.0)
        if is_baseline and total > 0.0:
            seen = ~np.isnan(own)
            lead[seen] += own[seen] - fleet
            self.zone_sums[ZoneSum.WINDOWS] += seen
        mean_lead = lead / np.maximum(self.zone_sums[ZoneSum.WINDOWS], 1.0)
        return np.where(np.isnan(own), fleet + mean_lead, own)[self.node_zones]

    def snapshot(self) -> dict[str, Any]:
        """Return all of it as plain numbers, for `restore` in another process."""
        rows = {
            str(name): [float(f"{value:.{STORED_DIGITS}g}") for value in values]
            for name, values in {**self.sums, **self.zone_sums}.items()
        }
        return {"blocks": self.windows, **rows}

    def restore(self, snapshot: dict[str, Any]) -> None:
        """Go on from a snapshot.

        Raises:
            KeyError: a sum is missing; another version wrote it.
            ValueError: it is of another fleet.
        """
        for sums in (self.sums, self.zone_sums):
            for name in sums:
                row = np.array(snapshot[name], float)
                if row.shape != sums[name].shape:
                    raise ValueError(f"{name}: {row.shape} values, and there are {sums[name].shape}")
                sums[name] = row
        self.windows = int(snapshot["blocks"])
