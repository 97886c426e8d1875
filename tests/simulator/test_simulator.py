"""The simulator adapter as a process: input lines, output lines and error messages."""

import json
import subprocess
import sys

import pytest

ENTRIES = [
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
START_EVENTS = [
    {"verb": "SPAWN", "NodeId": "node-0", "Entropy": 5, "Settings": SETTINGS},
    {"verb": "MEMBERS", "NodeId": "node-0", "Mode": "SAVED", "Epoch": 1, "Entries": ENTRIES},
]
SHOWN_FIELDS = ("verb", "Rid", "Engine", "Copy")


def request(rid: str, tokens: int) -> dict:
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


def response(rid: str, attempt: int, engine: str, code: str, is_answered: bool = False) -> dict:
    return {
        "verb": "RESPONSE",
        "NodeId": "node-0",
        "Rid": rid,
        "Copy": attempt,
        "Engine": engine,
        "StateCode": code,
        "LatencyMs": 9.5,
        "Settled": is_answered,
        "Telemetry": {"x0": 0.1, "zz": 3},
    }


def dropped(rid: str) -> dict:
    return {"verb": "DROPPED", "NodeId": "node-0", "Rid": rid}


def batch(frame: int, *events: dict) -> str:
    return json.dumps({"MomentMs": 1000.0 + frame, "frame": frame, "events": list(events)})


def run_adapter(*lines: str) -> tuple[int, list[list[str]], str]:
    """Return the exit status, the orders of each reply except wake-ups, and the error output."""
    completed = subprocess.run(
        [sys.executable, "-m", "myrtlehub.simulator"],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        timeout=60,
    )
    replies = [json.loads(line)["orders"] for line in completed.stdout.splitlines()]
    shown_orders = [
        [
            " ".join(str(order[field]) for field in SHOWN_FIELDS if field in order)
            for order in orders
            if order["verb"] != "DEFER"
        ]
        for orders in replies
    ]
    return completed.returncode, shown_orders, completed.stderr


def test_a_sequence_is_read_and_then_written() -> None:
    status, replies, errors = run_adapter(
        batch(1),
        batch(2, *START_EVENTS),
        batch(3, request("c:a", 3000), request("c:b", 200)),
        batch(4, response("c:a", 0, "e-r", "read")),
        batch(5, response("c:b", 0, "e-w", "ok", True)),
        batch(6, dropped("c:b")),  # after its final answer
        batch(7, dropped("c:a")),
        batch(
            8,
            response("c:a", 1, "e-w", "cancelled", True),
            {"verb": "KILL", "NodeId": "node-0"},
            *START_EVENTS,
        ),
        batch(9, {"verb": "MEMBERS", "NodeId": "node-0", "Mode": "FAILED"}),
    )
    assert (status, errors) == (0, "")
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
    ("line", "error"),
    [
        ("{not json", "not JSON"),
        (batch(3, {"verb": "NO_SUCH_VERB", "NodeId": "node-0"}), "unknown verb NO_SUCH_VERB"),
        (batch(3, {"verb": "REQ", "NodeId": "node-0", "Rid": "c:a"}), "missing or unknown: 'Grade'"),
        (batch(3, {"verb": "WAKEUP", "NodeId": "node-9", "Name": "0"}), "has not been started"),
        ("[]", "an object"),
    ],
)
def test_malformed_input_ends_with_one_error_line(line: str, error: str) -> None:
    status, replies, errors = run_adapter(batch(2, *START_EVENTS), line)
    assert status == 2 and len(replies) == 1
    assert error in errors and errors.startswith("simhost: ") and errors.count("\n") == 1
