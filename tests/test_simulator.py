"""Wire lines through the adapter's real process."""

import json
import subprocess
import sys

import pytest

ENGINES = [
    {"Engine": "e-w", "Type": "decode", "State": "SERVING", "Dc": "z"},
    {"Engine": "e-r", "Type": "prefill", "State": "SERVING", "Dc": "z"},
]
SETTINGS = {
    "Balancers": 1,
    "Caps": {"Cancel": True, "MostTries": 4, "Unheard": 1},
    "Zones": ["z"],
    "MyZone": "z",
    "Classes": [{"AimMs": 2000, "GiveUpMs": 9000, "Effect": "idempotent", "Name": "ask", "Credit": 1}],
    "MachineTypes": ["prefill", "decode"],
    "PeriodMs": 4,
    "Orgs": [{"Name": "t", "QuotaPerS": 5}],
    "Specifics": {"DutyByKind": ["read", "write"], "SelfPrefill": True, "LetGoByMs": 500},
}
START = [
    {"verb": "SPAWN", "NodeId": "node-0", "Entropy": 5, "Settings": SETTINGS},
    {"verb": "MEMBERS", "NodeId": "node-0", "Mode": "SAVED", "Epoch": 1, "Entries": ENGINES},
]


def ask(rid: str, tokens: int) -> dict:
    return {
        "verb": "REQ",
        "NodeId": "node-0",
        "Rid": rid,
        "InputLen": tokens,
        "TimeBudgetMs": 5000,
        "ClientGroup": "t",
        "Grade": "ask",
        "MaxTokens": 100,
        "Novel": True,
    }


def answer(rid: str, copy: int, engine: str, code: str, settled: bool = False) -> dict:
    return {
        "verb": "RESPONSE",
        "NodeId": "node-0",
        "Rid": rid,
        "Copy": copy,
        "Engine": engine,
        "StateCode": code,
        "LatencyMs": 9.5,
        "Settled": settled,
        "Telemetry": {"x0": 0.1, "zz": 3},
    }


def batch(frame: int, *events: dict) -> str:
    return json.dumps({"MomentMs": 1000.0 + frame, "frame": frame, "events": list(events)})


def host(*lines: str) -> tuple[int, list[list[str]], str]:
    run = subprocess.run(
        [sys.executable, "-m", "myrtlehub.simulator"],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        timeout=60,
    )
    replies = [json.loads(line) for line in run.stdout.splitlines()]
    short = [
        [
            " ".join(str(o[k]) for k in ("verb", "Rid", "Engine", "Copy") if k in o)
            for o in r["orders"]
            if o["verb"] != "DEFER"
        ]
        for r in replies
    ]
    return run.returncode, short, run.stderr


def test_a_sequence_through_both_stages() -> None:
    code, replies, err = host(
        batch(1),
        batch(2, *START),
        batch(3, ask("c:a", 3000), ask("c:b", 200)),
        batch(4, answer("c:a", 0, "e-r", "read")),
        batch(5, answer("c:b", 0, "e-w", "ok", True)),
        batch(6, {"verb": "DROPPED", "NodeId": "node-0", "Rid": "c:b"}),  # ended a moment ago
        batch(7, {"verb": "DROPPED", "NodeId": "node-0", "Rid": "c:a"}),
        batch(8, answer("c:a", 1, "e-w", "cancelled", True), {"verb": "KILL", "NodeId": "node-0"}, *START),
        batch(9, {"verb": "MEMBERS", "NodeId": "node-0", "Mode": "FAILED"}),
    )
    assert (code, err) == (0, "")
    assert replies == [
        [],
        [],
        ["PLACE c:a e-r", "PLACE c:b e-w"],
        ["PLACE c:a e-w"],
        [],
        [],
        ["UNDO_SEND c:a 1"],
        [],
        [],
    ]


@pytest.mark.parametrize(
    ("line", "said"),
    [
        ("{not json", "not JSON"),
        (batch(3, {"verb": "SHRUG", "NodeId": "node-0"}), "unknown verb SHRUG"),
        (batch(3, {"verb": "REQ", "NodeId": "node-0", "Rid": "c:a"}), "missing or unknown: 'Grade'"),
        (batch(3, {"verb": "WAKEUP", "NodeId": "node-9", "Name": "0"}), "has not been started"),
        ("[]", "an object"),
    ],
)
def test_malformed_input_ends_with_a_plain_line(line: str, said: str) -> None:
    code, replies, err = host(batch(2, *START), line)
    assert code == 2 and len(replies) == 1
    assert said in err and err.startswith("simhost: ") and err.count("\n") == 1
