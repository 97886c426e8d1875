"""What a node runs: digests of its program and of its settings, the same wherever these are the same."""

import os
from functools import cache
from pathlib import Path

import msgspec
import xxhash

from myrtlehub.config.sheets import NodeSheet

LABEL = "HUB_BUILD"  # variable: what an operator's build adds to the package's files, such as its libraries
OWN = ("name", "listen", "admin", "index", "seed", "zone")  # of `node`: every node's are its own
PLACES = ("engines", "files", "store")  # of `list`: engines are news, and paths where this node has its files


@cache
def program() -> str:
    """Digest of all Python files of the package and of the build's label, 16 hexadecimal digits."""
    sums = xxhash.xxh3_64(os.environ.get(LABEL, "").encode())
    base = Path(__file__).parents[1]
    for path in sorted(base.rglob("*.py")):
        sums.update(f"\0{path.relative_to(base)}\0".encode() + path.read_bytes())
    return sums.hexdigest()


def settings(sheet: NodeSheet) -> str:
    """Digest of a node's settings, without the engines and what is each node's own."""
    plain = sheet.model_dump(mode="json")
    for name in OWN:
        plain["node"].pop(name)
    for name in PLACES:
        plain["list"].pop(name)
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(plain, order="deterministic"))
