"""The verdict on a scenario as text for people."""

from collections.abc import Mapping

from myrtlehub.lab.simulated_clients.batch_tally import BatchFigures
from myrtlehub.lab.simulated_clients.chat_tally import ChatFigures
from myrtlehub.lab.verdict_format import ListFileFigures, RuleFigures, Verdict

MAX_VIOLATIONS_SHOWN = 5  # of each rule
MAIN_ANSWERS = ("generated", "rejected", "aborted")


def verdict_text(verdict: Verdict) -> str:
    """Return the verdict as lines of text."""
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


def _rule_lines(rules: list[RuleFigures]) -> list[str]:
    lines = ["rule                               checked  verdict"]
    for rule in rules:
        violations = rule["breaches"]
        found = f"BROKEN {len(violations)} times" if violations else "kept"
        lines.append(f"{rule['rule']} {rule['name']:<32} {rule['checked']:>7}  {found}")
        lines += [f"    {text}" for text in violations[:MAX_VIOLATIONS_SHOWN]]
    return lines


def _cancel_lines(cancels: Mapping[str, Mapping[str, float]]) -> list[str]:
    return [
        f"after a client left: {what} within {_p50_and_p99(figures)} ({figures['count']} times)"
        for what, figures in cancels.items()
    ]


def _p50_and_p99(figures: Mapping[str, float]) -> str:
    return f"{figures['p50'] * 1000:.0f} ms at p50, {figures['p99'] * 1000:.0f} ms at p99"


def _list_lines(figures: ListFileFigures) -> list[str]:
    """Return how the list files were written, and how nodes followed them."""
    lines = [
        f"lists written: {figures['versions']} whole, {figures['torn']} torn, {figures['wrong']} wrong, "
        f"{figures['deleted']} deleted; {figures['versions_used']} seen in use; "
        f"{figures['attempts']} attempts, "
        "each by a version that was whole: " + ("NO" if figures["breaches"] else "yes")
    ]
    lines += [f"    {text}" for text in figures["breaches"][:MAX_VIOLATIONS_SHOWN]]
    for delays, span in (
        (figures["first_send"], "a whole list on disk to the first send by it"),
        (figures["last_send"], "a removal on disk to the last send there"),
    ):
        if delays["count"]:
            lines.append(f"from {span}: {_p50_and_p99(delays)} ({delays['count']} times)")
    return lines


def _batch_lines(batches: BatchFigures) -> list[str]:
    return [
        f"batches: {batches['batches']} in {batches['tries']} tries, {batches['items']} items checked, "
        f"{batches['kept']} of them kept from before, {len(batches['faults'])} answers wrong",
        *[f"    {text}" for text in batches["faults"][:MAX_VIOLATIONS_SHOWN]],
        *[
            f"    {name}: " + ", ".join(f"{count} {answer}" for answer, count in sorted(answers.items()))
            for name, answers in sorted(batches["answers"].items())
        ],
    ]


def _traffic_lines(traffic: Mapping[str, ChatFigures]) -> list[str]:
    header = (
        f"{'traffic type':<14}{'seqs':>6}{'tries':>7}{'generated':>11}{'rejected':>10}{'aborted':>9}"
        f"{'other':>7}{'first token p50/p99':>22}{'per token p50/p99':>20}{'goodput':>9}"
    )
    return [header, *[_traffic_line(name, figures) for name, figures in traffic.items()]]


def _traffic_line(name: str, figures: ChatFigures) -> str:
    answers = figures["answers"]
    other = sum(count for answer, count in answers.items() if answer not in MAIN_ANSWERS)
    goodput = "-" if figures["goodput"] is None else f"{figures['goodput']:.3f}"
    return (
        f"{name:<14}{figures['sequences']:>6}{figures['tries']:>7}{answers.get('generated', 0):>11}"
        f"{answers.get('rejected', 0):>10}{answers.get('aborted', 0):>9}{other:>7}"
        f"{_milliseconds(figures['first_token']):>22}{_milliseconds(figures['per_token']):>20}"
        f"{goodput:>9}"
    )


def _milliseconds(percentiles: Mapping[str, float]) -> str:
    return " / ".join(f"{percentiles.get(name, 0.0) * 1000:.0f}" for name in ("p50", "p99")) + " ms"
