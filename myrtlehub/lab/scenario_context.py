"""What all parts of one run of a scenario share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import TypeVar

from twisted.internet.defer import Deferred

from myrtlehub.lab.interfaces import Reactor
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.node.clock import MonotonicClock
from myrtlehub.records import Recorder

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class ScenarioContext:
    """One run of a scenario.

    Attributes:
        folder: Where settings files, logs and records are written.
        random: The source of all random choices of the run.
        recorder: Records what the scenario does to its processes.
        report: Receives a line of progress at a time.
        failures: What went wrong apart from violations of rules, as text for the verdict.
    """

    scenario: Scenario
    folder: Path
    reactor: Reactor
    clock: MonotonicClock
    seed: int
    random: Random
    recorder: Recorder
    report: Callable[[str], None]
    failures: list[str] = field(default_factory=list)

    async def wait_for(self, event: Deferred[Result], timeout: float) -> None:
        """Wait until a Deferred has fired, at most `timeout` seconds; its result is not used."""
        finished: Deferred[None] = Deferred()

        def finish(result: Result | None = None) -> Result | None:
            if not finished.called:
                finished.callback(None)
            return result

        limit = self.clock.callLater(timeout, finish)
        event.addCallback(finish)
        await finished
        if limit.active():
            limit.cancel()

    def wait(self, seconds: float) -> Deferred[None]:
        """Return a Deferred that fires after some seconds."""
        done: Deferred[None] = Deferred()
        self.clock.callLater(seconds, done.callback, None)
        return done
