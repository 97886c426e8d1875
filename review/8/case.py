"""Case 8: answers of discovery end with their connection, and the node can use none of them."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import platform_standins as standins  # noqa: E402 - the folder of the stand-ins is on the path only now
import unheard_drain  # noqa: E402 - as above


def begin_trouble(discovery: standins.Discovery) -> None:
    """Let each answer end with its connection."""
    discovery.closes = True


async def main(stage: standins.Stage) -> int:
    """Play the case."""
    return await unheard_drain.play(stage, begin_trouble, "answers of discovery end with their connection")


if __name__ == "__main__":
    sys.exit(standins.run_case(main, FOLDER))
