"""Functions that end a program whose settings file, argument or address is invalid."""

import sys
from pathlib import Path
from typing import NoReturn, TypeVar

from myrtlehub.config.loader import ConfigError, ConfigModel, load_config

INVALID = 2  # exit code if a file, an argument or an address is invalid

Model = TypeVar("Model", bound=ConfigModel)


def fail(text: str) -> NoReturn:
    """Print the text on standard error, and exit with INVALID."""
    print(text, file=sys.stderr)
    sys.exit(INVALID)


def load_or_exit(path: Path, model: type[Model]) -> Model:
    """Return the model of a settings file; print one line per fault and exit with INVALID if it has any."""
    try:
        return load_config(path, model)
    except ConfigError as error:
        fail(str(error))
