"""Descriptions of the validation errors of a settings file: file, line, field, value and likely fix."""

from difflib import get_close_matches
from typing import NamedTuple, TypeAlias, get_args

from pydantic import BaseModel
from pydantic_core import ErrorDetails
from ruamel.yaml.comments import CommentedMap, CommentedSeq

FieldPath: TypeAlias = tuple[int | str, ...]  # keys and indices from the root of the file to a field
MIN_SIMILARITY = 0.5  # difflib ratio between an unknown field name and the closest known one to suggest it
MESSAGE_BY_ERROR_TYPE = {  # by pydantic's error type; other types keep pydantic's message
    "missing": "is missing",
    "extra_forbidden": "is not a known field",
    "int_type": "must be a whole number",
    "float_type": "must be a number",
    "string_type": "must be text",
    "list_type": "must be a list",
    "bool_type": "must be yes or no",
    "model_type": "must be a mapping",
}


class FieldLocation(NamedTuple):
    """The line of a field, counted from 1, and its name, such as `traffic[0](ask).utility`."""

    line: int
    name: str


def locate_field(tree: CommentedMap, path: FieldPath) -> FieldLocation:
    """Return the location of a field; a missing field gets the line of the innermost mapping around it."""
    line = 0
    name = ""
    value: object = tree
    for part in path:
        if isinstance(value, CommentedMap) and isinstance(part, str):
            name = _join(name, part)
            line = value.lc.key(part)[0] if part in value else line
            value = value.get(part)
        elif isinstance(value, CommentedSeq) and isinstance(part, int) and part < len(value):
            line = value.lc.item(part)[0]
            value = value[part]
            name += f"[{part}]{_item_label(value)}"
        elif isinstance(part, str) and value is None:
            name = _join(name, part)
    return FieldLocation(line + 1, name)


def _join(name: str, part: str) -> str:
    return f"{name}.{part}" if name else part


def _item_label(item: object) -> str:
    """Return the name or address of a list item in parentheses, or "" for an item without either."""
    label = (item.get("name") or item.get("address")) if isinstance(item, CommentedMap) else None
    return f"({label})" if label else ""


def _known_fields(model: type, path: FieldPath) -> list[str]:
    """Return the names of the fields of the model at a path."""
    for part in path:
        if isinstance(part, int):
            continue
        fields = getattr(model, "model_fields", {})
        if part not in fields:
            break
        model = fields[part].annotation
        for candidate in (*get_args(model), model):
            if isinstance(candidate, type) and issubclass(candidate, BaseModel):
                model = candidate
    return list(getattr(model, "model_fields", {}))


def describe_error(file: str, tree: CommentedMap, model: type[BaseModel], error: ErrorDetails) -> str:
    """Return a one-line description of a pydantic validation error."""
    location = locate_field(tree, error["loc"])
    message = _message(error)
    prefix = f"{file}:{location.line}: {location.name}"
    if error["type"] == "extra_forbidden":
        return f"{prefix}: {message}; {_suggestion(model, error['loc'])}"
    if error["type"] == "missing":
        return f"{prefix}: {message}; add it"
    value = error.get("input")
    found = "" if isinstance(value, dict | list) else f" (found {value!r})"
    return f"{file}:{location.line}: {location.name or 'file'}: {message}{found}"


def _message(error: ErrorDetails) -> str:
    message = MESSAGE_BY_ERROR_TYPE.get(error["type"])
    return message or error["msg"].removeprefix("Value error, ").removeprefix("Input ")


def _suggestion(model: type[BaseModel], path: FieldPath) -> str:
    known_fields = _known_fields(model, path[:-1])
    matches = get_close_matches(str(path[-1]), known_fields, 1, MIN_SIMILARITY)
    return f"did you mean {matches[0]!r}?" if matches else "remove it"
