"""The settings of the nodes in a soak, in the platform's format, and the time limits that the rules apply."""

from typing import TypeAlias

from myrtlehub.lab.fault_soak.findings import RuleTerms
from myrtlehub.lab.fault_soak.records import TrafficType

HOST = "127.0.0.1"
ZONE = "z"
READER = "r"  # machine types, and the first letters of engines' names
WRITER = "w"
DRAIN_GRACE_MS = 250.0
STATE_TIMEOUT_MS = 600.0
DEDUP_WINDOW_MS = 900.0
SHORT_PROMPT_TOKENS = 100  # tokens; short enough that the writer computes the prompt itself
LONG_PROMPT_TOKENS = 2000  # tokens; long enough that a reader computes the prompt first
TERMS = RuleTerms(DRAIN_GRACE_MS / 1e3, STATE_TIMEOUT_MS / 1e3, DEDUP_WINDOW_MS / 1e3)

PlatformSettings: TypeAlias = dict[str, object]  # the platform's JSON object


def _traffic_type(name: TrafficType, effect: str, deadline_s: float, **more: object) -> PlatformSettings:
    times = {"AimMs": 500.0 * deadline_s, "GiveUpMs": 1000.0 * deadline_s}
    return {"Name": name.value, "Effect": effect, **times, "Credit": 1.0, "LateWorth": 0.3, **more}


def _traffic_types(deadline_s: float) -> list[PlatformSettings]:
    dedup = {"DedupScope": "all", "WindowMs": DEDUP_WINDOW_MS}
    return [
        _traffic_type(TrafficType.IDEMPOTENT, "idempotent", deadline_s),
        _traffic_type(TrafficType.AT_MOST_ONCE, "at_most_once", deadline_s),
        _traffic_type(TrafficType.DEDUPLICATED, "deduplicated", deadline_s, **dedup),
    ]


def platform_settings(node_count: int, ordinal: int, deadline_s: float) -> PlatformSettings:
    """Return the settings of one node; `deadline_s`: the deadline of all traffic types, in seconds."""
    return {
        "Balancers": node_count,
        "Ordinal": ordinal,
        "Zones": [ZONE],
        "MyZone": ZONE,
        "PeriodMs": 4.0,
        "OverShareWorth": 0.1,
        "MachineTypes": [READER, WRITER],
        "Orgs": [],
        "Classes": _traffic_types(deadline_s),
        "Caps": {
            "Cancel": True,
            "MostTries": 5,
            "RetryAfter": True,
            "MaxRetryAfterMs": 1000.0,
            "ConnectTimeoutMs": 250.0,
            "KeepaliveMs": 4000.0,
            "SecondCopies": True,
        },
        "Invariants": {
            "AnswerSlackMs": 16.0,
            "ColdMs": 3000.0,
            "ColdShare": 0.25,
            "DrainGraceMs": DRAIN_GRACE_MS,
            "FallMs": 1000.0,
            "FallMultiple": 2.5,
        },
        "Report": {"How": "inline", "Names": ["x0", "x1"]},
        "Specifics": {
            "DutyByKind": ["read", "write"],
            "KvTokens": [200000, 200000],
            "LetGoByMs": STATE_TIMEOUT_MS,
            "SelfPrefill": True,
            "TokenAimMs": [50.0, 50.0, 50.0],
        },
    }
