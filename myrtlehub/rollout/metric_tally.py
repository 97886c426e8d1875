"""Running sums of one guarded metric over all sample windows, by node.

Sums are kept instead of windows, so that the cost of an analysis does not grow with the rollout and a resumed
controller can load them from the journal. The names of the sums are stored there and never change.
"""

from enum import StrEnum
from typing import Any, NamedTuple, TypeVar

import numpy as np

from myrtlehub.rollout.errors import SnapshotMismatchError
from myrtlehub.rollout.samples import BoolArray, FloatArray, IntArray, NodeRatios, NodeRole, SampleWindow

STORED_DIGITS = 9  # significant digits of each sum in the journal
WINDOWS_FIELD = "blocks"  # stored name of `MetricTally.windows`

# A JSON object: the rows of sums by their stored names, and the number of windows under WINDOWS_FIELD.
TallySnapshot = dict[str, Any]


class TallySum(StrEnum):
    """A sum by node and over windows.

    An offset is the node's metric minus that of the unchanged nodes of its zone. The weight is the
    denominator of the node's metric in the window. Offsets are summed times their weight.
    """

    BASELINE_OFFSET = "pre_off"  # of the windows before the change
    BASELINE_WEIGHT = "pre_weight"
    CHANGED_OFFSET = "changed_off"
    CHANGED_WEIGHT = "changed_weight"
    CHANGED_NUMERATOR = "changed_above"
    CHANGED_DENOMINATOR = "changed_below"
    UNCHANGED_OFFSET = "still_off"  # of unchanged nodes, since the first node was changed
    UNCHANGED_WEIGHT = "still_weight"
    UNCHANGED_NUMERATOR = "still_above"
    UNCHANGED_DENOMINATOR = "still_below"
    OFFSET = "off"  # of all windows
    WEIGHT = "weight"
    SQUARE = "square"  # of the offset, times the weight
    COUNT = "count"  # of the windows in which the node has a weight
    # Sums over pairs of consecutive windows, from which the autocorrelation is computed. The weight of a pair
    # is the geometric mean of the weights of its two windows.
    PAIR_PRODUCT = "both_ab"
    PAIR_LATER = "both_a"  # offset in the later window
    PAIR_EARLIER = "both_b"  # offset in the earlier window
    PAIR_WEIGHT = "both_weight"
    PAIR_COUNT = "both_count"
    PREVIOUS_OFFSET = (
        "last_off"  # offset in the last window added, not a sum; the first half of the next pair
    )
    PREVIOUS_WEIGHT = "last_weight"


class ZoneSum(StrEnum):
    """A sum by zone."""

    OFFSET = "lead"  # the zone's metric minus that of the fleet, in the windows before the change
    WINDOWS = "led"  # number of those windows


class _GroupSums(NamedTuple):
    """The names of the sums of one group of the comparison."""

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

_SumName = TypeVar("_SumName", TallySum, ZoneSum)


