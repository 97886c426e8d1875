"""The settings of the fleet of a fault soak, as the platform writes them, and its terms in seconds."""

from typing import Any

from myrtlehub.lab.fault_soak.oracle import Terms

HOST = "127.0.0.1"
ZONE = "z"
READER = "r"
WRITER = "w"
ASK = "ask"  # may be repeated
POST = "post"  # at most once
KEEP = "keep"  # deduplicated for a while
DRAIN_GRACE_MS = 250.0
STATE_TIMEOUT_MS = 600.0
DEDUP_WINDOW_MS = 900.0
SHORT_PROMPT = 100  # tokens; the writer reads it
LONG_PROMPT = 2000  # likewise, a reader does
TERMS = Terms(DRAIN_GRACE_MS / 1e3, STATE_TIMEOUT_MS / 1e3, DEDUP_WINDOW_MS / 1e3, POST, KEEP)


def _traffic_type(name: str, effect: str, **more: Any) -> dict[str, Any]:  # noqa: ANN401
    times = {"AimMs": 1500.0, "GiveUpMs": 3000.0}
    return {"Name": name, "Effect": effect, **times, "Credit": 1.0, "LateWorth": 0.3, **more}


def platform_settings(node_count: int, ordinal: int) -> dict[str, Any]:
    """Return the settings of one node."""
    return {
        "Balancers": node_count,
        "Ordinal": ordinal,
        "Zones": [ZONE],
        "MyZone": ZONE,
        "PeriodMs": 4.0,
        "OverShareWorth": 0.1,
        "MachineTypes": [READER, WRITER],
        "Orgs": [],
        "Classes": [
            _traffic_type(ASK, "idempotent"),
            _traffic_type(POST, "at_most_once"),
            _traffic_type(KEEP, "deduplicated", DedupScope="all", WindowMs=DEDUP_WINDOW_MS),
        ],
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
