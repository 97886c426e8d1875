"""Files of engines, read whole: which files there are, what they say, and what is wrong with them by line."""

from collections.abc import Iterable
from glob import glob
from os import stat
from pathlib import Path
from typing import NamedTuple

import xxhash

from myrtlehub.config.load import Faults, parse
from myrtlehub.config.sheets import EngineRow, ListFile

MOST_FILES = 1000


class Reading(NamedTuple):
    """All files at one look. `faults` are lines for people; with any, `rows` are not to be used."""

    rows: tuple[EngineRow, ...]
    files: tuple[str, ...]
    faults: tuple[str, ...]
    digest: str  # of the bytes of all files, sound or not: the same again means that nobody is writing
    missing: bool  # no file is there at all
    content: str = ""  # digest of the rows, where it is known already


def expand(patterns: Iterable[str], base: Path) -> list[str]:
    """Paths of files for paths, globs and directories, in order, each once."""
    found: dict[str, None] = {}
    for pattern in patterns:
        path = base / pattern
        if path.is_dir():
            names = sorted(
                str(p) for p in path.iterdir() if p.suffix in (".yaml", ".yml") and p.name[0] != "."
            )
        elif any(c in pattern for c in "*?["):
            names = sorted(glob(str(path)))
        else:
            names = [str(path)]
        found.update(dict.fromkeys(names))
    return list(found)


def stamp(patterns: Iterable[str], base: Path) -> tuple:
    """What a look without reading tells: for the poll. Clock set back or not, any difference counts."""
    out = []
    for name in expand(patterns, base):
        try:
            s = stat(name)
            out.append((name, s.st_ino, s.st_size, s.st_mtime_ns, s.st_ctime_ns))
        except OSError as fault:
            out.append((name, fault.errno))
    return tuple(out)


def read(patterns: Iterable[str], base: Path, end_marked: bool = False) -> Reading:
    """Read all files, and what they include. With `end_marked` one without "end: yes" is not finished."""
    digest = xxhash.xxh3_128()
    rows: list[EngineRow] = []
    faults: list[str] = []
    seen: dict[str, tuple[str, EngineRow]] = {}
    todo = [(name, ()) for name in reversed(expand(patterns, base))]
    done: dict[str, None] = {}
    there = 0
    while todo:
        name, above = todo.pop()
        real = str(Path(name).resolve())
        if real in above:
            faults.append(f"{name}:1: include: includes itself by way of {above[-1]}; break the circle")
            continue
        if real in done:
            continue
        done[real] = None
        if len(done) > MOST_FILES:
            faults.append(f"{name}:1: more than {MOST_FILES} files; is a glob too wide?")
            break
        try:
            data = Path(name).read_bytes()
        except OSError as fault:
            digest.update(f"{name}\0{fault.errno}\0".encode())
            faults.append(f"{name}:1: cannot be read: {fault.strerror}")
            continue
        there += 1
        digest.update(name.encode() + b"\0" + data + b"\0")
        try:
            sheet = parse(data.decode(), ListFile, name)
        except UnicodeDecodeError:
            faults.append(f"{name}:1: not UTF-8 text; is it whole?")
            continue
        except Faults as fault:
            faults.extend(fault.lines)
            continue
        if end_marked and not sheet.end:
            last = data.count(b"\n") + 1
            faults.append(f"{name}:{last}: end: missing; write the file whole, end: yes last")
            continue
        for row in sheet.engines:
            if row.address in seen and seen[row.address][1] != row:
                other = seen[row.address][0]
                faults.append(f"{name}:1: engine {row.address} has other figures in {other}; keep one")
            elif row.address in seen:
                faults.append(f"{name}:1: engine {row.address} is in {seen[row.address][0]} too; keep one")
            seen[row.address] = (name, row)
            rows.append(row)
        todo.extend((inner, (*above, real)) for inner in reversed(expand(sheet.include, Path(name).parent)))
    return Reading(tuple(rows), tuple(done), tuple(faults), digest.hexdigest(), there == 0)
