"""Programs exit with 2 and one line on invalid files and addresses."""

import subprocess
import sys
from pathlib import Path

import pytest
from paths import ROOT
from twisted.internet import reactor
from twisted.internet.protocol import Factory

from myrtlehub.cli.network import listen

VALID = (ROOT / "examples" / "node.yaml").read_text()


def test_programs_exit_with_2_and_one_line_on_invalid_files(tmp_path: Path) -> None:
    (tmp_path / "n.yaml").write_text(VALID.replace("drain_within: 10s", "drain_within: 10"))
    for program, argument in (
        ("node", tmp_path / "n.yaml"),
        ("emulator", tmp_path / "none.yaml"),
        ("scenario", "no-such-scenario"),
    ):
        run = subprocess.run(
            [sys.executable, "-m", f"myrtlehub.cli.{program}", argument],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert run.returncode == 2 and run.stderr.count("\n") == 1 and not run.stdout, run.stderr


@pytest.mark.parametrize(
    ("address", "reason"),
    [
        ("127.0.0.1:99999", "bind(): port must be 0-65535."),
        ("192.0.2.1:7100", "[Errno 99] Cannot assign requested address"),  # a documentation address
    ],
)
def test_a_failure_to_listen_is_reported_in_one_line(
    address: str, reason: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as exited:
        listen(reactor, address, Factory())
    assert exited.value.code == 2
    assert capsys.readouterr().err == f"cannot listen on {address}: {reason}\n"
