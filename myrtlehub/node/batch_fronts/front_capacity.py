"""The engines of each batch front, from the endpoint list and the settings."""

from collections import Counter
from collections.abc import Sequence

from myrtlehub.batching.batch_split import PartLimits
from myrtlehub.config.node import NodeConfig
from myrtlehub.config.traffic import Front
from myrtlehub.membership.endpoint import Endpoint


class FrontCapacity:
    """The number of engines, the limits on a part, and the model version of each front."""

    def __init__(self, config: NodeConfig, fronts: Sequence[Front]) -> None:
        self._config = config
        self._fronts = fronts
        self._models: dict[Front, str] = {}
        self._engine_counts: dict[Front, int] = {}
        self._part_limits = {front: self._limits_of_all_kinds(front) for front in fronts}

    def _limits_of_all_kinds(self, front: Front) -> PartLimits:
        kinds = [kind for kind in self._config.kinds if kind.serves(front)]
        return PartLimits(
            min((kind.batch for kind in kinds), default=1.0),
            min((kind.batch_items for kind in kinds), default=1),
            self._config.batches.least_part,
        )

    def part_limits(self, front: Front) -> PartLimits:
        """Return the limits that every engine kind of the front can meet."""
        return self._part_limits[front]

    def engine_count(self, front: Front) -> int:
        """Return the number of engines that serve the front, at least 1."""
        return self._engine_counts.get(front, 1)

    def model(self, front: Front) -> str:
        """Return the most common model version of the front's engines; empty if the list states none."""
        return self._models.get(front, "")

    def update(self, serving: Sequence[Endpoint]) -> None:
        """Update the counts and versions; `serving`: the engines in state serving."""
        kinds = {kind.name: kind for kind in self._config.kinds}
        for front in self._fronts:
            endpoints = [endpoint for endpoint in serving if kinds[endpoint.kind].serves(front)]
            models = Counter(endpoint.model for endpoint in endpoints if endpoint.model)
            self._models[front] = max(sorted(models), key=models.__getitem__, default="")
            self._engine_counts[front] = max(1, len(endpoints))
