"""Rollouts with real processes on loopback: nodes, engines, clients, and a controller that is killed.

Each scenario ends when its rollout ends. The test checks the five rules and the expected end of the rollout.
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
    "nodes that ignore drain orders": {"was": "deaf", "now": "equal", "ends": "kept"},
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
MAX_CONCURRENT_SCENARIOS = 3  # a scenario uses little CPU, because it mostly waits


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[int, Path]]:
    """Run all scenarios; return the exit code and the directory of each by its name."""
    finished, running = {}, []
    for seed, (name, rollout) in enumerate(ROLLOUTS.items()):
        directory = tmp_path_factory.mktemp("scenario")
        scenario = {**SCENARIO, "seed": seed, "roll": {**ROLLOUT, **rollout}}
        if "store" in name:
            scenario["list_files"] = {"store": True, "torn": 0.0, "wrong": 0.0, "deleted": 0.0}
        if "crashes" in name:
            scenario["faults"] = [{"at": "4s", "do": "crash", "whom": ["writer-2"], "lasts": "2s"}]
        (directory / "scenario.yaml").write_text(json.dumps(scenario))
        with (directory / "out").open("w") as stdout, (directory / "err").open("w") as stderr:
            running.append(
                (
                    name,
                    directory,
                    subprocess.Popen(
                        [
                            sys.executable,
                            "-m",
                            "myrtlehub.cli.scenario",
                            str(directory / "scenario.yaml"),
                            "--json",
                            "--keep",
                            str(directory / "kept"),
                        ],
                        stdout=stdout,
                        stderr=stderr,
                    ),
                )
            )
        while len(running) >= MAX_CONCURRENT_SCENARIOS or (running and seed == len(ROLLOUTS) - 1):
            finished_name, finished_directory, process = running.pop(0)
            finished[finished_name] = process.wait(), finished_directory
    return finished


@pytest.mark.parametrize("name", ROLLOUTS)
def test_a_rollout_ends_as_stated_and_no_rule_is_broken(outcomes: dict, name: str) -> None:
    code, directory = outcomes[name]
    stderr = (directory / "err").read_text()[-3000:]
    assert code in (0, 1), stderr
    verdict = json.loads((directory / "out").read_text())
    details = verdict["unclean"], verdict["roll"], stderr
    assert not [breach for rule in verdict["rules"] for breach in rule["breaches"]], details
    assert verdict["roll"]["as_stated"] and verdict["kept"], details
    assert verdict["roll"]["revisions_at_the_end"] == 1, details
    answers = [traffic["answers"] for traffic in verdict["traffic"].values()]
    assert sum(counts.get("generated", 0) for counts in answers) > 50, details
    if "clocks" in name:
        for process_name in ("node-3", "controller-1"):
            assert '"clock set", "by": -3600.0' in (directory / "kept" / f"{process_name}.log").read_text(), (
                process_name
            )
    if "good program" in name:
        assert verdict["roll"]["controllers"] == 3
        # A rollout of a program without faults aborts no sequence.
        assert not any(counts.get("aborted", 0) for counts in answers), details


PLAN = """
change: {settings: {was: "{name}.yaml", now: "{name}.new.yaml"}}
nodes: [{name: n0, admin: "127.0.0.1:9", zone: z}, {name: n1, admin: "127.0.0.1:10", zone: z}]
stages: [{nodes: 1}]
"""


@pytest.mark.parametrize("file_size_limit", [0, 30])
def test_a_full_disk_at_the_first_journal_line_begins_no_rollout(
    tmp_path: Path, file_size_limit: int
) -> None:
    """A file size limit emulates the full disk: none or a part of the first journal line fits."""
    plan, journal = tmp_path / "plan.yaml", tmp_path / "roll.journal"
    plan.write_text(PLAN)

    def run(**options: object) -> subprocess.CompletedProcess:
        return subprocess.run(
            [sys.executable, "-m", "myrtlehub.cli.rollout", "run", str(plan)],
            capture_output=True,
            text=True,
            **options,
        )

    failed = run(
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (file_size_limit, file_size_limit))
    )
    assert failed.returncode == 4 and "nothing was done" in failed.stderr, failed.stderr
    assert not failed.stdout and journal.stat().st_size == file_size_limit
    retried = run()  # without the limit; the incomplete first line does not count as a rollout that has begun
    assert retried.returncode == 2 and "not all nodes answer: n0, n1" in retried.stdout, retried
