"""Snapshots of endpoint files: which files there are, what they list, and what is wrong with them by line."""

from collections.abc import Iterable
from glob import glob
from pathlib import Path
from typing import NamedTuple

import xxhash

from myrtlehub.config.endpoints import EndpointConfig, EndpointFile
from myrtlehub.config.loader import ConfigError, parse_config

MAX_FILES = 1000
SUFFIXES = (".yaml", ".yml")  # of the files that are read of a directory
GLOB_CHARACTERS = "*?["


class Snapshot(NamedTuple):
    """All files as read at one moment; with any faults its endpoints are not to be used."""

    endpoints: tuple[EndpointConfig, ...]
    files: tuple[str, ...]
    faults: tuple[str, ...]  # lines for people
    digest: str  # of the bytes of all files, valid or not: the same again means that nobody is writing
    missing: bool  # no file is there at all
    content_digest: str = ""  # of the endpoints, where it is known already


class FileStamp(NamedTuple):
    """What the system tells of a file without reading it."""

    path: str
    inode: int = 0
    size: int = 0
    modified_ns: int = 0
    changed_ns: int = 0
    error: int | None = None  # the errno, where it could not be asked


class PendingFile(NamedTuple):
    """A file that is still to be read."""

    path: str
    included_by: tuple[str, ...]  # the real paths of the files that include it, outermost first


class ListedEndpoint(NamedTuple):
    """An endpoint and the file that lists it."""

    path: str
    endpoint: EndpointConfig


def expand_patterns(patterns: Iterable[str], base: Path) -> list[str]:
    """Return the files for paths, globs and directories, in order, each once."""
    found: dict[str, None] = {}
    for pattern in patterns:
        found.update(dict.fromkeys(_expand_pattern(pattern, base)))
    return list(found)


def _expand_pattern(pattern: str, base: Path) -> list[str]:
    path = base / pattern
    if path.is_dir():
        inside = path.iterdir()
        return sorted(str(file) for file in inside if file.suffix in SUFFIXES and file.name[0] != ".")
    if any(character in pattern for character in GLOB_CHARACTERS):
        return sorted(glob(str(path)))  # noqa: PTH207 - Path.glob would match hidden names too
    return [str(path)]


def stamp_files(patterns: Iterable[str], base: Path) -> tuple[FileStamp, ...]:
    """Return a stamp of each file, for a poll; any difference counts, whatever a clock was set to."""
    return tuple(_stamp_file(path) for path in expand_patterns(patterns, base))


def _stamp_file(path: str) -> FileStamp:
    try:
        status = Path(path).stat()
    except OSError as error:
        return FileStamp(path, error=error.errno)
    return FileStamp(path, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns)


def read_snapshot(patterns: Iterable[str], base: Path, end_marked: bool = False) -> Snapshot:
    """Read all files, and what they include.

    With `end_marked` a file without "end: yes" is not finished, and that is a fault.
    """
    reader = _SnapshotReader(end_marked)
    reader.read(expand_patterns(patterns, base))
    return reader.snapshot()


class _SnapshotReader:
    """Reads files depth first, and collects their endpoints and faults."""

    def __init__(self, end_marked: bool) -> None:
        self._end_marked = end_marked
        self._digest = xxhash.xxh3_128()
        self._endpoints: list[EndpointConfig] = []
        self._faults: list[str] = []
        self._listed: dict[str, ListedEndpoint] = {}  # by address
        self._done: dict[str, None] = {}  # real paths, in order
        self._present = 0
        self._pending: list[PendingFile] = []

    def read(self, paths: list[str]) -> None:
        self._push(paths, ())
        while self._pending:
            file = self._pending.pop()
            real_path = str(Path(file.path).resolve())
            if real_path in file.included_by:
                self._faults.append(
                    f"{file.path}:1: include: includes itself by way of {file.included_by[-1]}; "
                    "break the circle"
                )
                continue
            if real_path in self._done:
                continue
            self._done[real_path] = None
            if len(self._done) > MAX_FILES:
                self._faults.append(f"{file.path}:1: more than {MAX_FILES} files; is a glob too wide?")
                break
            self._read_file(file, real_path)

    def snapshot(self) -> Snapshot:
        return Snapshot(
            tuple(self._endpoints),
            tuple(self._done),
            tuple(self._faults),
            self._digest.hexdigest(),
            self._present == 0,
        )

    def _push(self, paths: list[str], included_by: tuple[str, ...]) -> None:
        self._pending.extend(PendingFile(path, included_by) for path in reversed(paths))

    def _read_file(self, file: PendingFile, real_path: str) -> None:
        path = file.path
        try:
            data = Path(path).read_bytes()
        except OSError as error:
            self._digest.update(f"{path}\0{error.errno}\0".encode())
            self._faults.append(f"{path}:1: cannot be read: {error.strerror}")
            return
        self._present += 1
        self._digest.update(path.encode() + b"\0" + data + b"\0")
        content = self._parse(path, data)
        if content is None:
            return
        for endpoint in content.engines:
            self._add(path, endpoint)
        self._push(expand_patterns(content.include, Path(path).parent), (*file.included_by, real_path))

    def _parse(self, path: str, data: bytes) -> EndpointFile | None:
        try:
            content = parse_config(data.decode(), EndpointFile, path)
        except UnicodeDecodeError:
            self._faults.append(f"{path}:1: not UTF-8 text; is it whole?")
            return None
        except ConfigError as fault:
            self._faults.extend(fault.lines)
            return None
        if self._end_marked and not content.end:
            last_line = data.count(b"\n") + 1
            self._faults.append(f"{path}:{last_line}: end: missing; write the file whole, end: yes last")
            return None
        return content

    def _add(self, path: str, endpoint: EndpointConfig) -> None:
        address = endpoint.address
        other = self._listed.get(address)
        if other is not None and other.endpoint != endpoint:
            self._faults.append(f"{path}:1: engine {address} has other figures in {other.path}; keep one")
        elif other is not None:
            self._faults.append(f"{path}:1: engine {address} is in {other.path} too; keep one")
        self._listed[address] = ListedEndpoint(path, endpoint)
        self._endpoints.append(endpoint)
