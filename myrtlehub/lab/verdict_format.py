"""The verdict as verdict.json has it; the keys are stored and read by other programs."""

from typing import NotRequired, TypedDict

from myrtlehub.lab.simulated_clients.batch_tally import BatchFigures
from myrtlehub.lab.simulated_clients.chat_tally import ChatFigures


class RuleFigures(TypedDict):
    """How often a rule was checked, and each violation of it."""

    rule: int
    name: str
    checked: int
    breaches: list[str]


class EndpointListFigures(TypedDict):
    """Which endpoint list versions were used, and how soon after they were written."""

    attempts: int
    versions_used: int
    breaches: list[str]
    first_send: dict[str, float]
    last_send: dict[str, float]


class ListFileFigures(EndpointListFigures):
    """The same with what was written to the list files."""

    versions: int
    torn: int
    wrong: int
    deleted: int


class RolloutFigures(TypedDict):
    """How the rollout of a scenario ended."""

    ends: str
    as_stated: bool
    seconds: float
    revisions_at_the_end: int
    controllers: int


class TakeoverFigures(TypedDict):
    """Outcomes of the sequences of lost nodes, and what the nodes that took them over did."""

    lost: dict[str, dict[str, int]]
    came_back: int
    pause: dict[str, float]
    does: dict[str, int]
    records_p99: float
    claimed_p99: float


class Verdict(TypedDict):
    """All findings of one scenario."""

    seed: int
    kept: bool
    rules: list[RuleFigures]
    lists: ListFileFigures | None
    batches: BatchFigures | None
    unclean: list[str]
    attempts: dict[str, int]
    cases: dict[str, int]
    cancels: dict[str, dict[str, float]]
    excused: int
    client_behind: float
    traffic: dict[str, ChatFigures]
    roll: NotRequired[RolloutFigures]
    takeover: NotRequired[TakeoverFigures]
