"""Digests of a node's program and settings; nodes with equal digests run the same program and settings."""

import os
from functools import cache
from pathlib import Path

import msgspec
import xxhash

from myrtlehub.config.node import NodeConfig

# Environment variable with a label of the build, for what the package's files do not show, such as libraries.
BUILD_LABEL_VARIABLE = "HUB_BUILD"
# Fields of `node` that differ between the nodes of a fleet and are left out of the digest.
PER_NODE_FIELDS = ("name", "listen", "admin", "index", "seed", "zone")
# Fields of `list` that are left out of the digest: engines change while a fleet runs, and paths differ
# between machines.
EXCLUDED_LIST_FIELDS = ("engines", "files", "store")


@cache
def program_digest() -> str:
    """Return the digest of the package's Python files and the build label, as 16 hexadecimal digits."""
    digest = xxhash.xxh3_64(os.environ.get(BUILD_LABEL_VARIABLE, "").encode())
    package = Path(__file__).parents[1]
    for path in sorted(package.rglob("*.py")):
        digest.update(f"\0{path.relative_to(package)}\0".encode() + path.read_bytes())
    return digest.hexdigest()


def settings_digest(settings: NodeConfig) -> str:
    """Return the digest of a node's settings, without engines and fields that differ between nodes."""
    fields = settings.model_dump(mode="json")
    for name in PER_NODE_FIELDS:
        fields["node"].pop(name)
    for name in EXCLUDED_LIST_FIELDS:
        fields["list"].pop(name)
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(fields, order="deterministic"))
