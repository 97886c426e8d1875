"""Reads a YAML file and validates it completely against a model; each fault is described by one line."""

from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from myrtlehub.config.fault_lines import describe_fault

Model = TypeVar("Model", bound="ConfigModel")


class ConfigModel(BaseModel):
    """Base of all models; unknown fields are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class ConfigError(Exception):
    """A settings file is invalid; `lines` describes each of its faults."""

    def __init__(self, lines: list[str]) -> None:
        self.lines = lines
        super().__init__("\n".join(lines))


def load_config(path: str | Path, model: type[Model]) -> Model:
    """Return the model of a file.

    Raises:
        ConfigError: the file cannot be read or is invalid.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or error
        raise ConfigError([f"{path}:1: cannot be read: {reason}"]) from error
    return parse_config(text, model, str(path))


def parse_config(text: str, model: type[Model], path: str = "-") -> Model:
    """Return the model of a YAML text; `path` is the name of the file in error messages.

    Raises:
        ConfigError: the text is invalid.
    """
    tree = _parse_yaml(text, path)
    try:
        return model.model_validate(_to_builtins(tree))
    except ValidationError as error:
        lines = [describe_fault(path, tree, model, details) for details in error.errors()]
        raise ConfigError(lines) from error


def _parse_yaml(text: str, path: str) -> CommentedMap:
    try:
        tree = YAML(typ="rt").load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        problem = error.problem or error.context
        fix = "check indentation, quotes and colons"
        raise ConfigError([f"{path}:{line}: not YAML: {problem}; {fix}"]) from error
    except (YAMLError, ValueError) as error:
        raise ConfigError([f"{path}:1: not YAML: {str(error).splitlines()[0]}"]) from error
    if not isinstance(tree, CommentedMap):
        raise ConfigError([f"{path}:1: a file of fields is wanted, found {type(tree).__name__}"])
    return tree


def _to_builtins(tree: object) -> object:
    """Return the tree in built-in types, without the line numbers and comments that ruamel attaches."""
    if isinstance(tree, CommentedMap):
        return {str(key): _to_builtins(value) for key, value in tree.items()}
    if isinstance(tree, CommentedSeq):
        return [_to_builtins(value) for value in tree]
    return tree
