"""Exits of programs whose settings file, argument or address is invalid."""

import sys
from pathlib import Path
from typing import NoReturn, TypeVar

from myrtlehub.config.loader import ConfigError, ConfigModel, load_config

EXIT_INVALID = 2  # a file, an argument or an address is invalid

Model = TypeVar("Model", bound=ConfigModel)


def exit_invalid(message: str) -> NoReturn:
    """Print the message on standard error, and exit with EXIT_INVALID."""
    print(message, file=sys.stderr)
    sys.exit(EXIT_INVALID)


def load_or_exit(path: Path, model: type[Model]) -> Model:
    """Return the model of a settings file; if it is invalid, print one line per error and exit."""
    try:
        return load_config(path, model)
    except ConfigError as error:
        exit_invalid(str(error))
