"""The rules, the breaches that were found, and the type in which a rule registers its handlers of records."""

from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple, TypeAlias

from myrtlehub.records import Record

RecordHandlers: TypeAlias = dict[str, Callable[[Record], None]]  # by kind of record


class Rule(IntEnum):
    """The five rules, by their numbers."""

    FINAL_ANSWER = 1
    SINGLE_EFFECT = 2
    DRAIN = 3
    COLD_ENGINE = 4
    READ_STATE = 5


# The names of rules in stored verdicts and on results pages are fixed.
RULE_NAMES = {
    Rule.FINAL_ANSWER: "one final answer",
    Rule.SINGLE_EFFECT: "no effect twice",
    Rule.DRAIN: "drains kept",
    Rule.COLD_ENGINE: "no cold engine pushed over",
    Rule.READ_STATE: "nothing left pinned",
}


class Breach(NamedTuple):
    """One case in which a rule was broken."""

    rule: Rule
    at: float  # seconds, on the clock of the records
    text: str


class Findings:
    """All breaches, and how many cases each rule was checked on."""

    def __init__(self) -> None:
        self.breaches: list[Breach] = []
        self.counts = dict.fromkeys(Rule, 0)

    def count(self, rule: Rule) -> None:
        """Count one case that a rule was checked on."""
        self.counts[rule] += 1

    def add_breach(self, rule: Rule, at: float, text: str) -> None:
        """Add a breach."""
        self.breaches.append(Breach(rule, at, text))
