"""The course of a rolling change: where it and each node stand, and what is to be done next. Pure.

`step(terms, standing, who, event)` takes one event and gives the new standing and the acts that it asks for,
in order. The standing holds all there is to know, so a controller that died goes on by taking the events of
its journal once more. Acts may be carried out twice: each names the revision that it wants, and what is there
already is left.
"""

from typing import NamedTuple

from myrtlehub.rollout import tables as t
from myrtlehub.state.lives import BREACH, Broken, Table

FLEET = -1  # `who` of the whole change
DEATHS = 1  # of one changed node that are put down to chance: something else may have killed it once
IN_PLACE, REPLACE = "in place", "replace"
# Acts for a node; the fleet's are the doings of `tables.COURSE`.
LEAVE, APPLY, UNAPPLY = "leave", "apply", "unapply"


class Plan(NamedTuple):
    """What the course needs to know of a plan. Nodes are small indices, as all through `rollout`."""

    nodes: int
    stages: tuple[tuple[int, ...], ...]  # each node once, in the order of their turns
    how: str = REPLACE
    most_away: int = 1
    node_table: Table = t.NODE
    change_table: Table = t.COURSE


class Standing(NamedTuple):
    """Where it all stands."""

    change: str
    stage: int  # index of the stage in work; -1 before the first
    nodes: tuple[str, ...]
    absent: frozenset[int] = frozenset()  # without a process when last seen
    deaths: tuple[int, ...] = ()  # by node: ends of its own since it was changed
    verdicts: int = 0  # stages that were let pass by a verdict


Act = tuple[str, int]  # what, which node or FLEET


def first(plan: Plan) -> Standing:
    """Nothing done yet. ValueError for stages that name a node twice, or one that is not there."""
    named = [n for stage in plan.stages for n in stage]
    if sorted(named) != sorted(set(named)) or not set(named) <= set(range(plan.nodes)):
        raise ValueError("stages have to name each node once, and none that is not in the fleet")
    if not all(plan.stages) or not plan.stages or plan.most_away < 1:
        raise ValueError("a plan needs a stage, no empty one, and at least one node that may be away")
    return Standing(
        plan.change_table.first, -1, (plan.node_table.first,) * plan.nodes, frozenset(), (0,) * plan.nodes
    )


def away(s: Standing) -> set[int]:
    """Nodes that may not be serving now."""
    return {i for i, state in enumerate(s.nodes) if state in t.MOVING} | set(s.absent)


def in_work(plan: Plan, s: Standing) -> tuple[int, ...]:
    """Nodes of the stage in work."""
    return plan.stages[s.stage] if 0 <= s.stage < len(plan.stages) else ()


def step(plan: Plan, s: Standing, who: int, event: str) -> tuple[Standing, list[Act]]:
    """Take an event. Raises Broken where the tables rule it out."""
    acts: list[Act] = []
    s = _fleet(plan, s, event, acts) if who == FLEET else _node(plan, s, who, event, acts)
    return _onward(plan, s, acts), acts


def _row(table: Table, state: str, event: str) -> tuple[str, str]:
    found = table.steps.get((state, event))
    if found is None or found.do == BREACH:
        raise Broken(f"{table.name}: {event} in state {state}")
    return found


def _node(plan: Plan, s: Standing, who: int, event: str, acts: list[Act]) -> Standing:
    state, do = _row(plan.node_table, s.nodes[who], event)
    absent = s.absent
    if event in ("gone", "quit"):
        absent |= {who}
    elif event in ("leaving", "was", "old", "new", "proven", "other"):
        absent -= {who}
    s = s._replace(nodes=s.nodes[:who] + (state,) + s.nodes[who + 1 :], absent=absent)
    in_place = plan.how == IN_PLACE
    if do == t.CHANGE:
        acts.append((APPLY if in_place else LEAVE, who))
    elif do == t.UNCHANGE:
        acts.append((UNAPPLY if in_place else LEAVE, who))
    elif do in (t.BEGIN, t.BEGIN_OLD, t.KILL, t.TELL):
        acts.append((do, who))
    elif do == t.FAIL:
        acts.append((t.TELL, who))
        s = _fleet(plan, s, "failed", acts)
    elif do == t.DIED:
        deaths = min(s.deaths[who] + 1, DEATHS + 1)
        s = s._replace(deaths=s.deaths[:who] + (deaths,) + s.deaths[who + 1 :])
        acts.append((t.BEGIN, who))
        # One end of one node may be anybody's doing: the stage is held and watched anew. A second one is not.
        s = _fleet(plan, s, "failed" if deaths > DEATHS else "trouble", acts)
    return s


def _fleet(plan: Plan, s: Standing, event: str, acts: list[Act]) -> Standing:
    """The change takes an event, and with it those of its nodes that it is about."""
    state, do = _row(plan.change_table, s.change, event)
    if do == t.UNDO and s.change == "stuck":
        s = _all(plan, s, tuple(i for i, x in enumerate(s.nodes) if x == "stuck"), "undo", acts)
    if do == t.NEXT:
        if event == "pass":
            s = _all(plan, s, in_work(plan, s), "pass", acts)._replace(verdicts=s.verdicts + 1)
        s = s._replace(stage=s.stage + 1)
    elif do == t.FINISH and event == "last":
        s = _all(plan, s, in_work(plan, s), "pass", acts)._replace(verdicts=s.verdicts + 1)
    s = s._replace(change=state)
    if do in (t.MEASURE, t.NEXT, t.WATCH, t.HOLD, t.UNDO, t.FINISH, t.TELL):
        acts.append((do, FLEET))
    return s


def _all(plan: Plan, s: Standing, nodes: tuple[int, ...], event: str, acts: list[Act]) -> Standing:
    for i in nodes:
        s = _node(plan, s, i, event, acts)
    return s


def _onward(plan: Plan, s: Standing, acts: list[Act]) -> Standing:
    """What follows without anything being heard: whose turn it is, and which state is complete."""
    stage = in_work(plan, s)
    if s.change == "changing":
        for i in stage:
            if s.nodes[i] == "waiting" and len(away(s) | {i}) <= plan.most_away:
                s = _node(plan, s, i, "put" if plan.how == IN_PLACE else "go", acts)
        if all(s.nodes[i] == "ready" for i in stage) and not s.absent & set(stage):
            s = _fleet(plan, _all(plan, s, stage, "all", acts), "ready", acts)
    if s.change == "settling" and all(s.nodes[i] == "watched" for i in stage):
        s = _fleet(plan, s, "warm", acts)
    if s.change in ("undoing", "stuck"):
        s = _backward(plan, s, acts)
    return s


def _backward(plan: Plan, s: Standing, acts: list[Act]) -> Standing:
    """Undo: what is absent already first, then as many at a time as may be away."""
    if s.change == "undoing":
        todo = [i for i, state in enumerate(s.nodes) if state in t.CHANGED and state not in t.UNDOING]
        for i in sorted(todo, key=lambda i: (i not in away(s), i)):
            # Guards against an unchanged node that is gone for good: it may hold up a change, never an undo.
            ours = {n for n in away(s) if s.nodes[n] != "waiting"}
            if i in ours or len(ours | {i}) <= plan.most_away:
                s = _node(plan, s, i, "undo", acts)
    if all(state in ("waiting", "undone") for state in s.nodes):
        return _fleet(plan, s, "back", acts)
    if s.change == "undoing" and not any(state in t.MOVING for state in s.nodes):
        # Guards against an old program that does not start any more: undoing does not go on to the next node.
        s = _fleet(plan, s, "wedged", acts)
    return s
