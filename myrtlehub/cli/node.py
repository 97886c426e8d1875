"""hub-node: one node of the router."""

import os
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click
from twisted.internet.base import ReactorBase
from twisted.internet.interfaces import IListeningPort

from myrtlehub.cli.common import dialer, listen, load_or_exit, logger
from myrtlehub.config.node import NodeConfig
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.process import call_on_termination, freeze_startup_objects

if TYPE_CHECKING:
    from myrtlehub.node.node import Node


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
@click.option("--check", is_flag=True, help="Check CONFIG and end: 0 if it is sound, 2 if not.")
def main(config: Path, check: bool) -> None:
    """Run a node by CONFIG, a YAML file (docs/operators/config.md).

    Serves gRPC myrtlehub.v1.Chat on node.listen and NodeAdmin on node.admin. Logs JSON lines, one a final
    answer and one an engine's change of standing, on standard output. SIGTERM drains: nothing new is taken,
    what is held is answered within node.drain_within, exit 0. Exit 2: CONFIG or an address is wrong.
    """
    settings = load_or_exit(config, NodeConfig)
    if check:
        engines = len(settings.list.engines)
        click.echo(f"{config}: sound; {engines} engines, {len(settings.traffic)} traffic types")
        return
    from twisted.internet import reactor

    log = logger(node=settings.node.name)
    node = _make_node(settings, config.parent, reactor, log)
    chat_port = _listen(settings, node, reactor)
    _drain_on_term(node, chat_port, reactor)
    reactor.callWhenRunning(_log_ready, settings, node, log)
    node.measure_lag()
    freeze_startup_objects()
    reactor.run(installSignalHandlers=False)
    log(LogEvent.ENDED, **dict(sorted(node.executor.answer_counts.items())))


def _make_node(settings: NodeConfig, base: Path, reactor: ReactorBase, log: Log) -> "Node":
    from twisted.internet.threads import deferToThread

    from myrtlehub.membership.file_monitor import poll_only
    from myrtlehub.membership.file_notifier import FileNotifier
    from myrtlehub.membership.reader_process import ReaderProcess
    from myrtlehub.node.clock import SteadyClock
    from myrtlehub.node.endpoint_list_source import FileAccess
    from myrtlehub.node.node import Node, NodeEnvironment

    incarnation = f"{time.time_ns() // 1000 % 2**40:x}-{os.getpid():x}"
    notify = FileNotifier(reactor).watch if settings.list.files else poll_only
    files = FileAccess(
        base=base,
        notify=notify,
        reader=ReaderProcess(reactor).start().read if settings.list.files else None,
        run_in_background=lambda work, callback: deferToThread(work).addCallback(callback),
    )
    environment = NodeEnvironment(SteadyClock(reactor), dialer(reactor), incarnation, log, files=files)
    return Node(settings, environment)


def _listen(settings: NodeConfig, node: "Node", reactor: ReactorBase) -> IListeningPort:
    """Listen on all addresses; return the port that clients use."""
    chat_port = listen(reactor, settings.node.listen, node.server)
    if settings.node.admin:
        listen(reactor, settings.node.admin, node.admin)
    if node.replication is not None:
        listen(reactor, settings.takeover.listen, node.replication.server)
    return chat_port


def _drain_on_term(node: "Node", chat_port: IListeningPort, reactor: ReactorBase) -> None:
    def drain() -> None:
        if not node.is_draining:
            chat_port.stopListening()
            node.drain().addCallback(lambda ignored: reactor.stop())

    call_on_termination(drain, reactor)
    node.on_drain_requested = drain


def _log_ready(settings: NodeConfig, node: "Node", log: Log) -> None:
    from myrtlehub.node.revision import settings_digest

    log(
        LogEvent.READY,
        listen=settings.node.listen,
        engines=len(settings.list.engines),
        program=node.program,
        settings=settings_digest(settings),
        incarnation=node.incarnation,
    )


if __name__ == "__main__":
    main()
