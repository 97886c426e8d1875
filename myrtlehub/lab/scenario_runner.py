"""Plays a scenario with real processes on loopback, and judges it by what was recorded on the sockets."""

from collections.abc import Callable
from pathlib import Path
from random import Random

from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import LoopingCall

from myrtlehub.lab.client_load import ClientLoad
from myrtlehub.lab.fault_scheduler import FaultScheduler
from myrtlehub.lab.fleet_layout import ZONE
from myrtlehub.lab.interfaces import Reactor
from myrtlehub.lab.rule_checker.scenario_facts import SLACK
from myrtlehub.lab.scenario_context import ScenarioContext
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.scenario_fleet import ScenarioFleet
from myrtlehub.lab.verdict import judge_records
from myrtlehub.lab.verdict_format import Verdict
from myrtlehub.node.clock import MonotonicClock
from myrtlehub.records import Recorder

LAST_LIST_WRITE = 1.5  # seconds before the end of the traffic at which list files are written a last time
REPORT_INTERVAL = 5.0  # seconds
RELEASE_GRACE = 0.3  # seconds after the release time; a read state that exists then was not released


class ScenarioFailedError(Exception):
    """The scenario could not be played; the text says why."""


class ScenarioRunner:
    """Plays one scenario; `report` gets a line of progress at a time.

    Attributes:
        clock: The clock of the run.
        started: When the traffic started, in seconds of the clock; None before.
    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        reactor: Reactor,
        sequences: int | None = None,
        seed: int | None = None,
        report: Callable[[str], None] = lambda line: None,
    ) -> None:
        """Make a runner; `sequences` and `seed` replace the rate and the seed of the scenario."""
        self.clock = MonotonicClock(reactor)
        seed = scenario.seed if seed is None else seed
        self.context = ScenarioContext(
            scenario,
            folder,
            reactor,
            self.clock,
            seed,
            Random(seed),
            Recorder("day", self.clock, folder / "day.rec"),
            report,
        )
        self.started: float | None = None
        self._rate = sequences / scenario.length if sequences else scenario.rate
        self.fleet = self.make_fleet()

    def make_fleet(self) -> ScenarioFleet:
        """Return the fleet, whose processes do not run yet."""
        return ScenarioFleet(self.context)

    def make_faults(self) -> FaultScheduler:
        """Return what begins and ends the faults of the scenario."""
        return FaultScheduler(self.context, self.fleet)

    def play(self) -> Deferred[Verdict]:
        """Play the scenario; the Deferred fires with the verdict, or fails with ScenarioFailedError."""
        return Deferred.fromCoroutine(self._play())

    async def _play(self) -> Verdict:
        self._record_terms()
        for writer in self.fleet.list_writers:
            writer.start()
        layout = self.fleet.layout
        self.context.report(f"starting {len(layout.nodes)} nodes and {len(layout.engines)} engines")
        try:
            await self._start_all()
            load = await self._run_clients()
        finally:
            await self.end_processes()
        self.context.recorder.note("ends")
        self.context.recorder.close()
        return self.verdict(load)

    def _record_terms(self) -> None:
        rules = self.context.scenario.rules
        layout = self.fleet.layout
        self.context.recorder.note(
            "terms",
            traffic=self.fleet.files.traffic,
            let_go=rules.let_go,
            slack=SLACK,
            answer_slack=rules.answer_slack,
            engines=[(layout.addresses[name], layout.cells[name], ZONE) for name in layout.engines],
        )

    async def _start_all(self) -> None:
        starts = [
            self.fleet.start(name).addErrback(lambda failure: failure.getErrorMessage())
            for name in self.context.scenario.names()
        ]
        for _, line_or_error in await DeferredList(starts):
            if isinstance(line_or_error, str):
                raise ScenarioFailedError(line_or_error)

    async def _run_clients(self) -> ClientLoad:
        load = ClientLoad(self.context, self.fleet.dial_by_node(), self._rate)
        self.started = self.clock.seconds()
        load.start()
        self.traffic_started()
        progress = LoopingCall(load.report_progress)
        progress.start(REPORT_INTERVAL, now=False)
        await self.until_traffic_ends()
        for writer in self.fleet.list_writers:
            writer.stop()
        await self.context.wait(LAST_LIST_WRITE)
        load.chat.stop()
        self.context.report(f"no more requests; {load.chat.open} open")
        await load.until_all_ended()
        progress.stop()
        await self.context.wait(self.context.scenario.rules.let_go + RELEASE_GRACE)
        load.close()
        return load

    def traffic_started(self) -> None:
        """Schedule what is timed from the start of the traffic."""
        self.make_faults().start()

    async def until_traffic_ends(self) -> None:
        """Wait until LAST_LIST_WRITE before the end of the traffic."""
        await self.context.wait(self.context.scenario.length - LAST_LIST_WRITE)

    async def end_processes(self) -> None:
        """End all processes of the scenario."""
        await self.fleet.end()

    def verdict(self, load: ClientLoad) -> Verdict:
        """Return violations of rules, and figures, from the records alone."""
        return judge_records(
            self.context.folder,
            self.context.scenario,
            self.context.seed,
            self.context.failures,
            load.chat,
            load.batches,
            self.fleet.list_writers,
        )
