"""Takeover between processes: nodes are killed, paused, cut off and drained, and others continue their work.

The scenario is judged by the five rules, from what passed on sockets, and by what became of in-flight
sequences.
"""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from myrtlehub.lab.rule_checker.checker import RuleChecker
from myrtlehub.node.replication.takeover_machine import TAKEOVER_TABLE
from myrtlehub.records import Record

TRAFFIC = {"latency_slo": "2s", "abandon_time": "5s", "prompt": [50, 300], "output": [150, 400]}
DAY = {
    "length": "19s",
    "rate": 16,
    "fleet": {"nodes": 4, "readers": 2, "writers": 3},
    "seed": 3,
    "reader": {"slots": 8, "queue": 60, "read_rate": 20000},
    "writer": {"slots": 60, "queue": 60, "read_rate": 12000, "step": "15ms", "step_crowd": 0.2},
    "clients": {"retries": 2, "whole": "20s"},
    "takeover": {"stream_bound": "8s", "comes_back": "3s"},
    "traffic": [
        {"name": "ask", "share": 0.4, "repeats": "repeatable", **TRAFFIC},
        {"name": "post", "share": 0.4, "repeats": "once-only", **TRAFFIC},
        {"name": "note", "share": 0.2, "repeats": "tokened", "dedup_window": "5s", **TRAFFIC},
    ],
    "rules": {
        "answer_slack": "50ms",
        "drain_grace": "250ms",
        "let_go": "500ms",
        "cold_share": 0.25,
        "cold_time": "4s",
        "fall_multiple": 2.5,
        "fall_time": "1s",
    },
    "faults": [
        {"at": "3s", "do": "kill", "whom": ["node-1"], "lasts": "2s"},
        {"at": "6s", "do": "pause", "whom": ["node-2"], "lasts": "3s"},
        {"at": "9s", "do": "cut off", "whom": ["node-3"], "lasts": "2s"},
        {"at": "14s", "do": "kill", "whom": ["node-3"], "lasts": "2s"},
        {"at": "16s", "do": "leave", "whom": ["node-4"], "lasts": "1s"},
    ],
}


def run_scenario(folder: Path, **takeover: object) -> dict:
    day = {**DAY, "takeover": {**DAY["takeover"], **takeover}}
    (folder / "day.yaml").write_text(json.dumps(day))
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "myrtlehub.cli.scenario",
            str(folder / "day.yaml"),
            "--json",
            "--quiet",
            "--keep",
            str(folder / "kept"),
        ],
        capture_output=True,
        text=True,
        timeout=240,
    )
    assert done.returncode in (0, 1), done.stderr[-3000:]
    return json.loads(done.stdout)


@pytest.mark.parametrize("claims", [True, False], ids=["engines answer claims", "engines answer none"])
def test_a_scenario_of_losses_keeps_the_rules_and_work_continues(tmp_path: Path, claims: bool) -> None:
    verdict = run_scenario(tmp_path, claims=claims)
    breaches = [b for r in verdict["rules"] for b in r["breaches"]]
    assert not breaches and not verdict["unclean"], (breaches, verdict["unclean"])
    lost = verdict["takeover"]["lost"]
    streaming = {
        ends: sum(row.get(ends, 0) for what, row in lost.items() if "streaming" in what)
        for ends in ("generated", "aborted", "lost")
    }
    total = sum(streaming.values())
    assert total >= 8, lost
    if claims:
        assert streaming["generated"] >= 0.9 * total, lost
        assert verdict["takeover"]["does"].get("attach", 0) >= 8, verdict["takeover"]
    else:
        # Nobody knows what has run, and the writers' streams ended with their node: as without takeover.
        assert not streaming["generated"] and not verdict["takeover"]["does"].get("attach"), lost


def test_a_takeover_has_a_transition_for_every_event_in_every_state() -> None:
    assert not TAKEOVER_TABLE.missing()


# -- the checker: a takeover that went wrong is seen ------------------------------------------------------

