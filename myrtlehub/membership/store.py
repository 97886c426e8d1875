"""The last good versions, kept over restarts: SQLite with a write-ahead log, each version with its own
digest.

A version that was not wholly written, or of which a bit has flipped, is told from a whole one and not used.
"""

import sqlite3
from collections.abc import Callable
from pathlib import Path

import msgspec
import xxhash

from myrtlehub.config.sheets import EngineRow
from myrtlehub.membership.version import Version, digest_of

KEPT = 5
FORM = 1  # of what is written; a store of a later form is left to the version that wrote it
Figures = tuple[str, str, str, int, float, str, float, str]  # as EngineRow.figures
SCHEMA = """CREATE TABLE IF NOT EXISTS versions (
    number INTEGER PRIMARY KEY, source TEXT NOT NULL, digest TEXT NOT NULL, sum TEXT NOT NULL,
    rows BLOB NOT NULL)"""


class StoreBroken(Exception):
    """The store cannot be used; the text says why."""


def _sum(number: int, source: str, digest: str, rows: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(f"{number}\0{source}\0{digest}\0".encode() + rows)


class VersionStore:
    """`step` is called with a name before each step of storing: tests end the process there."""

    def __init__(self, path: str | Path, step: Callable[[str], None] = lambda name: None) -> None:
        self.path, self.step = Path(path), step
        self._db: sqlite3.Connection | None = None

    def _open(self) -> sqlite3.Connection:
        if self._db is None:
            try:
                db = sqlite3.connect(
                    self.path, isolation_level=None, timeout=2.0, check_same_thread=False
                )  # one thread at a time, not always the same
                db.execute("PRAGMA journal_mode=WAL")
                db.execute("PRAGMA synchronous=FULL")
                form = db.execute("PRAGMA user_version").fetchone()[0]
                if form > FORM:
                    db.close()
                    raise StoreBroken(
                        f"{self.path}: is of form {form}, and this version knows forms up to "
                        f"{FORM}; it is left as it is"
                    )
                db.execute(SCHEMA)
                db.execute(f"PRAGMA user_version={FORM}")
            except sqlite3.Error as fault:
                raise StoreBroken(f"{self.path}: {fault}") from fault
            self._db = db
        return self._db

    def keep(self, version: Version) -> None:
        """Store a version, whole or not at all, and drop the oldest. Raises StoreBroken."""
        rows = msgspec.json.encode(sorted(row.figures for row in version.engines.values()))
        try:
            self.step("open")
            db = self._open()
            self.step("begin")
            db.execute("BEGIN IMMEDIATE")
            self.step("insert")
            db.execute(
                "INSERT OR REPLACE INTO versions (number, source, digest, sum, rows) VALUES (?, ?, ?, ?, ?)",
                (
                    version.number,
                    version.source,
                    version.digest,
                    _sum(version.number, version.source, version.digest, rows),
                    rows,
                ),
            )
            self.step("prune")
            db.execute(
                "DELETE FROM versions WHERE number NOT IN "
                "(SELECT number FROM versions ORDER BY number DESC LIMIT ?)",
                (KEPT,),
            )
            self.step("commit")
            db.execute("COMMIT")
            self.step("done")
        except sqlite3.Error as fault:
            self.close()
            raise StoreBroken(f"{self.path}: {fault}") from fault

    def last(self) -> tuple[int, str, list[EngineRow]] | None:
        """Number, source and rows of the newest version that is whole; None if there is none.

        Raises StoreBroken where the file is no store, or none of its versions is whole.
        """
        if not self.path.exists():
            return None
        try:
            found = (
                self._open()
                .execute("SELECT number, source, digest, sum, rows FROM versions ORDER BY number DESC")
                .fetchall()
            )
        except sqlite3.Error as fault:
            self.close()
            raise StoreBroken(f"{self.path}: {fault}") from fault
        for number, source, digest, total, rows in found:
            if not (isinstance(source, str) and isinstance(digest, str) and isinstance(rows, bytes)):
                continue  # a bit flipped where the database says of what type a value is
            if total != _sum(number, source, digest, rows):
                continue
            try:
                engines = [EngineRow.of(row) for row in msgspec.json.decode(rows, type=list[Figures])]
            except (msgspec.DecodeError, ValueError):
                continue  # whole, and written in a way that this version does not know
            if digest_of(engines) == digest:
                return number, source, engines
        if found:
            raise StoreBroken(f"{self.path}: none of its {len(found)} versions is whole")
        return None

    def close(self) -> None:
        """Close the file."""
        if self._db is not None:
            self._db.close()
            self._db = None
