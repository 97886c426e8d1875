"""Replacement of parts of a program under test, to inject a fault."""

from types import ModuleType


def replace_attribute(owner: type | ModuleType, name: str, replacement: object) -> None:
    """Replace a function or class that a class or module has.

    Raises:
        AttributeError: The owner has no such attribute, for example because it was renamed.
    """
    getattr(owner, name)
    setattr(owner, name, replacement)
