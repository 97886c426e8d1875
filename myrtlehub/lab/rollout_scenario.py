"""A scenario during which program or settings of all nodes are changed in stages, by `hub-rollout`."""

from enum import StrEnum
from pathlib import Path

from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import Clock

from myrtlehub.lab.client_load import ClientLoad
from myrtlehub.lab.rollout_control import NodeKill, RolloutControl
from myrtlehub.lab.rollout_fleet import RolloutFleet
from myrtlehub.lab.scenario_file import RolloutScenarioConfig
from myrtlehub.lab.scenario_runner import ScenarioRunner
from myrtlehub.lab.verdict_format import Verdict
from myrtlehub.lab.verdict_text import verdict_text
from myrtlehub.records import Recorder

SHUTDOWN_TIME = 0.5  # seconds in which nodes that are not children of this process can end after SIGTERM


class RolloutEnd(StrEnum):
    """How a rollout ended; the values stand in scenario files and verdicts."""

    COMMITTED = "kept"
    ROLLED_BACK = "undone"
    STUCK = "stuck"


END_OF_EXIT_CODE = {0: RolloutEnd.COMMITTED, 1: RolloutEnd.ROLLED_BACK, 3: RolloutEnd.STUCK}


class NoRolloutError(ValueError):
    """A scenario without a rollout was to be played as one with a rollout."""

    def __init__(self) -> None:
        super().__init__("the scenario has no group `roll`")


class RolloutRunner(ScenarioRunner):
    """Plays one scenario with a rollout."""

    fleet: RolloutFleet
    _control: RolloutControl
    _rollout: RolloutScenarioConfig
    _revisions: list[str]  # that the nodes had at the end

    def make_fleet(self) -> RolloutFleet:
        """Return the fleet, whose processes do not run yet."""
        rollout = self.context.scenario.roll
        if rollout is None:
            raise NoRolloutError
        self._rollout = rollout
        fleet = RolloutFleet(self.context, rollout)
        self._control = RolloutControl(self.context, fleet, rollout)
        return fleet

    def traffic_started(self) -> None:
        """Schedule what is timed from the start of the traffic, also the rollout."""
        super().traffic_started()
        self.clock.callLater(self._rollout.at, self._control.start)

    async def until_traffic_ends(self) -> None:
        """Wait until the rollout has ended, or until LAST_LIST_WRITE before the end of the traffic."""
        length = Deferred.fromCoroutine(super().until_traffic_ends())
        await DeferredList([length, self._control.ended], fireOnOneCallback=True)

    async def end_processes(self) -> None:
        """End all processes; nodes may be children of a controller, so each reports its process id."""
        self._control.stop()
        incarnations = await self.fleet.incarnations()
        self._revisions = sorted({incarnation.revision for incarnation in incarnations})
        self.fleet.end_foreign_nodes(incarnations)
        await self.context.wait(0.0 if self.started is None else SHUTDOWN_TIME)
        await self.fleet.close_proxies()
        await super().end_processes()

    def verdict(self, load: ClientLoad) -> Verdict:
        """Return violations of rules, and figures, with how the rollout ended."""
        _record_kills(self._control.kills, self.context.folder)
        verdict = super().verdict(load)
        control = self._control
        expected_end = RolloutEnd(self._rollout.ends)
        end = None if control.exit_code is None else END_OF_EXIT_CODE.get(control.exit_code)
        verdict["roll"] = {
            "ends": f"exit {control.exit_code}" if end is None else end.value,
            "as_stated": end == expected_end,
            "seconds": round(control.ended_at - control.started_at, 1),
            "revisions_at_the_end": len(self._revisions),
            "controllers": control.controller_count,
        }
        if len(self._revisions) > 1 and expected_end != RolloutEnd.STUCK:
            verdict["unclean"].append(f"{len(self._revisions)} revisions are left in the fleet")
        verdict["kept"] = verdict["kept"] and end == expected_end and not verdict["unclean"]
        return verdict


def _record_kills(kills: list[NodeKill], folder: Path) -> None:
    """Record the kills of controllers, each with the time that its controller logged."""
    clock = Clock()
    recorder = Recorder("controller", clock, folder / "controller.rec")
    for kill in sorted(kills):
        clock.rightNow = kill.at
        recorder.note("killed", who=kill.node)
    recorder.close()


def rollout_text(verdict: Verdict) -> str:
    """Return the verdict as lines of text, the rollout's end last."""
    rollout = verdict["roll"]
    stated = "as stated" if rollout["as_stated"] else "NOT AS STATED"
    return (
        f"{verdict_text(verdict)}\nthe roll: {rollout['ends']} after {rollout['seconds']} s, "
        f"{stated}; {rollout['controllers']} controllers, "
        f"{rollout['revisions_at_the_end']} revisions at the end"
    )
