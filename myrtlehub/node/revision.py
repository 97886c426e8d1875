"""Digests of a node's program and of its settings; nodes with equal digests run the same."""

import os
from functools import cache
from pathlib import Path

import msgspec
import xxhash

from myrtlehub.config.node import NodeConfig

# Environment variable that names what an operator's build adds to the package's files, such as libraries.
BUILD_LABEL_VARIABLE = "HUB_BUILD"
# Fields of `node` that differ between the nodes of a fleet.
OWN_FIELDS = ("name", "listen", "admin", "index", "seed", "zone")
# Fields of `list` that change while a fleet runs (engines), or that are paths on one machine.
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
    """Return the digest of a node's settings, without engines and fields that differ between nodes."""
    fields = sheet.model_dump(mode="json")
    for name in OWN_FIELDS:
        fields["node"].pop(name)
    for name in LIST_FIELDS:
        fields["list"].pop(name)
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(fields, order="deterministic"))
