"""Version store: the last accepted list versions, preserved across restarts in SQLite with a write-ahead log.

Each version has a checksum, so that versions that are incomplete or have bit flips are detected and skipped.
"""

import sqlite3
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

import msgspec
import xxhash

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.endpoint import EndpointFields
from myrtlehub.membership.list_version import ListVersion, content_digest

MAX_VERSIONS = 5  # versions that the store retains
LOCK_TIMEOUT = 2.0  # seconds to wait for a lock that another process holds
SCHEMA_VERSION = 1  # a store with a later schema version was written by a newer program and is not changed
SCHEMA = """CREATE TABLE IF NOT EXISTS versions (
    number INTEGER PRIMARY KEY, source TEXT NOT NULL, digest TEXT NOT NULL, sum TEXT NOT NULL,
    rows BLOB NOT NULL)"""
INSERT_VERSION = "INSERT OR REPLACE INTO versions (number, source, digest, sum, rows) VALUES (?, ?, ?, ?, ?)"
DELETE_OLD_VERSIONS = (
    "DELETE FROM versions WHERE number NOT IN (SELECT number FROM versions ORDER BY number DESC LIMIT ?)"
)
SELECT_VERSIONS = "SELECT number, source, digest, sum, rows FROM versions ORDER BY number DESC"


class SaveStep(StrEnum):
    """The steps of a save, in order."""

    OPEN = "open"
    BEGIN = "begin"
    INSERT = "insert"
    PRUNE = "prune"
    COMMIT = "commit"
    DONE = "done"


def ignore_step(step: SaveStep) -> None:
    """Ignore the step; the default outside of tests."""


class VersionStoreError(Exception):
    """The version store cannot be used."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class StoredVersion(NamedTuple):
    """A version loaded from the store."""

    number: int
    source: str
    endpoints: list[EndpointConfig]


class StoredRow(NamedTuple):
    """A row of the table as stored; bit flips may have changed the types of its columns."""

    number: int
    source: str
    digest: str
    checksum: str
    endpoints: bytes  # JSON array with the field values of each endpoint

    @property
    def is_intact(self) -> bool:
        """Whether the checksum matches the other columns."""
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
    """A version store in one file, which is opened on first use."""

    def __init__(self, path: str | Path, on_step: Callable[[SaveStep], None] = ignore_step) -> None:
        """Create a store. `on_step` is called before each step of a save; tests use it to interrupt saves."""
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
        # check_same_thread: saves run one at a time, but in different threads of a pool.
        connection = sqlite3.connect(
            self.path, isolation_level=None, timeout=LOCK_TIMEOUT, check_same_thread=False
        )
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=FULL")
        schema_version = connection.execute("PRAGMA user_version").fetchone()[0]
        if schema_version > SCHEMA_VERSION:
            connection.close()
            raise VersionStoreError(
                self.path,
                f"has schema version {schema_version}, and this program knows versions up to "
                f"{SCHEMA_VERSION}; it is left unchanged",
            )
        connection.execute(SCHEMA)
        connection.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
        return connection

    def save(self, version: ListVersion) -> None:
        """Store a version atomically, and delete the oldest versions beyond MAX_VERSIONS.

        Raises:
            VersionStoreError: the version could not be stored.
        """
        row = _encode_version(version)
        try:
            self.on_step(SaveStep.OPEN)
            connection = self._open()
            self.on_step(SaveStep.BEGIN)
            connection.execute("BEGIN IMMEDIATE")
            self.on_step(SaveStep.INSERT)
            connection.execute(INSERT_VERSION, row)
            self.on_step(SaveStep.PRUNE)
            connection.execute(DELETE_OLD_VERSIONS, (MAX_VERSIONS,))
            self.on_step(SaveStep.COMMIT)
            connection.execute("COMMIT")
            self.on_step(SaveStep.DONE)
        except sqlite3.Error as error:
            self.close()
            raise VersionStoreError(self.path, str(error)) from error

    def load_latest(self) -> StoredVersion | None:
        """Return the latest intact version; None if the store is empty or does not exist.

        Raises:
            VersionStoreError: the file is not a version store, or none of its versions is intact.
        """
        if not self.path.exists():
            return None
        try:
            rows = [StoredRow(*columns) for columns in self._open().execute(SELECT_VERSIONS)]
        except sqlite3.Error as error:
            self.close()
            raise VersionStoreError(self.path, str(error)) from error
        for row in rows:
            endpoints = _decode_endpoints(row)
            if endpoints is not None:
                return StoredVersion(row.number, row.source, endpoints)
        if rows:
            raise VersionStoreError(self.path, f"none of its {len(rows)} versions is intact")
        return None

    def close(self) -> None:
        """Close the file; it is opened again on next use."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _encode_version(version: ListVersion) -> StoredRow:
    endpoints = msgspec.json.encode(sorted(endpoint.field_values for endpoint in version.endpoints.values()))
    checksum = _checksum(version.number, version.source, version.digest, endpoints)
    return StoredRow(version.number, version.source, version.digest, checksum, endpoints)


def _decode_endpoints(row: StoredRow) -> list[EndpointConfig] | None:
    """Return the endpoints of a row; None if the row is not intact or its format is unknown."""
    if not row.is_intact:
        return None
    try:
        fields = msgspec.json.decode(row.endpoints, type=list[EndpointFields])
        endpoints = [EndpointConfig.from_values(values) for values in fields]
    except (msgspec.DecodeError, ValueError):
        return None
    return endpoints if content_digest(endpoints) == row.digest else None
