"""hub-emulator: runs an emulated engine, with simulated capacities and rates."""

import os
import sys
from pathlib import Path

import click

from myrtlehub.cli.event_loop import get_event_loop
from myrtlehub.cli.exits import load_or_exit
from myrtlehub.cli.json_log import make_log
from myrtlehub.cli.network import dialer, listen
from myrtlehub.config.emulated_engine import EmulatedEngineConfig
from myrtlehub.log_events import LogEvent
from myrtlehub.node.process import call_on_termination, freeze_startup_objects

OVERLOAD_EXIT_CODE = 3  # the engine was overloaded while warming up


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
def main(config: Path) -> None:
    """Run an emulated engine with the settings in CONFIG, a YAML file (docs/operators/config.md).

    It serves gRPC myrtlehub.v1.Engine like a model server, with simulated capacities and rates,
    and myrtlehub.v1.Stand, by which tests inject faults. Exit status 2: CONFIG or an address is
    invalid; 3: the engine was overloaded while warming up.
    """
    settings = load_or_exit(config, EmulatedEngineConfig)
    from myrtlehub.emulator.server import EmulatedEngine
    from myrtlehub.node.clock import MonotonicClock
    from myrtlehub.records import Recorder

    event_loop = get_event_loop()
    log = make_log(engine=settings.name)
    clock = MonotonicClock(event_loop)
    recorder = Recorder(settings.listen, clock, settings.records)

    def on_overload() -> None:
        log(LogEvent.ENGINE_OVERLOADED, reason="load above the capacity during slow start")
        recorder.close()
        sys.stdout.flush()
        os._exit(OVERLOAD_EXIT_CODE)

    engine = EmulatedEngine(settings, clock, dialer(event_loop), recorder, on_overload)
    listen(event_loop, settings.listen, engine.server)
    call_on_termination(event_loop.stop, event_loop)
    event_loop.callWhenRunning(lambda: log(LogEvent.READY, listen=settings.listen, cold=settings.cold))
    freeze_startup_objects()
    event_loop.run(installSignalHandlers=False)
    recorder.close()
    log(LogEvent.ENDED)


if __name__ == "__main__":
    main()
