"""Rollouts over real processes on loopback: nodes, engines, clients, a controller that is killed.

Each scenario ends with its rollout, whenever that is, and is checked by the five rules and by how the rollout
had to end.
"""

import json
import resource
import subprocess
import sys
from pathlib import Path

import pytest

TRAFFIC = {"latency_slo": "2s", "abandon_time": "5s", "prompt": [50, 200], "output": [5, 20]}
SCENARIO = {
    "length": "100s",
    "rate": 24,
    "fleet": {"nodes": 4, "readers": 2, "writers": 3},
    "reader": {"slots": 8, "queue": 60, "read_rate": 20000},
    "writer": {"slots": 30, "queue": 60, "read_rate": 12000, "step": "10ms"},
    "clients": {"retries": 2, "whole": "12s"},
    "traffic": [
        {"name": "ask", "share": 0.8, "repeats": "repeatable", **TRAFFIC},
        {"name": "post", "share": 0.2, "repeats": "once-only", **TRAFFIC},
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
}
ROLLOUT = {
    "stages": [1, 1.0],
    "plan": {
        "measure": "3s",
        "warm": "300ms",
        "watch": "5s",
        "block": "500ms",
        "look": "200ms",
        "hold": "20s",
        "drain_within": "5s",
        "start_within": "12s",
        "alarm": 0.05,
        "guards": [{"figure": "rejected", "worse": 0.1}, {"figure": "served", "worse": 0.2}],
    },
}
ROLLOUTS = {
    "a good program, its controller killed twice": {
        "now": "equal",
        "ends": "kept",
        "faults": [
            {"after": "changing", "do": "kill controller"},
            {"after": "watching", "do": "kill controller"},
        ],
    },
    "a program that exits at its start": {"now": "exits", "ends": "undone"},
    "a program that rejects most": {"now": "rejects-most", "ends": "undone"},
    "settings, while a writer crashes": {"now": "", "settings": {"node.max_wait": "1s"}, "ends": "kept"},
    "nodes that ignore all orders to leave": {"was": "deaf", "now": "equal", "ends": "kept"},
    "wall clocks of the controller and a node set back by an hour": {
        "now": "equal",
        "ends": "kept",
        "faults": [
            {"after": "measuring", "do": "set clock back", "whom": ["node-3"]},
            {"after": "changing", "do": "set clock back", "whom": ["controller"]},
        ],
    },
    "a program whose store the earlier one cannot read": {"now": "foreign", "ends": "undone"},
    "a node that the controller cannot reach for a while": {
        "now": "equal",
        "ends": "kept",
        "faults": [
            {"after": "changing", "do": "stall", "whom": ["node-2"]},
            {"after": "watching", "at": "2s", "do": "mend", "whom": ["node-2"]},
        ],
    },
}
AT_ONCE = 3  # scenarios: they mostly wait


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[int, Path]]:
    """All scenarios played: exit code and folder of each."""
    played, at_work = {}, []
    for seed, (name, roll) in enumerate(ROLLOUTS.items()):
        folder = tmp_path_factory.mktemp("day")
        day = {**SCENARIO, "seed": seed, "roll": {**ROLLOUT, **roll}}
        if "store" in name:
            day["list_files"] = {"store": True, "torn": 0.0, "wrong": 0.0, "deleted": 0.0}
        if "crashes" in name:
            day["faults"] = [{"at": "4s", "do": "crash", "whom": ["writer-2"], "lasts": "2s"}]
        (folder / "day.yaml").write_text(json.dumps(day))
        with (folder / "out").open("w") as out, (folder / "err").open("w") as err:
            at_work.append(
                (
                    name,
                    folder,
                    subprocess.Popen(
                        [
                            sys.executable,
                            "-m",
                            "myrtlehub.cli.scenario",
                            str(folder / "day.yaml"),
                            "--json",
                            "--keep",
                            str(folder / "kept"),
                        ],
                        stdout=out,
                        stderr=err,
                    ),
                )
            )
        while len(at_work) >= AT_ONCE or (at_work and seed == len(ROLLOUTS) - 1):
            done, where, process = at_work.pop(0)
            played[done] = process.wait(), where
    return played


@pytest.mark.parametrize("name", ROLLOUTS)
def test_a_rollout_ends_as_stated_and_no_rule_is_broken(outcomes: dict, name: str) -> None:
    code, folder = outcomes[name]
    err = (folder / "err").read_text()[-3000:]
    assert code in (0, 1), err
    verdict = json.loads((folder / "out").read_text())
    said = verdict["unclean"], verdict["roll"], err
    assert not [b for r in verdict["rules"] for b in r["breaches"]], said
    assert verdict["roll"]["as_stated"] and verdict["kept"], said
    assert verdict["roll"]["revisions_at_the_end"] == 1, said
    answers = [t["answers"] for t in verdict["traffic"].values()]
    assert sum(a.get("generated", 0) for a in answers) > 50, said
    if "clocks" in name:
        for who in ("node-3", "controller-1"):
            assert '"clock set", "by": -3600.0' in (folder / "kept" / f"{who}.log").read_text(), who
    if "good program" in name:
        assert verdict["roll"]["controllers"] == 3
        assert not any(a.get("aborted", 0) for a in answers), said  # nothing is lost in a good rollout


PLAN = """
change: {settings: {was: "{name}.yaml", now: "{name}.new.yaml"}}
nodes: [{name: n0, admin: "127.0.0.1:9", zone: z}, {name: n1, admin: "127.0.0.1:10", zone: z}]
stages: [{nodes: 1}]
"""


@pytest.mark.parametrize("room", [0, 30])
def test_a_disk_that_is_full_at_the_first_line_begins_nothing(tmp_path: Path, room: int) -> None:
    """A bound on the size of files stands for the disk: no byte of the journal fits, or a part of a line."""
    plan, journal = tmp_path / "plan.yaml", tmp_path / "roll.journal"
    plan.write_text(PLAN)

    def run(**more: object) -> subprocess.CompletedProcess:
        return subprocess.run(
            [sys.executable, "-m", "myrtlehub.cli.rollout", "run", str(plan)],
            capture_output=True,
            text=True,
            **more,
        )

    full = run(preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (room, room)))
    assert full.returncode == 4 and "nothing was done" in full.stderr, full.stderr
    assert not full.stdout and journal.stat().st_size == room
    again = run()  # there is room now: what is left of the first line is no change that was begun
    assert again.returncode == 2 and "not all nodes answer: n0, n1" in again.stdout, again
