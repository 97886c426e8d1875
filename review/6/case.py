"""Case 6: discovery answers 1.5 s late, the node hears nothing more, and a draining engine gets new work."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import platform_standins as standins  # noqa: E402 - the folder of the stand-ins is on the path only now
import unheard_drain  # noqa: E402 - as above

ANSWER_DELAY_S = 1.5  # of each answer of discovery


def begin_trouble(discovery: standins.Discovery) -> None:
    """Slow all answers down."""
    discovery.delay_s = ANSWER_DELAY_S


async def main(stage: standins.Stage) -> int:
    """Play the case."""
    return await unheard_drain.play(stage, begin_trouble, f"discovery answers {ANSWER_DELAY_S} s late")


if __name__ == "__main__":
    sys.exit(standins.run_case(main, FOLDER))
