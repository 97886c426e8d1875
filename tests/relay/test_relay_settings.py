"""Node settings: invalid files and reloads; also the modules that the program imports."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from relaymessages import SETTINGS
from relayrig import RelayRig

from myrtlehub.log_events import LogEvent
from myrtlehub.relay.errors import SettingsError
from myrtlehub.relay.settings.node_settings import read_node_settings
from myrtlehub.relay.settings.settings_reload import reload_settings


def test_sighup_changes_the_address_of_discovery_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    rig = RelayRig("w1")
    logged: list[str] = []
    path = tmp_path / "c.json"

    def reload() -> None:
        reload_settings(
            str(path),
            rig.node.settings,
            rig.node.discovery.change_address,
            lambda event, **fields: logged.append(event),
        )

    path.write_text("{")
    reload()
    assert logged == [LogEvent.SETTINGS_RELOAD_FAILED] and rig.node.discovery.address == "disco:1"
    rig.net.listen("disco:2", rig.discovery)
    path.write_text(json.dumps({"listen": "127.0.0.1:1", "discovery": "disco:2", "settings": {}}))
    rig.entries["w2"] = rig.entry("w2")
    rig.engines["w2"] = rig.engines["w1"]
    reload()
    rig.run(0.1)
    assert rig.node.discovery.address == "disco:2" and "w2" in rig.node.decoder.engines.index_by_address


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (None, "RELAY_CONFIG"),
        ("[]", "RELAY_CONFIG"),
        ("{", "RELAY_CONFIG"),
        ('{"discovery":"a:1","settings":{}}', "listen"),
        ('{"listen":"a:1","settings":{}}', "discovery"),
        ('{"listen":"a:1","discovery":"a:1"}', "settings"),
        ('{"listen":"a","discovery":"a:1","settings":{}}', "listen"),
        ('{"listen":"a:1","discovery":"a:x","settings":{}}', "discovery"),
        ('{"listen":"a:1","discovery":"a:1","settings":{},"limits":{"sockets":"many"}}', "limits.sockets"),
    ],
)
def test_errors_of_invalid_settings_name_the_key(tmp_path: Path, text: str | None, key: str) -> None:
    path = tmp_path / "c.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(SettingsError, match=key):
        read_node_settings(str(path))


def test_the_program_exits_with_2_and_one_line_if_settings_lack_a_key(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text('{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"Zones":[]}}')
    for env in ({"RELAY_CONFIG": str(path)}, {}):
        result = subprocess.run(
            [sys.executable, "-m", "myrtlehub.relay"], env=env, capture_output=True, text=True, check=False
        )
        assert result.returncode == 2 and len(result.stderr.splitlines()) == 1
        assert "RELAY_CONFIG" in result.stderr or "listen" in result.stderr or "Classes" in result.stderr


def test_the_program_does_not_import_other_fronts_and_their_libraries() -> None:
    modules = subprocess.run(
        [sys.executable, "-c", "import sys, myrtlehub.relay.__main__; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    unwanted = {
        "pydantic",
        "ruamel",
        "ruamel.yaml",
        "google",
        "h2",
        "immutables",
        "structlog",
        "click",
        "grpc",
        "zstandard",
        "myrtlehub.rpc",
        "myrtlehub.config",
        "myrtlehub.proto",
        "myrtlehub.lab",
    }
    assert not unwanted & set(modules) and "myrtlehub.routing.policy.router" in modules


def test_the_test_settings_have_the_keys_of_the_simulators_first_message() -> None:
    assert {"Classes", "Caps", "Invariants", "Specifics", "MachineTypes"} <= set(SETTINGS)
