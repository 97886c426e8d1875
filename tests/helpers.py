"""What several test files use."""

from myrtlehub.state.lives import Step, Table


def changed(table: Table, **steps: Step) -> Table:
    """A table with some results changed; keys are state__event."""
    new = dict(table.steps)
    for key, step in steps.items():
        state, event = key.split("__")
        assert new[state, event] != step
        new[state, event] = step
    return table._replace(steps=new)
