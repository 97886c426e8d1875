"""Tests of load probing, with emulated engines that report load to probes only."""

import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest
from fleet import Fleet
from fleet_checks import assert_nothing_left, assert_rules_kept
from paths import ROOT

from myrtlehub.config.loader import ConfigError, parse_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.lab.processes import free_ports
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.router_config import router_config_of
from myrtlehub.records import read
from myrtlehub.routing import contract

PROBE_SETTINGS = """
engines_may: {probe: yes}
reports: {how: probe, probe_price: 0.002, probe_timeout: 100ms}
"""
EXAMPLE_SETTINGS = (ROOT / "examples" / "node.yaml").read_text()
CHAT_SETTINGS = re.sub(r"  - \{name: (vec|sort).*\n", "", EXAMPLE_SETTINGS)


class ProbeResult(NamedTuple):
    """The result of one probe."""

    address: str
    is_answered: bool
    load: contract.LoadReport | None


class ProbeRecordingExecutor(ActionExecutor):
    """An action executor that records the result of each probe."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.probe_results: list[ProbeResult] = []

    def _probe_ended(self, engine: int, since: float, is_answered: bool, load: object) -> None:
        self.probe_results.append(
            ProbeResult(self.decoder.engines.endpoints[engine].address, is_answered, load)
        )
        super()._probe_ended(engine, since, is_answered, load)


def probing_fleet(engines: str = "R0 W0 W0", **more: object) -> Fleet:
    return Fleet(
        engines, executor_class=ProbeRecordingExecutor, more_settings=PROBE_SETTINGS, reports="probe", **more
    )


def test_load_reports_of_probes_determine_the_writers_of_later_sequences() -> None:
    fleet = probing_fleet()
    executor = fleet.nodes["n0"].executor
    fleet.generate(prompt=3000)
    fleet.run(2.0)
    results = executor.probe_results
    assert {result.address for result in results} >= {"R0a:1", "W0b:1", "W0c:1"}
    assert all(result.is_answered for result in results)
    assert all(result.load.memory_share is not None and result.load.unread is not None for result in results)
    assert not fleet.records("load") and [c.answer for c in fleet.calls] == ["generated"]
    fleet.engines["W0b"].model.resources.used_memory = 199000.0  # filled by sequences of other nodes
    for _ in range(8):
        fleet.generate(prompt=400)
        fleet.run(0.4)
    wrote = [r.who for r in fleet.records("got") if not r.more["reads"]][1:]
    assert wrote and set(wrote) == {"W0c:1"}
    fleet.engines["W0b"].model.resources.used_memory = 0.0
    fleet.run(4.0)
    assert_rules_kept(fleet)


def test_an_unanswered_probe_delays_no_sequence() -> None:
    fleet = probing_fleet()
    fleet.inject_fault("W0b", "hang", seconds=30.0)
    fleet.run(0.1)
    caller = fleet.generate(prompt=3000)
    fleet.run(4.0)
    assert caller.answer == "generated"
    results = [result for result in fleet.nodes["n0"].executor.probe_results if result.address == "W0b:1"]
    # The timeout is the only result that is recorded.
    assert results and not any(result.is_answered for result in results)
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)


def test_outstanding_probe_reserves_the_index_of_a_removed_engine() -> None:
    fleet = probing_fleet()
    fleet.inject_fault("W0b", "hang", seconds=30.0)
    fleet.run(0.1)
    fleet.generate(prompt=300)
    fleet.run(0.01)
    fleet.push_list_event("W0b", "gone")
    fleet.run(3.0)  # the probe times out after the engine was removed from the list
    assert any(result.address == "W0b:1" for result in fleet.nodes["n0"].executor.probe_results)
    assert len(fleet.nodes["n0"].executor.decoder.engines.index_by_address) == 2


def test_without_probes_responses_report_load() -> None:
    fleet = Fleet("R0 W0 W0", executor_class=ProbeRecordingExecutor)
    fleet.generate(prompt=3000)
    fleet.run(2.0)
    assert not fleet.nodes["n0"].executor.probe_results and fleet.calls[0].answer == "generated"
    assert 0 in fleet.nodes["n0"].executor.router.estimates.mean_memory_share


def test_probe_settings_reach_the_router_config_and_default_to_off() -> None:
    probe_settings = CHAT_SETTINGS.replace("hold: no}", "hold: no, probe: yes}")
    probe_settings += "reports: {how: probe, probe_price: 0.01}\n"
    default, probing = (
        router_config_of(parse_config(CHAT_SETTINGS, NodeConfig)),
        router_config_of(parse_config(probe_settings, NodeConfig)),
    )
    assert (default.load_by_probe_only, default.probe_price, default.may_probe) == (False, 0.0, False)
    assert (probing.load_by_probe_only, probing.probe_price, probing.may_probe) == (True, 0.01, True)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (CHAT_SETTINGS + "reports: {how: probe}\n", "reports.how"),
        (CHAT_SETTINGS.replace("hold: no}", "hold: no, probe: yes}"), "engines_may.probe"),
        (CHAT_SETTINGS + "reports: {probe_price: 0.01}\n", "reports.probe_price"),
        (CHAT_SETTINGS + "reports: {probe_timeout: 1s}\n", "reports.probe_timeout"),
        (
            EXAMPLE_SETTINGS.replace("hold: no}", "hold: no, probe: yes}") + "reports: {how: probe}\n",
            "reports.how",
        ),
    ],
)
def test_contradictory_probe_settings_are_rejected_with_their_key(text: str, key: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_config(text, NodeConfig, "n.yaml")
    assert len(caught.value.lines) == 1 and f"file: {key}: " in caught.value.lines[0]


def test_rejections_have_no_retry_after_if_max_wait_is_zero() -> None:
    fleet = Fleet("R0 W0", more_settings="", node_options="max_wait: 0s")
    for name in ("R0a", "W0b"):
        fleet.push_list_event(name, "draining")
    fleet.run(0.1)
    caller = fleet.generate(prompt=300, time_left=1.0)
    fleet.run(2.0)
    assert caller.answer == "rejected" and caller.wait == 0


def start_processes(
    folder: Path, node_reports: str, engine_reports: str
) -> tuple[list[subprocess.Popen], str]:
    """Start a reader, a writer and a node on loopback; return them and the address of the node."""
    ports = free_ports(4)
    node_settings = CHAT_SETTINGS.replace("127.0.0.1:7100", f"127.0.0.1:{ports[0]}").replace(
        "127.0.0.1:7101", f"127.0.0.1:{ports[1]}"
    )
    for index, kind in ((2, "r"), (3, "w")):
        node_settings = node_settings.replace(f"10.0.0.{index - 1}:7200", f"127.0.0.1:{ports[index]}")
        (folder / f"{kind}.yaml").write_text(
            f"{{name: {kind}, listen: '127.0.0.1:{ports[index]}', "
            f"{'reads' if kind == 'r' else 'writes'}: yes, step: 2ms, "
            f"reports: {engine_reports}, records: '{folder / kind}.records'}}"
        )
    node_settings = re.sub(r'    - \{address: "10.*\n', "", node_settings)
    if node_reports == "probe":
        node_settings = (
            node_settings.replace("hold: no}", "hold: no, probe: yes}") + "reports: {how: probe}\n"
        )
    (folder / "node.yaml").write_text(node_settings)
    running = []
    for name in ("r", "w", "node"):
        program = f"myrtlehub.cli.{'node' if name == 'node' else 'emulator'}"
        process = subprocess.Popen(
            [sys.executable, "-m", program, folder / f"{name}.yaml"],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            cwd=ROOT,
        )
        running.append(process)
        while b'"ready"' not in process.stdout.readline():
            assert process.poll() is None
    return running, f"127.0.0.1:{ports[0]}"


@pytest.mark.parametrize(
    ("node_reports", "engine_reports"), [("probe", "probe"), ("probe", "answers"), ("answers", "answers")]
)
def test_node_process_serves_with_and_without_probes(
    tmp_path: Path, node_reports: str, engine_reports: str
) -> None:
    running, address = start_processes(tmp_path, node_reports, engine_reports)
    run = subprocess.run(
        [sys.executable, ROOT / "examples" / "ask_sync.py", address],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
    )
    for process in reversed(running):
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
        process.stdout.close()
    assert run.returncode == 0 and " tokens in 1 attempts" in run.stdout, run.stderr
    events = {name: {r.what for r in read(tmp_path / f"{name}.records")} for name in "rw"}
    assert any("probed" in names for names in events.values()) == (node_reports == "probe")


def test_contradictory_probe_settings_end_the_program_with_exit_code_2(tmp_path: Path) -> None:
    (tmp_path / "node.yaml").write_text(CHAT_SETTINGS + "reports: {how: probe}\n")
    run = subprocess.run(
        [sys.executable, "-m", "myrtlehub.cli.node", tmp_path / "node.yaml"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert run.returncode == 2 and run.stderr.count("\n") == 1 and "reports.how: probe needs" in run.stderr
