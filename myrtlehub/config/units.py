"""Durations, sizes and tokens as people write them; a number without a unit is refused."""

from re import compile as pattern
from typing import Annotated

from pydantic import BeforeValidator

_NUMBER = pattern(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+(?:\s+[a-z]+)?)\s*")
_DURATION = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "min": 60.0, "h": 3600.0}
_SIZE = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30, "kB": 10**3, "MB": 10**6, "GB": 10**9}
_TOKENS = {"tokens": 1.0, "token": 1.0, "k tokens": 1e3, "ktokens": 1e3, "M tokens": 1e6}


def _read(value: object, units: dict[str, float], example: str) -> float:
    if isinstance(value, str):
        match = _NUMBER.fullmatch(value)
        unit = " ".join(match[2].split()) if match else ""
        if unit in units:
            return float(match[1]) * units[unit]
        if match:
            raise ValueError(f"unit {match[2]!r} is not one of {', '.join(units)}")
    if value == 0 and not isinstance(value, bool):
        return 0.0
    if isinstance(value, int | float) and not isinstance(value, bool):
        raise ValueError(f"a unit is missing; write it like {example}")
    raise ValueError(f"not understood; write it like {example}")


def duration(value: object) -> float:
    """Seconds of "250ms", "2s", "1.5 m"."""
    return _read(value, _DURATION, "250ms or 2s")


def size(value: object) -> int:
    """Bytes of "64KiB"."""
    return int(_read(value, _SIZE, "64KiB"))


def tokens(value: object) -> float:
    """Tokens of "200k tokens"."""
    return _read(value, _TOKENS, '"200k tokens"')


Duration = Annotated[float, BeforeValidator(duration)]
Size = Annotated[int, BeforeValidator(size)]
Tokens = Annotated[float, BeforeValidator(tokens)]
