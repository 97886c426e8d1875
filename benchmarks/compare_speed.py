"""Compares the speed of the working tree with that of a commit, in alternate rounds. Simulated, on loopback.

    python benchmarks/compare_speed.py cc6ab61 [--rounds 7] [--only decision]

Measures three costs, each as the median, minimum and maximum of several rounds: CPU time of the decisions
for a sequence among 200 engines; CPU time to import the relay's program; node CPU time per relayed token.
A ratio over 1 means that the working tree is slower; exits with 1 if a ratio exceeds the bound. Other load on
the machine distorts the figures.
"""

import argparse
import compileall
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from statistics import median

from compare_decisions import tree_of
from twisted.internet.defer import inlineCallbacks

HERE = Path(__file__).resolve().parent
BOUND = 1.03
STREAMS = 100
RELAY_SECONDS = 6.0
IMPORT = "import time, myrtlehub.relay.__main__; print(time.process_time())"

Samples = dict[str, list[float]]  # a figure for each round, by tree


def output_of(tree: Path, *command: str) -> float:
    """Run a program with the modules of a tree, and return the number that it prints."""
    environment = {**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": "1"}
    done = subprocess.run(
        [sys.executable, *command], check=True, stdout=subprocess.PIPE, text=True, env=environment, cwd=tree
    )
    return float(done.stdout)


def decision_cost(tree: Path) -> float:
    """CPU seconds of the decisions for one sequence."""
    return output_of(tree, str(HERE / "decision_speed.py"), str(tree))


def import_cost(tree: Path) -> float:
    """CPU seconds to import the relay's program."""
    return output_of(tree, "-c", IMPORT)


def alternate(trees: dict[str, Path], rounds: int, measure: Callable[[Path], float]) -> Samples:
    """Measure both trees in each round, with alternating order, after one warm-up round."""
    samples: Samples = {name: [] for name in trees}
    for number in range(rounds + 1):
        order = list(trees) if number % 2 else list(trees)[::-1]
        for name in order:
            cost = measure(trees[name])
            if number:
                samples[name].append(cost)
    return samples


def relay_costs(trees: dict[str, Path], rounds: int) -> Samples:
    """CPU seconds of a node per token, in alternate rounds; engines and clients run from the working tree."""
    from bench_processes import Steps, run_reactor
    from relay import SingleNodeFleet, measure_throughput

    samples: Samples = {name: [] for name in trees}

    @inlineCallbacks
    def run() -> Steps[None]:
        for number in range(rounds):
            for name in list(trees) if number % 2 else list(trees)[::-1]:
                with tempfile.TemporaryDirectory() as folder:
                    fleet = SingleNodeFleet(Path(folder), 3, "10ms", 400, str(trees[name]))
                    try:
                        found = yield measure_throughput(fleet, STREAMS, RELAY_SECONDS)
                    finally:
                        fleet.stop()
                samples[name].append(1.0 / found.tokens_a_processor_second)

    run_reactor(run)
    return samples


def table_row(title: str, samples: Samples) -> tuple[str, float]:
    """Return a row of the table, and the ratio of the medians."""
    base, present = samples["commit"], samples["present"]
    ratio = median(present) / median(base)
    cells = "  ".join(
        f"{median(each) * 1e6:10.1f} ({min(each) * 1e6:.1f} to {max(each) * 1e6:.1f})"
        for each in (base, present)
    )
    return f"{title:<30} {cells}  ratio {ratio:.3f}\n", ratio


def main() -> int:
    """Measure, print the table, and return the exit code: 1 if a ratio exceeds the bound."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("commit")
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--only", choices=("decision", "import", "relay"))
    options = parser.parse_args()
    ratios = []
    with tempfile.TemporaryDirectory() as folder:
        trees = {
            "commit": tree_of(options.commit, Path(folder, "commit")),
            "present": tree_of(".", Path(folder, "present")),
        }
        for tree in trees.values():
            compileall.compile_dir(tree, quiet=2)
        measures: dict[str, Callable[[], Samples]] = {
            "decision": lambda: alternate(trees, options.rounds, decision_cost),
            "import": lambda: alternate(trees, options.rounds, import_cost),
            "relay": lambda: relay_costs(trees, options.rounds),
        }
        titles = {
            "decision": "decisions of a sequence",
            "import": "import of the relay",
            "relay": "a relayed token",
        }
        sys.stdout.write("microseconds of processor: commit, then working tree; median (lowest to highest)\n")
        for name, measure in measures.items():
            if options.only in (None, name):
                line, ratio = table_row(titles[name], measure())
                sys.stdout.write(line)
                sys.stdout.flush()
                ratios.append(ratio)
    sys.stdout.write(f"load of the machine: {os.getloadavg()}; bound {BOUND}\n")
    return int(max(ratios) > BOUND)


if __name__ == "__main__":
    sys.exit(main())
