"""Whether the wire, the settings and the deployment files are those of a commit.

    python benchmarks/compare_settings.py cc6ab61

Compares the `.proto` files and the code generated from them, byte for byte; the JSON schemas of all settings
models, without titles, descriptions and names of models; and `deploy/balancer.toml` without paths and module
names. Exits with 0 if nothing differs, else with 1, and prints each difference.
"""

import argparse
import importlib
import json
import os
import pkgutil
import re
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from compare_decisions import tree_of

ROOT = Path(__file__).resolve().parent.parent
MODULE = re.compile(r"myrtlehub(?:\.\w+)+")
DEPLOYMENT_PATHS = ("policy", "node")  # repository paths; only their presence is compared


def settings_schemas() -> list[str]:
    """The schema of each settings model of the tree on `sys.path`, as sorted JSON without names."""
    import pydantic

    import myrtlehub.config

    models: dict[str, type[pydantic.BaseModel]] = {}
    for found in pkgutil.iter_modules(myrtlehub.config.__path__, "myrtlehub.config."):
        module = importlib.import_module(found.name)
        for value in vars(module).values():
            if not (isinstance(value, type) and issubclass(value, pydantic.BaseModel)):
                continue
            if value.__module__.startswith("myrtlehub."):
                models[f"{value.__module__}.{value.__qualname__}"] = value
    return sorted(json.dumps(inlined(model.model_json_schema()), sort_keys=True) for model in models.values())


def inlined(schema: dict[str, Any]) -> Any:  # noqa: ANN401 - JSON
    """The schema with its references resolved inline, so that names of models do not matter."""
    definitions = schema.get("$defs", {})

    def without_names(value: Any) -> Any:  # noqa: ANN401 - JSON
        if isinstance(value, list):
            return [without_names(item) for item in value]
        if not isinstance(value, dict):
            return value
        if "$ref" in value:
            return without_names(definitions[value["$ref"].rsplit("/", 1)[1]])
        return {key: described(key, item) for key, item in value.items() if key != "$defs"}

    def described(key: str, value: Any) -> Any:  # noqa: ANN401 - JSON
        if key == "properties":  # a setting may itself be called `title`
            return {name: without_names(item) for name, item in value.items()}
        return None if key in ("title", "description") else without_names(value)

    return without_names(schema)


def schemas_of(tree: Path) -> list[str]:
    """The settings schemas of a tree, computed in a separate process."""
    out = subprocess.run(
        [sys.executable, __file__, "--schemas"],
        check=True,
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": f"{tree}{os.pathsep}{Path(__file__).parent}"},
    ).stdout
    schemas: list[str] = json.loads(out)
    return schemas


def wire_files(tree: Path) -> dict[str, bytes]:
    """Names and bytes of the protocol's files; type stubs have no effect at run time and are left out."""
    folder = tree / "myrtlehub" / "proto"
    paths = [path for path in sorted(folder.iterdir()) if path.is_file() and path.suffix != ".pyi"]
    return {path.name: path.read_bytes() for path in paths}


def deployment(text: str) -> dict[str, Any]:
    """The deployment file without paths and module names."""
    table = tomllib.loads(MODULE.sub("MODULE", text))
    return {key: bool(value) if key in DEPLOYMENT_PATHS else value for key, value in table.items()}


def differences(before: list[str], after: list[str]) -> list[str]:
    """Return the items that only one of the two lists has."""
    removed, added = list(before), []
    for schema in after:
        if schema in removed:
            removed.remove(schema)
        else:
            added.append(schema)
    return [f"- {schema}" for schema in removed] + [f"+ {schema}" for schema in added]


def compare(commit: str) -> list[str]:
    """All differences between a commit and the working tree, one line for each."""
    with tempfile.TemporaryDirectory() as folder:
        base = tree_of(commit, Path(folder))
        wire, wire_now = wire_files(base), wire_files(ROOT)
        schemas, schemas_now = schemas_of(base), schemas_of(ROOT)
    generated = {"__init__.py"}  # not compared: its docstring may differ
    found = [
        f"{name}: not the same bytes"
        for name in sorted((wire.keys() | wire_now.keys()) - generated)
        if wire.get(name) != wire_now.get(name)
    ]
    found += differences(schemas, schemas_now)
    shown = subprocess.run(
        ["git", "show", f"{commit}:deploy/balancer.toml"],
        cwd=ROOT,
        check=True,
        stdout=subprocess.PIPE,
        text=True,
    ).stdout
    then, now = deployment(shown), deployment((ROOT / "deploy" / "balancer.toml").read_text())
    if then != now:
        found.append(f"deploy/balancer.toml: {then} is now {now}")
    sys.stdout.write(f"{len(wire) - 1} files of the protocol, {len(schemas)} settings models\n")
    return found


def main() -> int:
    """Compare a commit with the working tree."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("commit", nargs="?", default="")
    parser.add_argument("--schemas", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.schemas:
        json.dump(settings_schemas(), sys.stdout)
        return 0
    found = compare(options.commit)
    sys.stdout.writelines(f"{line}\n" for line in found)
    sys.stdout.write(f"{len(found)} differences\n")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
