"""The verdict on a scenario: rules and figures from its records, as JSON and as text."""

import heapq
import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeAlias

from myrtlehub.lab.case_coverage import CaseCounter
from myrtlehub.lab.endpoint_list_checker import EndpointListChecker
from myrtlehub.lab.endpoint_list_writer import EndpointListWriter
from myrtlehub.lab.rule_checker.checker import RuleChecker, check_records
from myrtlehub.lab.rule_checker.findings import RULE_NAMES
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.simulated_clients.batch_clients import BatchClients
from myrtlehub.lab.simulated_clients.chat_clients import ChatClients
from myrtlehub.records import Record, read

MOST_BREACHES_SHOWN = 5  # of each rule
WRITER_COUNTS = ("versions", "torn", "wrong", "deleted")
ATTEMPT_EVENTS = ("refused", "failed", "ran", "stopped")
MAIN_ANSWERS = ("generated", "rejected", "aborted")

Verdict: TypeAlias = dict[str, Any]  # as verdict.json has it


class _RecordObserver:
    """Counts what records show beside the rules, on their way to the rule checker."""

    def __init__(self, scenario: Scenario) -> None:
        self.attempts: Counter[str] = Counter()
        self.cases = CaseCounter()
        self.lists = EndpointListChecker(scenario.rules.drain_grace)

    def observe(self, records: Iterator[Record]) -> Iterator[Record]:
        """Pass records on, each after what follows from it of endpoint lists."""
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
    is_broken = checker.breaches or unclean or observer.lists.breaches or batches.faults
    return {
        "seed": seed,
        "kept": not is_broken,
        "rules": _rule_figures(checker),
        "lists": _list_figures(observer.lists, list_writers),
        "batches": batches.figures() if batches.planned else None,
        "unclean": unclean,
        "attempts": dict(sorted(observer.attempts.items())),
        "cases": dict(observer.cases.counts),
        "cancels": observer.cases.cancels(),
        "excused": checker.excused,
        "client_behind": round(clients.lag.worst, 3),
        "traffic": {name: tally.figures() for name, tally in clients.tallies.items()},
    }


def _rule_figures(checker: RuleChecker) -> list[dict]:
    """Return how many things each rule was checked on, and what broke it."""
    return [
        {
            "rule": int(rule),
            "name": name,
            "checked": checker.counts[rule],
            "breaches": [breach.text for breach in checker.breaches if breach.rule == rule],
        }
        for rule, name in RULE_NAMES.items()
    ]


def _list_figures(lists: EndpointListChecker, writers: list[EndpointListWriter]) -> dict | None:
    if not writers:
        return None
    written = {name: sum(getattr(writer, name) for writer in writers) for name in WRITER_COUNTS}
    return {**lists.figures(), **written}


def save(verdict: Verdict, folder: Path) -> None:
    """Write the verdict beside the records."""
    (folder / "verdict.json").write_text(json.dumps(verdict, indent=1) + "\n")


# -- as text --------------------------------------------------------------------------------------


def verdict_text(verdict: Verdict) -> str:
    """Return the verdict for people."""
    lines = [
        "",
        *_rule_lines(verdict["rules"]),
        *[f"not clean: {text}" for text in verdict["unclean"]],
        "",
        "hard cases hit: " + "; ".join(f"{case} {n}" for case, n in verdict["cases"].items() if n),
        *_cancel_lines(verdict["cancels"]),
    ]
    if verdict["excused"]:
        lines.append(
            f"not judged: {verdict['excused']} answers that came late to a client process which "
            f"itself ran up to {verdict['client_behind']:.2f} s behind"
        )
    if verdict["lists"]:
        lines += _list_lines(verdict["lists"])
    if verdict["batches"]:
        lines += _batch_lines(verdict["batches"])
    attempts = ", ".join(f"{count} {event}" for event, count in verdict["attempts"].items())
    lines += ["", f"schedule attempts: {attempts}", "", *_traffic_lines(verdict["traffic"]), ""]
    lines.append("all rules kept" if verdict["kept"] else "NOT KEPT")
    lines.append("(simulated: stand-in engines on loopback)")
    return "\n".join(lines)


def _rule_lines(rules: list[dict]) -> list[str]:
    lines = ["rule                               checked  verdict"]
    for rule in rules:
        breaches = rule["breaches"]
        found = f"BROKEN {len(breaches)} times" if breaches else "kept"
        lines.append(f"{rule['rule']} {rule['name']:<32} {rule['checked']:>7}  {found}")
        lines += [f"    {text}" for text in breaches[:MOST_BREACHES_SHOWN]]
    return lines


def _cancel_lines(cancels: dict[str, dict]) -> list[str]:
    return [
        f"after a client left: {what} within {_p50_and_p99(figures)} ({figures['count']} times)"
        for what, figures in cancels.items()
    ]


def _p50_and_p99(figures: dict[str, float]) -> str:
    return f"{figures['p50'] * 1000:.0f} ms at p50, {figures['p99'] * 1000:.0f} ms at p99"


def _list_lines(figures: dict) -> list[str]:
    """Return what became of the files of engines."""
    lines = [
        f"lists written: {figures['versions']} whole, {figures['torn']} torn, {figures['wrong']} wrong, "
        f"{figures['deleted']} deleted; {figures['versions_used']} seen in use; "
        f"{figures['attempts']} attempts, "
        "each by a version that was whole: " + ("NO" if figures["breaches"] else "yes")
    ]
    lines += [f"    {text}" for text in figures["breaches"][:MOST_BREACHES_SHOWN]]
    for key, what in (
        ("first_send", "a whole list on disk to the first send by it"),
        ("last_send", "a removal on disk to the last send there"),
    ):
        if figures[key]["count"]:
            lines.append(f"from {what}: {_p50_and_p99(figures[key])} ({figures[key]['count']} times)")
    return lines


def _batch_lines(batches: dict) -> list[str]:
    return [
        f"batches: {batches['batches']} in {batches['tries']} tries, {batches['items']} items checked, "
        f"{batches['kept']} of them kept from before, {len(batches['faults'])} answers wrong",
        *[f"    {text}" for text in batches["faults"][:MOST_BREACHES_SHOWN]],
        *[
            f"    {name}: " + ", ".join(f"{count} {answer}" for answer, count in sorted(answers.items()))
            for name, answers in sorted(batches["answers"].items())
        ],
    ]


def _traffic_lines(traffic: dict[str, dict]) -> list[str]:
    header = (
        f"{'traffic type':<14}{'seqs':>6}{'tries':>7}{'generated':>11}{'rejected':>10}{'aborted':>9}"
        f"{'other':>7}{'first token p50/p99':>22}{'per token p50/p99':>20}{'goodput':>9}"
    )
    return [header, *[_traffic_line(name, figures) for name, figures in traffic.items()]]


def _traffic_line(name: str, figures: dict) -> str:
    answers = figures["answers"]
    other = sum(count for answer, count in answers.items() if answer not in MAIN_ANSWERS)
    goodput = "-" if figures["goodput"] is None else f"{figures['goodput']:.3f}"
    return (
        f"{name:<14}{figures['sequences']:>6}{figures['tries']:>7}{answers.get('generated', 0):>11}"
        f"{answers.get('rejected', 0):>10}{answers.get('aborted', 0):>9}{other:>7}"
        f"{_milliseconds(figures['first_token']):>22}{_milliseconds(figures['per_token']):>20}"
        f"{goodput:>9}"
    )


def _milliseconds(percentiles: dict[str, float]) -> str:
    return " / ".join(f"{percentiles.get(name, 0.0) * 1000:.0f}" for name in ("p50", "p99")) + " ms"
