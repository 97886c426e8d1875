"""Types of fields with a unit: durations, sizes and tokens. A number without a unit is rejected, except 0."""

import re
from collections.abc import Mapping
from typing import Annotated

from pydantic import BeforeValidator

_NUMBER_WITH_UNIT = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+(?:\s+[a-z]+)?)\s*")
_DURATION_UNITS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "min": 60.0, "h": 3600.0}
_SIZE_UNITS = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30, "kB": 10**3, "MB": 10**6, "GB": 10**9}
_TOKEN_UNITS = {"tokens": 1.0, "token": 1.0, "k tokens": 1e3, "ktokens": 1e3, "M tokens": 1e6}


def _parse(value: object, units: Mapping[str, float], example: str) -> float:
    """Return the value in the base unit.

    Raises:
        ValueError: it is not a number with a known unit; pydantic reports it as a fault of the field.
    """
    if value == 0 and not isinstance(value, bool):
        return 0.0
    match = _NUMBER_WITH_UNIT.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        fault = "a unit is missing" if is_number else "not understood"
        raise ValueError(f"{fault}; write it like {example}")
    unit = " ".join(match[2].split())
    if unit not in units:
        raise ValueError(f"unit {match[2]!r} is not one of {', '.join(units)}")
    return float(match[1]) * units[unit]


def parse_duration(value: object) -> float:
    """Return the seconds of a text like "250ms", "2s" or "1.5 m"."""
    return _parse(value, _DURATION_UNITS, "250ms or 2s")


def parse_size(value: object) -> int:
    """Return the bytes of a text like "64KiB"."""
    return int(_parse(value, _SIZE_UNITS, "64KiB"))


def parse_tokens(value: object) -> float:
    """Return the tokens of a text like "200k tokens"."""
    return _parse(value, _TOKEN_UNITS, '"200k tokens"')


Duration = Annotated[float, BeforeValidator(parse_duration)]
Size = Annotated[int, BeforeValidator(parse_size)]
Tokens = Annotated[float, BeforeValidator(parse_tokens)]
