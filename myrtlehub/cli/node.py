"""hub-node: one node of the router."""

import os
import time
from pathlib import Path

import click

from myrtlehub.cli.common import dialer, listen, logger, sheet_of
from myrtlehub.config.sheets import NodeSheet
from myrtlehub.node.process import on_term, settle_memory


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
@click.option("--check", is_flag=True, help="Check CONFIG and end: 0 if it is sound, 2 if not.")
def main(config: Path, check: bool) -> None:
    """Run a node by CONFIG, a YAML file (docs/operators/config.md).

    Serves gRPC myrtlehub.v1.Chat on node.listen and NodeAdmin on node.admin. Logs JSON lines, one a final
    answer and one an engine's change of standing, on standard output. SIGTERM drains: nothing new is taken,
    what is held is answered within node.drain_within, exit 0. Exit 2: CONFIG or an address is wrong.
    """
    sheet = sheet_of(config, NodeSheet)
    if check:
        click.echo(f"{config}: sound; {len(sheet.list.engines)} engines, {len(sheet.traffic)} traffic types")
        return
    from twisted.internet import reactor
    from twisted.internet.threads import deferToThread

    from myrtlehub.membership.aside import ReadAside
    from myrtlehub.membership.notify import Notifier
    from myrtlehub.node.clock import SteadyClock
    from myrtlehub.node.node import Node
    from myrtlehub.node.revision import settings_digest

    log = logger(node=sheet.node.name)
    run = f"{time.time_ns() // 1000 % 2**40:x}-{os.getpid():x}"
    notify = Notifier(reactor).watch if sheet.list.files else lambda paths, changed: None
    node = Node(
        sheet,
        SteadyClock(reactor),
        dialer(reactor),
        run,
        log,
        base=config.parent,
        notify=notify,
        reader=ReadAside(reactor).start().read if sheet.list.files else None,
        beside=lambda work, then: deferToThread(work).addCallback(then),
    )
    port = listen(reactor, sheet.node.listen, node.server)
    if sheet.node.admin:
        listen(reactor, sheet.node.admin, node.admin)
    if node.replication is not None:
        listen(reactor, sheet.takeover.listen, node.replication.server)

    def drain() -> None:
        if not node.leaving:
            port.stopListening()
            node.drain().addCallback(lambda ignored: reactor.stop())

    on_term(drain, reactor)
    node.on_leave = drain
    reactor.callWhenRunning(
        lambda: log(
            "ready",
            listen=sheet.node.listen,
            engines=len(sheet.list.engines),
            program=node.program,
            settings=settings_digest(sheet),
            run=run,
        )
    )
    node.measure_lag()
    settle_memory()
    reactor.run(installSignalHandlers=False)
    log("ended", **{k: v for k, v in sorted(node.host.answer_counts.items())})


if __name__ == "__main__":
    main()
