"""The generated code of the protocol is that of the `.proto` files."""

import subprocess
from pathlib import Path

from paths import ROOT


def test_generated_code_is_up_to_date(tmp_path: Path) -> None:
    subprocess.run([ROOT / ".ci" / "protos", tmp_path], check=True, timeout=60)
    generated = sorted((tmp_path / "myrtlehub" / "proto").glob("*_pb2.py*"))
    committed = sorted((ROOT / "myrtlehub" / "proto").glob("*_pb2.py*"))
    assert [path.name for path in generated] == [path.name for path in committed]
    assert len([path for path in generated if path.suffix == ".py"]) == 5 and len(generated) == 10
    for ours, theirs in zip(committed, generated, strict=True):
        assert ours.read_text() == theirs.read_text(), "run `make protos`"
