"""Folders of the repository."""

from pathlib import Path

TESTS = Path(__file__).parents[1]
ROOT = TESTS.parent
