"""Snapshots of endpoint list files: included files."""

from pathlib import Path

from endpointlists import list_text

from myrtlehub.membership.snapshot import read_snapshot


def test_includes_are_read_and_circular_includes_are_faults(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text("include: ['parts/*.yaml']\n" + list_text("r1"))
    (tmp_path / "parts").mkdir()
    (tmp_path / "parts" / "w.yaml").write_text(list_text("w1 w2"))
    endpoints = read_snapshot(("a.yaml",), tmp_path).endpoints
    assert [endpoint.address for endpoint in endpoints] == ["r1:1", "w1:1", "w2:1"]
    (tmp_path / "parts" / "w.yaml").write_text("include: ['../a.yaml']\n" + list_text("w1"))
    assert "break the circle" in read_snapshot(("a.yaml",), tmp_path).faults[0]
