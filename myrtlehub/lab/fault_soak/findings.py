"""The rules of a soak run, and the findings: breaches of them."""

from enum import StrEnum
from typing import NamedTuple


class Rule(StrEnum):
    """The rules. The values are printed, and name the rule to `hub-soak shrink`."""

    FINAL_ANSWER = "lost"  # each request gets a final answer in time, and a complete stream in full
    UNCHANGED_STREAM = "spoilt"  # a complete answer is the unaltered stream of one engine
    SINGLE_EXECUTION = "twice"  # retries respect the retry semantics of the traffic type
    CLIENT_PRESENT = "after the client"  # no attempt starts after the client has disconnected
    REMAINING_TIME = "time told"  # engines are not sent more time than the client has left
    DRAINING = "drain"  # draining engines get no attempts after the grace time
    STATE_RELEASED = "pinned"  # no read state is held for long without an attempt in flight
    INCOMPLETE_REQUEST = "half request"  # incomplete requests time out
    NO_CRASH = "crash"
    NODE_INVARIANT = "invariant"  # by the nodes' own counters
    RECOVERY = "not recovered"  # nodes answer and exit after all faults


class Finding(NamedTuple):
    """One breach of a rule.

    Attributes:
        rule: The rule that was broken.
        subject: Id of a request, name of a node, or name of an invariant.
        detail: What was observed.
    """

    rule: Rule
    subject: str
    detail: str


class RuleTerms(NamedTuple):
    """Durations in seconds that the rules take from the settings of the nodes."""

    drain_grace: float
    state_timeout: float
    dedup_window: float
