"""Which nodes have fallen silent, as one node sees it. Pure.

A bound on silence that is the same for all: beats come every `EVERY` on a connection that stands, so that the
usual gap is known and phi-accrual (Hayashibara and others 2004) would learn a constant, slowly, of each of
two or three nodes. What goes wrong is the judge: a process that was itself paused, or has no core, sees all
others late. So whoever looks late accuses nobody, and begins to wait anew.
"""

EVERY = 0.25  # seconds from beat to beat
SILENT = 1.5  # seconds without a beat, until a node counts as gone: six beats, and a pause of a busy process
LATE = 0.2  # seconds by which a look may be late, until what it sees counts for nothing


class Detector:
    """What was heard of other nodes, and when."""

    def __init__(self, now: float, silent: float = SILENT) -> None:
        self.silent = silent
        self.at: dict[str, tuple[str, float]] = {}  # by node: its process, and when it was last heard
        self.due = now + EVERY  # of the next look

    def heard(self, node: str, run: str, now: float) -> str:
        """A sign of life; the process that was there before, if it was another one."""
        before = self.at.get(node)
        self.at[node] = run, now
        return before[0] if before is not None and before[0] != run else ""

    def forget(self, node: str) -> None:
        """It is off the list, or was dealt with."""
        self.at.pop(node, None)

    def look(self, now: float) -> list[tuple[str, str]]:
        """Nodes that fell silent, with the process that was there; each is said until it is forgotten."""
        late, self.due = now - self.due, now + EVERY
        if late > LATE:
            self.at = {node: (run, max(at, now - 2.0 * EVERY)) for node, (run, at) in self.at.items()}
            return []
        return [(node, run) for node, (run, at) in self.at.items() if now - at > self.silent]
