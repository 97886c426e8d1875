"""Checks a larger model of a sequence than the tests do; prints the number of states and any violation."""

import sys
import time

import click

from myrtlehub.routing.contract import RetrySemantics
from myrtlehub.state.model import ModelConfig, initial_state
from myrtlehub.state.model_checker import check_model
from myrtlehub.state.model_transitions import ModelTransitions


@click.command()
@click.argument(
    "semantics", nargs=-1, required=True, type=click.Choice([member.value for member in RetrySemantics])
)
@click.option("--nodes", default=2)
@click.option("--readers", default=2)
@click.option("--writers", default=2)
@click.option("--max-attempts", default=2, help="Of a submission.")
@click.option("--max-submissions", default=2, help="Of a sequence.")
@click.option("--max-faults", default=2)
@click.option("--max-depth", default=1000, help="Moves from the initial state.")
@click.option("--max-states", default=1_000_000)
def main(
    semantics: tuple[str, ...],
    nodes: int,
    readers: int,
    writers: int,
    max_attempts: int,
    max_submissions: int,
    max_faults: int,
    max_depth: int,
    max_states: int,
) -> None:
    """Check a model with one sequence for each of SEMANTICS."""
    config = ModelConfig(
        tuple(RetrySemantics(name) for name in semantics),
        nodes,
        readers,
        writers,
        max_attempts,
        max_submissions,
        max_faults,
    )
    started_at = time.perf_counter()
    result = check_model(initial_state(config), ModelTransitions(config), max_depth, max_states)
    extent = "all reachable" if result.is_complete else "cut off"
    click.echo(
        f"{' '.join(semantics)}: {result.states} states, {result.steps} moves, depth {result.depth}, "
        f"{extent}, {time.perf_counter() - started_at:.0f} s"
    )
    if result.violation:
        click.echo("\n".join((result.violation, *(f"    {label}" for label in result.trace))))
        sys.exit(1)


if __name__ == "__main__":
    main()
