"""Settings that are to replace a running node's: checked whole before anything of them holds."""

from myrtlehub.config.load import parse
from myrtlehub.config.sheets import EngineRow, NodeSheet
from myrtlehub.membership.judge import unsound

FIXED = ("name", "listen", "admin", "zone")  # of `node`: they change with the process, by rolling the program


class Unfit(Exception):
    """The node could not route by these settings, or cannot change to them in place; the text says why."""


def read(text: str) -> NodeSheet:
    """A node's file. Raises `config.load.Faults`, one line each."""
    return parse(text, NodeSheet, "staged")


def check(now: NodeSheet, then: NodeSheet, rows: list[EngineRow]) -> None:
    """Raises Unfit where `then` cannot follow `now` in a node whose list has these rows."""
    for name in FIXED:
        if getattr(now.node, name) != getattr(then.node, name):
            raise Unfit(
                f"node.{name}: cannot change from {getattr(now.node, name)!r} to "
                f"{getattr(then.node, name)!r} in place; roll the program"
            )
    if bool(now.list.files) != bool(then.list.files) or now.list.pushed != then.list.pushed:
        raise Unfit("list: where the list comes from cannot change in place; roll the program")
    if now.list.files and (now.list != then.list or now.kinds != then.kinds or now.zones != then.zones):
        raise Unfit(
            "list, kinds, zones: what watched files are read by cannot change in place; roll the program"
        )
    if not (then.list.files or then.list.pushed):
        rows = then.list.engines
    kinds = {k.name: k for k in then.kinds}
    faults = unsound(rows, kinds, then.zones, then.engines_may.read_alone)
    serving = [kinds[r.kind] for r in rows if r.state == "serving" and r.weight > 0.0 and r.kind in kinds]
    for t in then.traffic:
        if not any(k.writes if t.front == "chat" else k.does(t.front) for k in serving):
            faults.append(f"no engine on the list could end a sequence of {t.name!r}")
    if faults:
        raise Unfit("; ".join(faults))
