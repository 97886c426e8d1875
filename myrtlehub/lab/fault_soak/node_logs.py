"""What the nodes' own logs say about invariants."""

from collections import Counter

from myrtlehub.lab.fault_soak.node_process import NodeProcess
from myrtlehub.lab.fault_soak.records import RunRecords
from myrtlehub.log_events import LogEvent


def record_node_logs(nodes: list[NodeProcess], records: RunRecords) -> None:
    """Record the violations and the withheld sends that the nodes have logged.

    Withheld sends are counted from a process's last counters, and only if it has logged its end.
    """
    withheld: Counter[str] = Counter()
    for node in nodes:
        last_withheld: dict[str, int] = {}
        for line in node.log_lines():
            match line["event"]:
                case LogEvent.INVARIANT_VIOLATED:
                    records.node_violations.append(line["invariant"])
                case LogEvent.COUNTERS:
                    last_withheld = line["withheld"]
                case LogEvent.ENDED:
                    withheld.update(last_withheld)
    records.withheld = dict(withheld)
