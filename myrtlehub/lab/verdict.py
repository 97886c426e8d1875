"""The verdict on a scenario: violations of rules, and figures, from its records."""

import heapq
import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from myrtlehub.lab.case_coverage import CaseCounter
from myrtlehub.lab.endpoint_list_checker import EndpointListChecker
from myrtlehub.lab.endpoint_list_writer import EndpointListWriter
from myrtlehub.lab.rule_checker.checker import RuleChecker, check_records
from myrtlehub.lab.rule_checker.findings import RULE_NAMES
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.simulated_clients.batch_clients import BatchClients
from myrtlehub.lab.simulated_clients.chat_clients import ChatClients
from myrtlehub.lab.verdict_format import ListFileFigures, RuleFigures, Verdict
from myrtlehub.records import Record, read

ATTEMPT_EVENTS = ("refused", "failed", "ran", "stopped")


class _RecordObserver:
    """Counts attempts and hard cases, and checks endpoint lists, before the rule checker sees the records."""

    def __init__(self, scenario: Scenario) -> None:
        self.attempts: Counter[str] = Counter()
        self.cases = CaseCounter()
        self.lists = EndpointListChecker(scenario.rules.drain_grace)

    def observe(self, records: Iterator[Record]) -> Iterator[Record]:
        """Yield the records, each after the notifications of list changes that it proves."""
        for record in records:
            self.cases.see(record)
            yield from self.lists.see(record)
            if record.what == "got":
                self.attempts["reads" if record.more["reads"] else "writes"] += 1
            elif record.what in ATTEMPT_EVENTS:
                self.attempts[record.what] += 1
            yield record


def judge_records(
    folder: Path,
    scenario: Scenario,
    seed: int,
    unclean: list[str],
    clients: ChatClients,
    batches: BatchClients,
    list_writers: list[EndpointListWriter],
) -> Verdict:
    """Check all records of a folder; return the verdict."""
    paths = sorted(folder.glob("*.rec"))
    observer = _RecordObserver(scenario)
    merged = heapq.merge(*map(read, paths), key=lambda record: record.at)
    checker = check_records(observer.observe(merged))
    observer.lists.finish(checker.now)
    is_violated = checker.breaches or unclean or observer.lists.violations or batches.faults
    return {
        "seed": seed,
        "kept": not is_violated,
        "rules": _rule_figures(checker),
        "lists": _list_figures(observer.lists, list_writers),
        "batches": batches.figures() if batches.planned else None,
        "unclean": unclean,
        "attempts": dict(sorted(observer.attempts.items())),
        "cases": dict(observer.cases.counts),
        "cancels": observer.cases.cancels(),
        "excused": checker.excused,
        "client_behind": round(clients.lag.max_lag, 3),
        "traffic": {name: tally.figures() for name, tally in clients.tallies.items()},
    }


def _rule_figures(checker: RuleChecker) -> list[RuleFigures]:
    """Return how often each rule was checked, and the violations of it."""
    return [
        {
            "rule": int(rule),
            "name": name,
            "checked": checker.counts[rule],
            "breaches": [breach.text for breach in checker.breaches if breach.rule == rule],
        }
        for rule, name in RULE_NAMES.items()
    ]


def _list_figures(lists: EndpointListChecker, writers: list[EndpointListWriter]) -> ListFileFigures | None:
    if not writers:
        return None
    return {
        **lists.figures(),
        "versions": sum(writer.versions for writer in writers),
        "torn": sum(writer.torn for writer in writers),
        "wrong": sum(writer.invalid for writer in writers),
        "deleted": sum(writer.deleted for writer in writers),
    }


def save(verdict: Verdict, folder: Path) -> None:
    """Write the verdict beside the records."""
    (folder / "verdict.json").write_text(json.dumps(verdict, indent=1) + "\n")
