"""What a node runs: digests of its program and of its settings, equal wherever these are equal."""

import os
from functools import cache
from pathlib import Path

import msgspec
import xxhash

from myrtlehub.config.node import NodeConfig

BUILD_LABEL_VARIABLE = (
    "HUB_BUILD"  # what an operator's build adds to the package's files, such as its libraries
)
# Of `node`: every node has its own.
OWN_FIELDS = ("name", "listen", "admin", "index", "seed", "zone")
# Of `list`: engines come and go, and paths say where this node has its files.
LIST_FIELDS = ("engines", "files", "store")


@cache
def program_digest() -> str:
    """Return the digest of the package's Python files and of the build's label, 16 hexadecimal digits."""
    digest = xxhash.xxh3_64(os.environ.get(BUILD_LABEL_VARIABLE, "").encode())
    package = Path(__file__).parents[1]
    for path in sorted(package.rglob("*.py")):
        digest.update(f"\0{path.relative_to(package)}\0".encode() + path.read_bytes())
    return digest.hexdigest()


def settings_digest(sheet: NodeConfig) -> str:
    """Return the digest of a node's settings, without the engines and what is each node's own."""
    fields = sheet.model_dump(mode="json")
    for name in OWN_FIELDS:
        fields["node"].pop(name)
    for name in LIST_FIELDS:
        fields["list"].pop(name)
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(fields, order="deterministic"))