class MetricTally:
    """The sums of one metric of one traffic type."""

    def __init__(self, node_zones: IntArray, zone_count: int) -> None:
        """Start with all sums at zero.

        Args:
            node_zones: index of each node's zone.
            zone_count: number of zones.
        """
        self.node_zones = node_zones
        self.zone_sums: dict[ZoneSum, FloatArray] = {name: np.zeros(zone_count) for name in ZoneSum}
        self.sums: dict[TallySum, FloatArray] = {name: np.zeros(len(node_zones)) for name in TallySum}
        self.windows = 0  # number of windows with at least one changed node

    def add(self, ratios: NodeRatios, window: SampleWindow, disturbed: BoolArray) -> None:
        """Add a window.

        Args:
            ratios: the metric in this window.
            window: the window.
            disturbed: whether each zone was disturbed; the nodes of disturbed zones are not counted.
        """
        is_counted = (ratios.denominator > 0.0) & (window.roles != NodeRole.UNAVAILABLE)
        is_counted &= ~disturbed[self.node_zones]
        value = np.divide(
            ratios.numerator, ratios.denominator, out=np.zeros_like(ratios.numerator), where=is_counted
        )
        unchanged = is_counted & (window.roles == NodeRole.UNCHANGED)
        reference = self._reference(value, np.where(unchanged, ratios.denominator, 0.0), window.is_baseline)
        is_counted &= ~np.isnan(reference)
        offset = np.where(is_counted, value - np.nan_to_num(reference), 0.0)
        weight = np.where(is_counted, ratios.denominator, 0.0)
        changed = is_counted & (window.roles == NodeRole.CHANGED)
        self.windows += bool(changed.any())
        self._add_group(_CHANGED, changed, offset, weight, ratios)
        if self.windows and not window.is_baseline:
            unchanged = is_counted & (window.roles == NodeRole.UNCHANGED)
            self._add_group(_UNCHANGED, unchanged, offset, weight, ratios)
        if window.is_baseline:
            self.sums[TallySum.BASELINE_OFFSET] += offset * weight
            self.sums[TallySum.BASELINE_WEIGHT] += weight
        self._add_totals(offset, weight)
        self._add_pairs(offset, weight)

    def _add_group(
        self,
        group: _GroupSums,
        members: BoolArray,
        offset: FloatArray,
        weight: FloatArray,
        ratios: NodeRatios,
    ) -> None:
        self.sums[group.offset] += np.where(members, offset * weight, 0.0)
        self.sums[group.weight] += np.where(members, weight, 0.0)
        self.sums[group.numerator] += np.where(members, ratios.numerator, 0.0)
        self.sums[group.denominator] += np.where(members, ratios.denominator, 0.0)

    def _add_totals(self, offset: FloatArray, weight: FloatArray) -> None:
        self.sums[TallySum.OFFSET] += offset * weight
        self.sums[TallySum.WEIGHT] += weight
        self.sums[TallySum.SQUARE] += offset * offset * weight
        self.sums[TallySum.COUNT] += weight > 0.0

    def _add_pairs(self, offset: FloatArray, weight: FloatArray) -> None:
        sums = self.sums
        pair_weight = np.sqrt(weight * sums[TallySum.PREVIOUS_WEIGHT])
        sums[TallySum.PAIR_PRODUCT] += pair_weight * offset * sums[TallySum.PREVIOUS_OFFSET]
        sums[TallySum.PAIR_LATER] += pair_weight * offset
        sums[TallySum.PAIR_EARLIER] += pair_weight * sums[TallySum.PREVIOUS_OFFSET]
        sums[TallySum.PAIR_WEIGHT] += pair_weight
        sums[TallySum.PAIR_COUNT] += pair_weight > 0.0
        sums[TallySum.PREVIOUS_OFFSET] = offset
        sums[TallySum.PREVIOUS_WEIGHT] = weight

    def _reference(self, value: FloatArray, weight: FloatArray, is_baseline: bool) -> FloatArray:
        """Return for each node the metric of the unchanged nodes of its zone.

        For a zone without unchanged nodes, return the metric of all unchanged nodes plus the mean offset of
        the zone from the fleet before the change.

        Args:
            value: the metric by node.
            weight: the weight of each unchanged node; 0 for all others.
            is_baseline: whether the window is before the change.
        """
        zone_offset = self.zone_sums[ZoneSum.OFFSET]
        weight_by_zone = np.bincount(self.node_zones, weight, len(zone_offset))
        sum_by_zone = np.bincount(self.node_zones, value * weight, len(zone_offset))
        total = float(weight.sum())
        fleet_value = float(sum_by_zone.sum()) / total if total > 0.0 else float("nan")
        unknown = np.full(len(zone_offset), np.nan)
        zone_value = np.divide(sum_by_zone, weight_by_zone, out=unknown, where=weight_by_zone > 0.0)
        if is_baseline and total > 0.0:
            is_known = ~np.isnan(zone_value)
            zone_offset[is_known] += zone_value[is_known] - fleet_value
            self.zone_sums[ZoneSum.WINDOWS] += is_known
        mean_offset = zone_offset / np.maximum(self.zone_sums[ZoneSum.WINDOWS], 1.0)
        reference: FloatArray = np.where(np.isnan(zone_value), fleet_value + mean_offset, zone_value)
        return reference[self.node_zones]

    def snapshot(self) -> TallySnapshot:
        """Return all sums as plain numbers, for `restore` in another process."""
        snapshot: TallySnapshot = {WINDOWS_FIELD: self.windows}
        for tally_name, values in self.sums.items():
            snapshot[str(tally_name)] = _rounded(values)
        for zone_name, values in self.zone_sums.items():
            snapshot[str(zone_name)] = _rounded(values)
        return snapshot

    def restore(self, snapshot: TallySnapshot) -> None:
        """Continue from a snapshot.

        Raises:
            KeyError: a sum is missing, because another version wrote the snapshot.
            SnapshotMismatchError: the snapshot is of another fleet.
        """
        _restore_rows(self.sums, snapshot)
        _restore_rows(self.zone_sums, snapshot)
        self.windows = int(snapshot[WINDOWS_FIELD])


def _rounded(values: FloatArray) -> list[float]:
    return [float(f"{value:.{STORED_DIGITS}g}") for value in values]


def _restore_rows(sums: dict[_SumName, FloatArray], snapshot: TallySnapshot) -> None:
    for name in sums:
        row = np.array(snapshot[name], float)
        if row.shape != sums[name].shape:
            raise SnapshotMismatchError(
                f"{name}: the snapshot has shape {row.shape}, this fleet needs {sums[name].shape}"
            )
        sums[name] = row
