"""Version store: the last good list versions over restarts, in SQLite with a write-ahead log.

Each version has a checksum of its own: one that was not completely written, or of which a bit has flipped, is
told from a good one and not used.
"""

import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
import xxhash

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.endpoint import EndpointFields
from myrtlehub.membership.list_version import ListVersion, content_digest

MAX_VERSIONS = 5
LOCK_TIMEOUT = 2.0  # seconds
SCHEMA_VERSION = 1  # a store of a later one is left to the program that wrote it
SCHEMA = """CREATE TABLE IF NOT EXISTS versions (
    number INTEGER PRIMARY KEY, source TEXT NOT NULL, digest TEXT NOT NULL, sum TEXT NOT NULL,
    rows BLOB NOT NULL)"""
INSERT = "INSERT OR REPLACE INTO versions (number, source, digest, sum, rows) VALUES (?, ?, ?, ?, ?)"
PRUNE = "DELETE FROM versions WHERE number NOT IN (SELECT number FROM versions ORDER BY number DESC LIMIT ?)"
SELECT = "SELECT number, source, digest, sum, rows FROM versions ORDER BY number DESC"


class VersionStoreError(Exception):
    """The store cannot be used."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class StoredVersion(NamedTuple):
    """A version as it was stored."""

    number: int
    source: str
    endpoints: list[EndpointConfig]


class StoredRow(NamedTuple):
    """A row of the table as it is in the file; flipped bits may have changed the types."""

    number: int
    source: str
    digest: str
    checksum: str
    endpoints: bytes

    @property
    def intact(self) -> bool:
        """Whether the checksum is that of the other columns."""
        types_match = (
            isinstance(self.source, str)
            and isinstance(self.digest, str)
            and isinstance(self.endpoints, bytes)
        )
        return types_match and self.checksum == _checksum(
            self.number, self.source, self.digest, self.endpoints
        )


def _checksum(number: int, source: str, digest: str, endpoints: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(f"{number}\0{source}\0{digest}\0".encode() + endpoints)


class VersionStore:
    """The store in one file. `on_step` is called with a name before each step of a save, for tests."""

    def __init__(self, path: str | Path, on_step: Callable[[str], None] = lambda name: None) -> None:
        self.path = Path(path)
        self.on_step = on_step
        self._connection: sqlite3.Connection | None = None

    def _open(self) -> sqlite3.Connection:
        if self._connection is None:
            try:
                self._connection = self._connect()
            except sqlite3.Error as error:
                raise VersionStoreError(self.path, str(error)) from error
        return self._connection

    def _connect(self) -> sqlite3.Connection:
        # One thread at a time uses it, not always the same.
        connection = sqlite3.connect(
            self.path, isolation_level=None, timeout=LOCK_TIMEOUT, check_same_thread=False
        )
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=FULL")
        found = connection.execute("PRAGMA user_version").fetchone()[0]
        if found > SCHEMA_VERSION:
            connection.close()
            raise VersionStoreError(
                self.path,
                f"is of form {found}, and this version knows forms up to {SCHEMA_VERSION}; "
                "it is left as it is",
            )
        connection.execute(SCHEMA)
        connection.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
        return connection

    def save(self, version: ListVersion) -> None:
        """Store a version, completely or not at all, and drop the oldest.

        Raises:
            VersionStoreError: it could not be stored.
        """
        endpoints = msgspec.json.encode(
            sorted(endpoint.field_values for endpoint in version.endpoints.values())
        )
        checksum = _checksum(version.number, version.source, version.digest, endpoints)
        row = StoredRow(version.number, version.source, version.digest, checksum, endpoints)
        try:
            self.on_step("open")
            connection = self._open()
            self.on_step("begin")
            connection.execute("BEGIN IMMEDIATE")
            self.on_step("insert")
            connection.execute(INSERT, row)
            self.on_step("prune")
            connection.execute(PRUNE, (MAX_VERSIONS,))
            self.on_step("commit")
            connection.execute("COMMIT")
            self.on_step("done")
        except sqlite3.Error as error:
            self.close()
            raise VersionStoreError(self.path, str(error)) from error

    def load_latest(self) -> StoredVersion | None:
        """Return the newest intact version; None if nothing was stored.

        Raises:
            VersionStoreError: the file is no store, or none of its versions is intact.
        """
        if not self.path.exists():
            return None
        try:
            rows = [StoredRow(*columns) for columns in self._open().execute(SELECT)]
        except sqlite3.Error as error:
            self.close()
            raise VersionStoreError(self.path, str(error)) from error
        for row in rows:
            endpoints = _decode_endpoints(row)
            if endpoints is not None:
                return StoredVersion(row.number, row.source, endpoints)
        if rows:
            raise VersionStoreError(self.path, f"none of its {len(rows)} versions is whole")
        return None

    def close(self) -> None:
        """Close the file."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _decode_endpoints(row: StoredRow) -> list[EndpointConfig] | None:
    """Return the endpoints of a row; None if it is not intact, or of a form that is not known here."""
    if not row.intact:
        return None
    try:
        fields = msgspec.json.decode(row.endpoints, type=list[EndpointFields])
        endpoints = [EndpointConfig.from_values(values) for values in fields]
    except (msgspec.DecodeError, ValueError):
        return None
    return endpoints if content_digest(endpoints) == row.digest else None
