"""hub-engine: a stand-in engine (simulated)."""

import os
import sys
from pathlib import Path

import click

from myrtlehub.cli.common import dialer, listen, logger, sheet_of
from myrtlehub.config.sheets import StandSheet
from myrtlehub.node.process import on_term, settle_memory


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
def main(config: Path) -> None:
    """Run a stand-in engine by CONFIG, a YAML file (docs/operators/config.md).

    It serves gRPC myrtlehub.v1.Engine like a model server would, with made-up figures, and
    myrtlehub.v1.Stand, by which trials tell it to misbehave. Exit 2: CONFIG or an address is wrong. Exit
    3: it was pushed over while cold.
    """
    sheet = sheet_of(config, StandSheet)
    from twisted.internet import reactor

    from myrtlehub.emulator.server import StandIn
    from myrtlehub.node.clock import SteadyClock
    from myrtlehub.records import Recorder

    log, clock = logger(engine=sheet.name), SteadyClock(reactor)
    recorder = Recorder(sheet.listen, clock, sheet.records)

    def fallen() -> None:
        log("fell", why="pushed over while cold")
        recorder.close()
        sys.stdout.flush()
        os._exit(3)

    stand = StandIn(sheet, clock, dialer(reactor), recorder, fallen)
    listen(reactor, sheet.listen, stand.server)
    on_term(reactor.stop, reactor)
    reactor.callWhenRunning(lambda: log("ready", listen=sheet.listen, cold=sheet.cold))
    settle_memory()
    reactor.run(installSignalHandlers=False)
    recorder.close()
    log("ended")


if __name__ == "__main__":
    main()
