"""Types of fields that several models have."""

from typing import Annotated

from pydantic import Field, StringConstraints

Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9.\-]+:[0-9]{1,5}$")]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
Positive = Annotated[float, Field(gt=0.0)]
NotNegative = Annotated[float, Field(ge=0.0)]
Count = Annotated[int, Field(ge=1)]
CountOrZero = Annotated[int, Field(ge=0)]


def find_duplicates(names: list[str]) -> list[str]:
    """Return the names that occur more than once, sorted."""
    return sorted({name for name in names if names.count(name) > 1})
