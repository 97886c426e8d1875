"""Snapshots of endpoint list files: the files, their endpoints, and their faults with line numbers."""

from collections.abc import Iterable
from glob import glob
from pathlib import Path
from typing import NamedTuple

import xxhash

from myrtlehub.config.endpoints import EndpointConfig, EndpointFile
from myrtlehub.config.loader import ConfigError, parse_config

MAX_FILES = 1000
LIST_FILE_SUFFIXES = (".yaml", ".yml")  # of the files that are read from a directory
GLOB_CHARACTERS = "*?["


class Snapshot(NamedTuple):
    """The result of reading all files once.

    Attributes:
        endpoints: the endpoints that the files list; not to be used if there are faults.
        files: the real paths of the files.
        faults: one message per fault for operators, with file and line number.
        digest: the digest of the bytes of all files, valid or not; two snapshots have the same digest if no
            file was changed between them. None if the reader process failed.
        is_missing: whether no file exists.
        content_digest: the digest of the endpoints if the reader process has computed it; see `list_version`.
    """

    endpoints: tuple[EndpointConfig, ...]
    files: tuple[str, ...]
    faults: tuple[str, ...]
    digest: str | None
    is_missing: bool
    content_digest: str | None = None


class FileStamp(NamedTuple):
    """The metadata of a file, with which a poll detects changes without reading the file."""

    path: str
    inode: int = 0
    size: int = 0  # bytes
    modified_ns: int = 0
    changed_ns: int = 0  # inode change time, which advances even if the modification time is set back
    error: int | None = None  # the errno if stat() failed; then the other numbers are 0


class PendingFile(NamedTuple):
    """A file that has not been read yet."""

    path: str
    included_by: tuple[str, ...]  # the real paths of the files that include it, outermost first


class ListedEndpoint(NamedTuple):
    """An endpoint and the file that lists it."""

    path: str
    endpoint: EndpointConfig


def expand_patterns(patterns: Iterable[str], base: Path) -> list[str]:
    """Return the files that match paths, globs and directories, in order and without duplicates."""
    paths: dict[str, None] = {}
    for pattern in patterns:
        paths.update(dict.fromkeys(_expand_pattern(pattern, base)))
    return list(paths)


def _expand_pattern(pattern: str, base: Path) -> list[str]:
    path = base / pattern
    if path.is_dir():
        files = path.iterdir()
        return sorted(
            str(file) for file in files if file.suffix in LIST_FILE_SUFFIXES and file.name[0] != "."
        )
    if any(character in pattern for character in GLOB_CHARACTERS):
        return sorted(glob(str(path)))  # noqa: PTH207 - Path.glob would match hidden names too
    return [str(path)]


def stamp_files(patterns: Iterable[str], base: Path) -> tuple[FileStamp, ...]:
    """Return the stamp of each file.

    Polls compare stamps for equality, because a changed file may have an older modification time.
    """
    return tuple(_stamp_file(path) for path in expand_patterns(patterns, base))


def _stamp_file(path: str) -> FileStamp:
    try:
        status = Path(path).stat()
    except OSError as error:
        return FileStamp(path, error=error.errno)
    return FileStamp(path, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns)


def read_snapshot(patterns: Iterable[str], base: Path, requires_end_mark: bool = False) -> Snapshot:
    """Read all files and the files that they include.

    Args:
        patterns: paths, globs and directories.
        base: the directory that relative patterns are resolved against.
        requires_end_mark: whether a file without the line `end: yes` is faulty, as it may be incomplete.
    """
    builder = _SnapshotBuilder(requires_end_mark)
    builder.read(expand_patterns(patterns, base))
    return builder.build()


class _SnapshotBuilder:
    """Reads files depth first, and collects their endpoints and faults."""

    def __init__(self, requires_end_mark: bool) -> None:
        self._requires_end_mark = requires_end_mark
        self._digest = xxhash.xxh3_128()
        self._endpoints: list[EndpointConfig] = []
        self._faults: list[str] = []
        self._listed: dict[str, ListedEndpoint] = {}  # by address
        self._visited: dict[str, None] = {}  # real paths, in the order in which they were read
        self._readable_count = 0
        self._pending: list[PendingFile] = []  # a stack: the next file is the last one

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
            if real_path in self._visited:
                continue
            self._visited[real_path] = None
            if len(self._visited) > MAX_FILES:
                self._faults.append(f"{file.path}:1: more than {MAX_FILES} files; is a glob too wide?")
                break
            self._read_file(file, real_path)

    def build(self) -> Snapshot:
        return Snapshot(
            tuple(self._endpoints),
            tuple(self._visited),
            tuple(self._faults),
            self._digest.hexdigest(),
            self._readable_count == 0,
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
        self._readable_count += 1
        self._digest.update(path.encode() + b"\0" + data + b"\0")
        content = self._parse(path, data)
        if content is None:
            return
        for endpoint in content.engines:
            self._add_endpoint(path, endpoint)
        self._push(expand_patterns(content.include, Path(path).parent), (*file.included_by, real_path))

    def _parse(self, path: str, data: bytes) -> EndpointFile | None:
        try:
            content = parse_config(data.decode(), EndpointFile, path)
        except UnicodeDecodeError:
            self._faults.append(f"{path}:1: not UTF-8 text; is it complete?")
            return None
        except ConfigError as error:
            self._faults.extend(error.lines)
            return None
        if self._requires_end_mark and not content.end:
            last_line = data.count(b"\n") + 1
            self._faults.append(
                f"{path}:{last_line}: end: missing; write the complete file, with end: yes last"
            )
            return None
        return content

    def _add_endpoint(self, path: str, endpoint: EndpointConfig) -> None:
        address = endpoint.address
        earlier = self._listed.get(address)
        if earlier is not None and earlier.endpoint != endpoint:
            self._faults.append(f"{path}:1: engine {address} has other figures in {earlier.path}; keep one")
        elif earlier is not None:
            self._faults.append(f"{path}:1: engine {address} is in {earlier.path} too; keep one")
        self._listed[address] = ListedEndpoint(path, endpoint)
        self._endpoints.append(endpoint)
