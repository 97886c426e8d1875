"""docs/design/endings.md: no row without a test that exists, or the words 'no test yet'."""

import re
from pathlib import Path

HERE = Path(__file__).parent


def test_every_ending_names_a_test_that_exists_or_says_that_there_is_none() -> None:
    there = set(re.findall(r"^def (test_\w+)", "".join(p.read_text() for p in HERE.glob("test_*.py")), re.M))
    rows = [
        line
        for line in (HERE.parent / "docs" / "design" / "endings.md").read_text().splitlines()
        if line.startswith("| ") and not line.startswith(("| ---", "| path"))
    ]
    assert len(rows) > 30
    for row in rows:
        named = re.findall(r"`(test_\w+)`", row.split("|")[-2])
        assert named or "no test yet" in row, row
        assert set(named) <= there, (set(named) - there, row)
