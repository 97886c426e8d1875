"""hub-node: runs one node."""

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import click

from myrtlehub.cli.event_loop import EventLoop, ListeningPort, get_event_loop
from myrtlehub.cli.exits import load_or_exit
from myrtlehub.cli.json_log import make_log
from myrtlehub.cli.network import dialer, listen
from myrtlehub.config.node import NodeConfig
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.process import call_on_termination, freeze_startup_objects

if TYPE_CHECKING:
    from myrtlehub.node.endpoint_list_source import FileAccess
    from myrtlehub.node.node import Node

ResultT = TypeVar("ResultT")


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
@click.option("--check", is_flag=True, help="Validate CONFIG and exit: 0 if it is valid, 2 if not.")
def main(config: Path, check: bool) -> None:
    """Run a node with the settings in CONFIG, a YAML file (docs/operators/config.md).

    It serves gRPC myrtlehub.v1.Chat on node.listen and NodeAdmin on node.admin, and logs JSON lines on
    standard output, one per final answer and one per state change of an engine. SIGTERM starts a graceful
    shutdown: new sequences are rejected, and in-flight ones are answered within node.drain_within. Exit
    status 0: it was shut down. 2: CONFIG or an address is invalid.
    """
    settings = load_or_exit(config, NodeConfig)
    if check:
        engines = len(settings.list.engines)
        click.echo(f"{config}: sound; {engines} engines, {len(settings.traffic)} traffic types")
        return
    event_loop = get_event_loop()
    log = make_log(node=settings.node.name)
    node = _make_node(settings, config.parent, event_loop, log)
    chat_port = _listen(settings, node, event_loop)
    _drain_on_request(node, chat_port, event_loop)
    event_loop.callWhenRunning(_log_ready, settings, node, log)
    node.measure_lag()
    freeze_startup_objects()
    event_loop.run(installSignalHandlers=False)
    log(LogEvent.ENDED, **dict(sorted(node.executor.answer_counts.items())))


def _make_node(settings: NodeConfig, folder: Path, event_loop: EventLoop, log: Log) -> "Node":
    from myrtlehub.node.clock import MonotonicClock
    from myrtlehub.node.node import Node, NodeEnvironment

    incarnation = f"{time.time_ns() // 1000 % 2**40:x}-{os.getpid():x}"
    files = _file_access(settings, folder)
    environment = NodeEnvironment(
        MonotonicClock(event_loop), dialer(event_loop), incarnation, log, files=files
    )
    return Node(settings, environment)


def _file_access(settings: NodeConfig, folder: Path) -> "FileAccess":
    """Return the file access for the endpoint list; without files, no process or thread is started."""
    from twisted.internet import reactor

    from myrtlehub.membership.file_monitor import poll_only
    from myrtlehub.membership.file_notifier import FileNotifier
    from myrtlehub.membership.reader_process import ReaderProcess
    from myrtlehub.node.endpoint_list_source import FileAccess

    has_files = bool(settings.list.files)
    return FileAccess(
        base=folder,
        notify=FileNotifier(reactor).watch if has_files else poll_only,
        reader=ReaderProcess(reactor).start().read if has_files else None,
        run_in_background=_run_in_thread,
    )


def _run_in_thread(work: Callable[[], ResultT], callback: Callable[[ResultT], None], /) -> None:
    """Run `work` in a thread, and pass its result to `callback` in the event loop."""
    from twisted.internet.threads import deferToThread

    deferToThread(work).addCallback(callback)


def _listen(settings: NodeConfig, node: "Node", event_loop: EventLoop) -> ListeningPort:
    """Listen on all addresses; return the port for clients."""
    chat_port = listen(event_loop, settings.node.listen, node.server)
    if settings.node.admin:
        listen(event_loop, settings.node.admin, node.admin)
    if settings.takeover is not None and node.replication is not None:
        listen(event_loop, settings.takeover.listen, node.replication.server)
    return chat_port


def _drain_on_request(node: "Node", chat_port: ListeningPort, event_loop: EventLoop) -> None:
    """Start a graceful shutdown on SIGTERM, SIGINT or a request of the admin service."""

    def drain() -> None:
        if not node.is_draining:
            chat_port.stopListening()
            node.drain().addCallback(lambda ignored: event_loop.stop())

    call_on_termination(drain, event_loop)
    node.on_drain_requested = drain


def _log_ready(settings: NodeConfig, node: "Node", log: Log) -> None:
    from myrtlehub.node.revision import settings_digest

    log(
        LogEvent.READY,
        listen=settings.node.listen,
        engines=len(settings.list.engines),
        program=node.program_digest,
        settings=settings_digest(settings),
        incarnation=node.incarnation,
    )


if __name__ == "__main__":
    main()
