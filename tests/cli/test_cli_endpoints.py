"""The output and exit codes of hub-endpoints."""

from pathlib import Path

from click.testing import CliRunner
from endpointlists import list_text

from myrtlehub.cli.endpoints import main as hub_endpoints


def test_hub_endpoints_validates_and_compares_files(tmp_path: Path) -> None:
    first, second, faulty = (tmp_path / f"{name}.yaml" for name in "abc")
    first.write_text(list_text("reader1 w1 w2"))
    second.write_text(list_text("w2 reader1 w1"))
    faulty.write_text(list_text("reader1 w1").replace("weight: 1.0", "weight: heavy", 1))
    run = CliRunner().invoke
    assert run(hub_endpoints, ["check", str(first)]).output.startswith("sound: 1 files, 3 engines")
    reordered = run(hub_endpoints, ["diff", str(first), str(second)])
    assert reordered.exit_code == 0
    second.write_text(list_text("reader1 w1 w9", weight=0.5))
    differs = run(hub_endpoints, ["diff", str(first), str(second)])
    assert differs.exit_code == 1 and "+ w9:1" in differs.output
    assert "weight is now 0.5" in differs.output
    invalid = run(hub_endpoints, ["check", str(faulty)])
    assert invalid.exit_code == 2
    assert f"{faulty}:2: engines[0](reader1:1).weight: should be a valid number" in invalid.output
