"""Lines for people about what is wrong with a file: file, line, field, what was found and the likely fix."""

from collections.abc import Mapping
from difflib import get_close_matches
from typing import NamedTuple, get_args

from pydantic import BaseModel
from pydantic_core import ErrorDetails
from ruamel.yaml.comments import CommentedMap, CommentedSeq

Location = tuple[int | str, ...]  # of a field, from the root of the file
CLOSE_MATCH = 0.5  # similarity from which a known name is suggested
MESSAGES = {
    "missing": "is missing",
    "extra_forbidden": "is not known here",
    "int_type": "has to be a whole number",
    "float_type": "has to be a number",
    "string_type": "has to be text",
    "list_type": "has to be a list",
    "bool_type": "has to be yes or no",
    "model_type": "has to be a group of fields",
}


class Place(NamedTuple):
    """Where a field stands, and its name as people write it."""

    line: int
    name: str


def find_place(tree: CommentedMap, location: Location) -> Place:
    """Return the place of a field, with the line of the nearest group that holds it if it is not there."""
    line = 0
    name = ""
    node = tree
    for part in location:
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
    return Place(line + 1, name)


def _join(name: str, part: str) -> str:
    return f"{name}.{part}" if name else part


def _label(item: object) -> str:
    """Return the name of an item of a list in brackets, where it has one."""
    label = (item.get("name") or item.get("address")) if isinstance(item, CommentedMap) else None
    return f"({label})" if label else ""


def _known_fields(model: type, location: Location) -> list[str]:
    """Return the names that would be known at a place."""
    for part in location:
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


def describe_fault(path: str, tree: CommentedMap, model: type[BaseModel], error: ErrorDetails) -> str:
    """Return the line for one fault that the model has found."""
    place = find_place(tree, error["loc"])
    message = _message(error)
    prefix = f"{path}:{place.line}: {place.name}"
    if error["type"] == "extra_forbidden":
        return f"{prefix}: {message}; {_suggestion(model, error['loc'])}"
    if error["type"] == "missing":
        return f"{prefix}: {message}; add it"
    found = error.get("input")
    shown = "" if isinstance(found, dict | list) else f" (found {found!r})"
    return f"{path}:{place.line}: {place.name or 'file'}: {message}{shown}"


def _message(error: Mapping[str, str]) -> str:
    known = MESSAGES.get(error["type"])
    return known or error["msg"].removeprefix("Value error, ").removeprefix("Input ")


def _suggestion(model: type[BaseModel], location: Location) -> str:
    known = _known_fields(model, location[:-1])
    near = get_close_matches(str(location[-1]), known, 1, CLOSE_MATCH)
    return f"did you mean {near[0]!r}?" if near else "remove it"