TERMS = Record(
    0.0,
    "day",
    "terms",
    {
        "traffic": [{"name": "post", "repeats": "once-only"}],
        "let_go": 0.5,
        "engines": [("w1", 0, "z"), ("w2", 0, "z")],
    },
)
WORK = {"seq": "n1.r.0", "mark": "m", "traffic": "post", "reads": False, "work": 0.1}
GOOD = [
    TERMS,
    Record(
        1.0,
        "client",
        "ask",
        {"call": "m.0", "node": "n1", "traffic": "post", "mark": "m", "left": 5.0, "whole": 20.0},
    ),
    Record(1.0, "client", "seq", {"call": "m.0", "seq": "n1.r.0"}),
    Record(1.1, "w1", "got", {**WORK, "attempt": 0, "node": "n1"}),
    Record(1.2, "w1", "ran", {**WORK, "attempt": 0}),
    Record(1.3, "client", "token", {"call": "m.0"}),
    Record(2.0, "day", "killed", {"who": "n1"}),
    Record(2.0, "client", "over", {"call": "m.0", "code": "UNAVAILABLE", "unprocessed": False}),
    Record(
        2.1,
        "client",
        "ask",
        {"call": "m.1", "node": "n2", "traffic": "post", "mark": "m", "left": 19.0, "whole": 19.0},
    ),
    Record(2.1, "client", "goes on", {"call": "m.1", "after": "m.0", "tokens": 4}),
    Record(2.1, "client", "seq", {"call": "m.1", "seq": "n1.r.0"}),
    Record(2.2, "w1", "claimed", {"seq": "n1.r.0", "granted": True, "close": False}),
    Record(3.0, "w1", "ended", {"seq": "n1.r.0", "attempt": 0, "tokens": 9, "sum": 77}),
    Record(
        3.1,
        "client",
        "final",
        {"call": "m.1", "answer": "generated", "tokens": 5, "ids": 9, "sum": 77, "seq": "n1.r.0"},
    ),
    Record(3.1, "client", "over", {"call": "m.1", "code": "OK", "unprocessed": False}),
]
AGAIN = [
    Record(2.3, "w2", "got", {**WORK, "attempt": 1, "node": "n2"}),
    Record(2.4, "w2", "ran", {**WORK, "attempt": 1}),
]
WRONG = {
    "what runs is sent to another engine": ([*GOOD[:12], *AGAIN, *GOOD[12:]], 2, "sent to w2"),
    "a token is missing": (
        [
            *GOOD[:13],
            Record(3.1, "client", "final", {**GOOD[13].more, "ids": 8, "sum": 76}),
            *GOOD[14:],
        ],
        1,
        "are not those that a writer made",
    ),
    "an answer after an answer": (
        [
            *GOOD[:6],
            Record(1.9, "client", "final", {"call": "m.0", "answer": "aborted", "tokens": 4}),
            *GOOD[6:],
        ],
        1,
        "came back though m.0 was aborted",
    ),
    "nobody came back for it": (GOOD[:6] + GOOD[7:8], 1, "its client did not come back"),
}


def judged(records: list[Record]) -> list:
    checker = RuleChecker()
    for record in records:
        checker.see(record)
    return checker.finish()


def test_a_good_takeover_is_no_breach() -> None:
    assert not judged(GOOD)
    never = [
        *[r for r in GOOD if r.what != "ran"][:11],
        Record(2.15, "w1", "stopped", {"seq": "n1.r.0", "attempt": 0, "why": "UNAVAILABLE", "ran": False}),
        GOOD[11],
        *AGAIN,
    ]
    assert not [b for b in judged(never) if b.rule == 2]  # it had not run, and a claim proved it


@pytest.mark.parametrize("name", WRONG)
def test_a_takeover_that_went_wrong_is_seen(name: str) -> None:
    records, rule, said = WRONG[name]
    assert [b for b in judged(records) if b.rule == rule and said in b.text], judged(records)
