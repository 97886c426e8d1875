"""Descriptions of the faults of a settings file: file, line, field, the value found and the likely fix."""

from difflib import get_close_matches
from typing import NamedTuple, TypeAlias, get_args

from pydantic import BaseModel
from pydantic_core import ErrorDetails
from ruamel.yaml.comments import CommentedMap, CommentedSeq

FieldPath: TypeAlias = tuple[int | str, ...]  # keys and indices from the root of the file to a field
MIN_SIMILARITY = 0.5  # smallest similarity (difflib's ratio) of an unknown name to one that is suggested
MESSAGES = {  # by pydantic's error type; errors of other types keep pydantic's message
    "missing": "is missing",
    "extra_forbidden": "is not known here",
    "int_type": "has to be a whole number",
    "float_type": "has to be a number",
    "string_type": "has to be text",
    "list_type": "has to be a list",
    "bool_type": "has to be yes or no",
    "model_type": "has to be a group of fields",
}


class FieldLocation(NamedTuple):
    """The line of a field, counted from 1, and its name, such as `traffic[0](ask).utility`."""

    line: int
    name: str


def locate_field(tree: CommentedMap, path: FieldPath) -> FieldLocation:
    """Return the location of a field; a missing one has the line of the innermost group around it."""
    line = 0
    name = ""
    node: object = tree
    for part in path:
        if isinstance(node, CommentedMap) and isinstance(part, str):
            name = _join(name, part)
            line = node.lc.key(part)[0] if part in node else line
            node = node.get(part)
        elif isinstance(node, CommentedSeq) and isinstance(part, int) and part < len(node):
            line = node.lc.item(part)[0]
            node = node[part]
            name += f"[{part}]{_label(node)}"
        elif isinstance(part, str) and node is None:
            name = _join(name, part)
    return FieldLocation(line + 1, name)


def _join(name: str, part: str) -> str:
    return f"{name}.{part}" if name else part


def _label(item: object) -> str:
    """Return the name or address of a list item in parentheses, or "" for an item without either."""
    label = (item.get("name") or item.get("address")) if isinstance(item, CommentedMap) else None
    return f"({label})" if label else ""


def _known_fields(model: type, path: FieldPath) -> list[str]:
    """Return the names of the fields that the group at a path may have."""
    for part in path:
        if isinstance(part, int):
            continue
        fields = getattr(model, "model_fields", {})
        if part not in fields:
            break
        model = fields[part].annotation
        for inner in (*get_args(model), model):
            if isinstance(inner, type) and issubclass(inner, BaseModel):
                model = inner
    return list(getattr(model, "model_fields", {}))


def describe_fault(file: str, tree: CommentedMap, model: type[BaseModel], error: ErrorDetails) -> str:
    """Return one line that describes a validation error of pydantic."""
    location = locate_field(tree, error["loc"])
    message = _message(error)
    prefix = f"{file}:{location.line}: {location.name}"
    if error["type"] == "extra_forbidden":
        return f"{prefix}: {message}; {_suggestion(model, error['loc'])}"
    if error["type"] == "missing":
        return f"{prefix}: {message}; add it"
    found = error.get("input")
    shown = "" if isinstance(found, dict | list) else f" (found {found!r})"
    return f"{file}:{location.line}: {location.name or 'file'}: {message}{shown}"


def _message(error: ErrorDetails) -> str:
    known = MESSAGES.get(error["type"])
    return known or error["msg"].removeprefix("Value error, ").removeprefix("Input ")


def _suggestion(model: type[BaseModel], path: FieldPath) -> str:
    known = _known_fields(model, path[:-1])
    near = get_close_matches(str(path[-1]), known, 1, MIN_SIMILARITY)
    return f"did you mean {near[0]!r}?" if near else "remove it"
