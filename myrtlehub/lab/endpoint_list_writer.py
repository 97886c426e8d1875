"""Writes endpoint list files as careless operators do, for nodes that read the list from files.

It writes bursts of versions, incomplete files that stay until the next write and lists that parse but are
invalid, and it deletes files that it writes again later.
"""

from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from random import Random

from ruamel.yaml import YAML
from ruamel.yaml.compat import StringIO

from myrtlehub.clock import Clock
from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.lab.endpoint_row import EndpointRow, EngineState
from myrtlehub.lab.scenario_file import ListFilesConfig
from myrtlehub.membership.list_version import make_version
from myrtlehub.records import Recorder

DIGEST_LETTERS = 16  # characters of a version's digest that attempts carry
END_MARK = "end: yes\n"
MAX_BURST_DELAY = 0.02  # seconds between writes of a burst
RENAME_SHARE = 0.5  # fraction of versions that are renamed into place; the others are written in place
MAX_WEIGHT = 9


class InvalidList(IntEnum):
    """A reason for which nodes reject a list that parses."""

    NO_WRITERS = 0
    DUPLICATE_ENGINE = 1
    UNKNOWN_KIND = 2
    UNKNOWN_FIELD = 3


def list_text(rows: list[EndpointRow]) -> str:
    """Return the text of a list file."""
    text = StringIO()
    YAML(typ="safe").dump({"engines": rows}, text)
    return text.getvalue() + END_MARK


def invalid_list_text(rows: list[EndpointRow], fault: InvalidList) -> str:
    """Return the text of the list with a fault that makes it invalid."""
    if fault == InvalidList.NO_WRITERS:
        return list_text([row for row in rows if row["kind"] != "writer"])
    first = rows[0]
    if fault == InvalidList.DUPLICATE_ENGINE:
        return list_text([*rows, {**first, "cell": first["cell"] + 1}])
    if fault == InvalidList.UNKNOWN_KIND:
        return list_text([{**first, "kind": "raeder"}, *rows[1:]])
    return list_text(rows).replace("cell:", "sell:", 1)


class EndpointListWriter:
    """Writes the list file of one node; `rows()` returns the present list."""

    def __init__(
        self,
        node: str,
        folder: Path,
        config: ListFilesConfig,
        clock: Clock,
        random: Random,
        recorder: Recorder,
        rows: Callable[[], list[EndpointRow]],
    ) -> None:
        self.versions = 0
        self.torn = 0  # incomplete files
        self.invalid = 0
        self.deleted = 0
        self._node = node
        self._path = folder / "engines.yaml"
        self._config = config
        self._clock = clock
        self._random = random
        self._recorder = recorder
        self._rows = rows
        self._is_stopped = False
        folder.mkdir(exist_ok=True)

    def start(self) -> None:
        """Write the first version at once, and schedule the others at random times."""
        self._write_version(by_rename=True)
        self._clock.callLater(self._draw_interval(), self._start_burst)

    def stop(self) -> None:
        """Write a last version; writes that are still scheduled then do nothing."""
        self._is_stopped = True
        self._write_version(by_rename=False)

    def _draw_interval(self) -> float:
        return self._random.expovariate(1.0 / self._config.every)

    def _start_burst(self) -> None:
        if self._is_stopped:
            return
        count = self._random.randint(1, self._config.burst)
        delay = 0.0
        for _ in range(count):
            self._clock.callLater(delay, self._write_or_damage)
            delay += self._random.random() * MAX_BURST_DELAY
        self._clock.callLater(delay + self._draw_interval(), self._start_burst)

    def _write_or_damage(self) -> None:
        """Write a version, or damage the file until the next write."""
        if self._is_stopped:
            return
        config = self._config
        chance = self._random.random()
        if chance < config.torn:
            self._write_torn()
        elif chance < config.torn + config.wrong:
            self._write_invalid()
        elif chance < config.torn + config.wrong + config.deleted:
            self._delete()
        else:
            self._write_version(by_rename=self._random.random() < RENAME_SHARE)

    def _write_torn(self) -> None:
        self.torn += 1
        data = list_text(self._draw_rows()).encode()
        self._write(data[: self._random.randrange(len(data) - 4)], "torn")

    def _write_invalid(self) -> None:
        self.invalid += 1
        rows = self._draw_rows()
        fault = InvalidList(self._random.randrange(len(InvalidList)))
        self._write(invalid_list_text(rows, fault).encode(), "wrong")

    def _delete(self) -> None:
        self.deleted += 1
        self._recorder.note("unwrote", node=self._node, how="deleted")
        self._path.unlink(missing_ok=True)

    def _write(self, data: bytes, how: str) -> None:
        self._recorder.note("unwrote", node=self._node, how=how)
        self._path.write_bytes(data)

    def _draw_rows(self) -> list[EndpointRow]:
        """Return the list with random weights; weight 0 only if the kind has another engine in the cell."""
        rows: list[EndpointRow] = [
            {**row, "weight": self._random.randint(1, MAX_WEIGHT)} for row in self._rows()
        ]
        if self._random.random() < self._config.drains:
            serving = [row for row in rows if row["state"] == EngineState.SERVING]
            groups = [(row["kind"], row["cell"]) for row in serving]
            spare = [row for row in serving if groups.count((row["kind"], row["cell"])) > 1]
            if spare:
                self._random.choice(spare)["weight"] = 0
        return rows

    def _write_version(self, by_rename: bool) -> None:
        self.versions += 1
        rows = self._draw_rows()
        version = make_version(0, [EndpointConfig.model_validate(row) for row in rows], "", 0.0)
        self._recorder.note(
            "wrote",
            node=self._node,
            digest=version.digest[:DIGEST_LETTERS],
            serving=[
                address
                for address, entry in version.endpoints.items()
                if entry.state == EngineState.SERVING.value
            ],
        )
        data = list_text(rows).encode()
        if by_rename:
            new_path = self._path.with_name(".engines.new")
            new_path.write_bytes(data)
            new_path.rename(self._path)
        else:
            self._path.write_bytes(data)
