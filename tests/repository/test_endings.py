"""Every row of docs/design/endings.md names a test that exists, or says 'no test yet'."""

import re

from paths import TESTS

PAGE = TESTS.parent / "docs" / "design" / "endings.md"


def test_every_ending_names_a_test_that_exists_or_says_that_there_is_none() -> None:
    sources = "".join(path.read_text() for path in TESTS.rglob("test_*.py"))
    existing = set(re.findall(r"^def (test_\w+)", sources, re.MULTILINE))
    rows = [
        line
        for line in PAGE.read_text().splitlines()
        if line.startswith("| ") and not line.startswith(("| ---", "| path"))
    ]
    assert len(rows) > 30
    for row in rows:
        named = set(re.findall(r"`(test_\w+)`", row.split("|")[-2]))
        assert named or "no test yet" in row, row
        assert named <= existing, (named - existing, row)
