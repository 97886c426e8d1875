"""Reads a YAML file against a schema: whole or not at all, one line a fault."""

from difflib import get_close_matches
from pathlib import Path
from typing import TypeVar, get_args

from pydantic import BaseModel, ConfigDict, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

M = TypeVar("M", bound="Sheet")
PLAIN = {
    "missing": "is missing",
    "extra_forbidden": "is not known here",
    "int_type": "has to be a whole number",
    "float_type": "has to be a number",
    "string_type": "has to be text",
    "list_type": "has to be a list",
    "bool_type": "has to be yes or no",
    "model_type": "has to be a group of fields",
}


class Sheet(BaseModel):
    """Base of all schemas: unknown fields are faults, and nothing is guessed."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class Faults(Exception):
    """All that is wrong with a file, a line each."""

    def __init__(self, lines: list[str]) -> None:
        self.lines = lines
        super().__init__("\n".join(lines))


def _place(tree: object, loc: tuple) -> tuple[int, str]:
    """Line of the field, or of the nearest group that holds it; and its name as people write it."""
    line, name = 0, ""
    for part in loc:
        if isinstance(tree, CommentedMap) and isinstance(part, str):
            name += f".{part}" if name else part
            if part in tree:
                line, tree = tree.lc.key(part)[0], tree[part]
                continue
            tree = None
        elif isinstance(tree, CommentedSeq) and isinstance(part, int) and part < len(tree):
            name += f"[{part}]"
            line, tree = tree.lc.item(part)[0], tree[part]
            label = tree.get("name") or tree.get("address") if isinstance(tree, CommentedMap) else None
            name += f"({label})" if label else ""
        elif isinstance(part, str) and tree is None:
            name += f".{part}" if name else part
    return line + 1, name


def _fields_at(schema: type, loc: tuple) -> list[str]:
    """Names that would be known where this one is not."""
    for part in loc:
        if isinstance(part, int):
            continue
        fields = getattr(schema, "model_fields", {})
        if part not in fields:
            break
        schema = fields[part].annotation
        for inner in (*get_args(schema), schema):
            if isinstance(inner, type) and issubclass(inner, BaseModel):
                schema = inner
    return list(getattr(schema, "model_fields", {}))


def _fault(path: str, tree: object, schema: type, error: dict) -> str:
    line, name = _place(tree, error["loc"])
    kind, found = error["type"], error.get("input")
    said = PLAIN.get(kind) or error["msg"].removeprefix("Value error, ").removeprefix("Input ")
    if kind == "extra_forbidden":
        near = get_close_matches(str(error["loc"][-1]), _fields_at(schema, error["loc"][:-1]), 1, 0.5)
        fix = f"did you mean {near[0]!r}?" if near else "remove it"
        return f"{path}:{line}: {name}: {said}; {fix}"
    if kind == "missing":
        return f"{path}:{line}: {name}: {said}; add it"
    shown = "" if isinstance(found, dict | list) else f" (found {found!r})"
    return f"{path}:{line}: {name or 'file'}: {said}{shown}"


def parse(text: str, schema: type[M], path: str = "-") -> M:
    """Check a text whole. Raises Faults, one line each: file, line, field, what was found, likely fix."""
    try:
        yaml = YAML(typ="rt")
        tree = yaml.load(text)
    except MarkedYAMLError as fault:
        mark = fault.problem_mark or fault.context_mark
        line = mark.line + 1 if mark else 1
        said = fault.problem or fault.context
        raise Faults([f"{path}:{line}: not YAML: {said}; check indentation, quotes and colons"]) from fault
    except (YAMLError, ValueError) as fault:
        raise Faults([f"{path}:1: not YAML: {str(fault).splitlines()[0]}"]) from fault
    if not isinstance(tree, CommentedMap):
        raise Faults([f"{path}:1: a file of fields is wanted, found {type(tree).__name__}"])
    try:
        return schema.model_validate(_bare(tree))
    except ValidationError as fault:
        raise Faults([_fault(path, tree, schema, dict(e)) for e in fault.errors()]) from fault


def _bare(tree: object) -> object:
    if isinstance(tree, CommentedMap):
        return {str(k): _bare(v) for k, v in tree.items()}
    if isinstance(tree, CommentedSeq):
        return [_bare(v) for v in tree]
    return tree


def load(path: str | Path, schema: type[M]) -> M:
    """The same, of a file."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as fault:
        raise Faults([f"{path}:1: cannot be read: {getattr(fault, 'strerror', None) or fault}"]) from fault
    return parse(text, schema, str(path))
