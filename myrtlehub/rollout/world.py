"""A small world around the course of a change: nodes that come, go and die, a controller that dies at any
boundary.

Beside what the controller believes stands what is true of each process, and on that the promises are checked.
"""

from collections.abc import Iterator
from typing import NamedTuple

from myrtlehub.rollout import course, tables
from myrtlehub.rollout.course import FLEET, Plan, Standing
from myrtlehub.state.lives import Broken

OLD, NEW = 0, 1
ENDS = ("kept", "undone", "stuck")


class Truth(NamedTuple):
    """What is so of one node."""

    revision: int = OLD
    up: bool = True
    leaving: bool = False
    proven: bool = True
    ours: bool = False  # the controller that now runs started it
    hit: bool = False  # a fault took it down: that is nobody's order


class World(NamedTuple):
    """All of it."""

    standing: Standing
    truth: tuple[Truth, ...]
    todo: tuple[course.Act, ...] = ()  # asked for, not yet carried out
    faults: int = 0


class Shape(NamedTuple):
    """How large, and what may go wrong."""

    plan: Plan
    faults: int = 1  # deaths of nodes and of the controller, orders to undo, in one history together
    bad: str = ""  # of the new revision: "exits" at its start, "never ready"
    old_bad: str = ""  # the same of the old one, once it is started anew


def start(shape: Shape) -> World:
    """Nothing done yet."""
    return World(course.first(shape.plan), (Truth(),) * shape.plan.nodes)


class Moves:
    """All that can happen next: labels, worlds, breaches."""

    def __init__(self, shape: Shape) -> None:
        self.s, self.plan = shape, shape.plan

    def __call__(self, w: World) -> Iterator[tuple[str, World, str]]:
        if w.todo:
            yield self._act(w)
        else:
            yield from self._looks(w)
            yield from self._clock(w)
            yield from self._verdicts(w)
        yield from self._processes(w)
        if w.faults < self.s.faults:
            yield from self._faults(w)

    def _event(self, w: World, who: int, event: str, label: str = "") -> tuple[str, World, str]:
        label = label or f"{event} {'' if who == FLEET else who}".strip()
        try:
            standing, acts = course.step(self.plan, w.standing, who, event)
        except Broken as fault:
            return label, w, f"broken: {fault}"
        after = w._replace(standing=standing, todo=w.todo + tuple(a for a in acts if a[1] != FLEET))
        return label, after, self._wrong(after)

    def _wrong(self, w: World) -> str:
        s, plan = w.standing, self.plan
        if s.stage > s.verdicts:
            return f"stage {s.stage} began with {s.verdicts} verdicts"
        if s.change == "kept" and not all(w.truth[i].revision == NEW for stage in plan.stages for i in stage):
            return "kept, and a node has the old revision"
        if s.change == "undone" and any(x.up and x.revision == NEW and not x.leaving for x in w.truth):
            return "undone, and a node has the new revision"
        away = [i for i, x in enumerate(w.truth) if (not x.up or x.leaving) and not x.hit]
        if len(away) > plan.most_away:
            return f"nodes {away} are away by order, {plan.most_away} may be"
        return ""

    def _put(self, w: World, i: int, **more: object) -> World:
        w = w._replace(truth=w.truth[:i] + (w.truth[i]._replace(**more),) + w.truth[i + 1 :])
        return w

    def _act(self, w: World) -> tuple[str, World, str]:
        (verb, i), after = w.todo[0], w._replace(todo=w.todo[1:])
        x, label = w.truth[i], f"{verb} {i}"
        if verb == course.LEAVE and x.up:
            after = self._put(after, i, leaving=True)
        elif verb in (course.APPLY, course.UNAPPLY) and x.up:
            after = self._put(after, i, revision=NEW if verb == course.APPLY else OLD)
        elif verb in (tables.BEGIN, tables.BEGIN_OLD) and not x.up:
            revision = NEW if verb == tables.BEGIN else OLD
            exits = (self.s.bad if revision == NEW else self.s.old_bad) == "exits"
            after = self._put(
                after, i, revision=revision, up=not exits, leaving=False, proven=False, ours=True
            )
        elif verb == tables.KILL:
            after = self._put(after, i, up=False, leaving=False)
        return label, after, self._wrong(after)

    def _looks(self, w: World) -> Iterator[tuple[str, World, str]]:
        for i, x in enumerate(w.truth):
            if not x.up:
                event = "quit" if x.ours else "gone"
            elif x.leaving:
                event = "leaving"
            else:
                event = (("was", "old"), ("new", "proven"))[x.revision][x.proven]
            label, after, breach = self._event(w, i, event, f"{i} is seen {event}")
            if breach or after != w:
                yield label, after, breach

    def _clock(self, w: World) -> Iterator[tuple[str, World, str]]:
        s = w.standing
        for i, state in enumerate(s.nodes):
            if state == "warming":
                yield self._event(w, i, "warm")
            if state in tables.MOVING and (w.truth[i].up or state == "returning"):
                yield self._event(w, i, "overdue")
        if s.change in ("changing", "settling", "holding"):
            yield self._event(w, FLEET, "bound")

    def _verdicts(self, w: World) -> Iterator[tuple[str, World, str]]:
        s = w.standing
        last = s.stage == len(self.plan.stages) - 1
        events = {
            "planned": ("begin",),
            "measuring": ("measured",),
            "watching": ("last" if last else "pass", "worse", "trouble"),
            "holding": ("clear", "worse"),
        }
        for event in events.get(s.change, ()):
            yield self._event(w, FLEET, event)

    def _processes(self, w: World) -> Iterator[tuple[str, World, str]]:
        for i, x in enumerate(w.truth):
            if x.leaving:
                after = self._put(w, i, up=False, leaving=False, ours=False)
                yield f"{i} has left", after, self._wrong(after)
            bad = self.s.bad if x.revision == NEW else self.s.old_bad
            if x.up and not x.proven and bad != "never ready":
                yield f"{i} proves itself", self._put(w, i, proven=True), ""

    def _faults(self, w: World) -> Iterator[tuple[str, World, str]]:
        hit = w._replace(faults=w.faults + 1)
        if w.standing.change not in ("planned", *ENDS):
            yield self._event(hit, FLEET, "undo", "the operator undoes")
        truth = tuple(x._replace(ours=False) for x in hit.truth)
        yield "the controller dies and resumes", hit._replace(todo=(), truth=truth), ""
        for i, x in enumerate(w.truth):
            if x.up and not x.leaving:
                yield f"{i} is killed", self._put(hit, i, up=False, hit=True), ""
