"""An emulated engine on sockets: a gRPC server that passes its calls to the engine model and records them."""

from collections.abc import Callable, Iterable
from random import Random

from myrtlehub.clock import Clock
from myrtlehub.config.emulated_engine import EmulatedEngineConfig
from myrtlehub.emulator.claims import ClaimableJobs
from myrtlehub.emulator.engine_service import EngineService
from myrtlehub.emulator.event_handlers import EventHandlers
from myrtlehub.emulator.events import ModelEvent
from myrtlehub.emulator.fault_service import FaultService
from myrtlehub.emulator.job import Job
from myrtlehub.emulator.load_report import load_report
from myrtlehub.emulator.machine import Machine
from myrtlehub.emulator.model import EngineModel
from myrtlehub.emulator.state_transfer import FetchService
from myrtlehub.emulator.timer import ModelTimer
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.records import Recorder
from myrtlehub.rpc.channel import Channel, Dialer
from myrtlehub.rpc.client_call import CallWatcher, ClientCall
from myrtlehub.rpc.method_handlers import server_stream, unary
from myrtlehub.rpc.server import Server

SERVICE_PREFIX = "/myrtlehub.v1.Engine/"
FAULT_METHOD = "/myrtlehub.v1.Stand/Misbehave"


def machine_of(config: EmulatedEngineConfig) -> Machine:
    """Return the machine that the settings of an emulated engine describe."""
    return Machine(**{name: getattr(config, name) for name in Machine.__dataclass_fields__})


class EmulatedEngine:
    """One emulated engine: it implements `EngineContext` for its services and `JobOwner` for its jobs."""

    def __init__(
        self,
        config: EmulatedEngineConfig,
        clock: Clock,
        dialer: Dialer,
        recorder: Recorder,
        on_crashed: Callable[[], None] = lambda: None,
    ) -> None:
        """Make an engine; the caller has to make its `server` listen.

        Args:
            config: the settings.
            clock: the clock of the process.
            dialer: connects to other engines, to fetch read states.
            recorder: records the events of the engine.
            on_crashed: called after the engine crashed by overload during slow start.
        """
        self.config = config
        self.clock = clock
        self.recorder = recorder
        self._dialer = dialer
        self._on_crashed = on_crashed
        now = clock.seconds()
        self.model: EngineModel[Job] = EngineModel(
            machine_of(config), config.seed, now if config.cold else None
        )
        self.random = Random(config.seed + 1)
        self.server = Server(clock)
        self.jobs: set[Job] = set()
        self.model_name = config.model
        self._channels: dict[str, Channel] = {}  # to other engines, by address
        self._claims = ClaimableJobs(self, config.stream_bound)
        self._timer = ModelTimer(clock, self._tick)
        self._event_handlers = EventHandlers(self)
        self._add_methods()
        self._record_start()

    def _add_methods(self) -> None:
        service = EngineService(self, self, self._claims, self._event_handlers)
        fetch_service = FetchService(self)
        fault_service = FaultService(self)
        self.server.add(SERVICE_PREFIX + "Read", unary(service.read))
        self.server.add(SERVICE_PREFIX + "Write", server_stream(service.write))
        self.server.add(SERVICE_PREFIX + "Release", unary(service.release))
        self.server.add(SERVICE_PREFIX + "Probe", unary(service.probe))
        self.server.add(SERVICE_PREFIX + "Claim", unary(self._claims.claim))
        self.server.add(SERVICE_PREFIX + "Fetch", server_stream(fetch_service.serve))
        self.server.add(SERVICE_PREFIX + "Batch", server_stream(service.batch))
        self.server.add(FAULT_METHOD, unary(fault_service.inject))

    def _record_start(self) -> None:
        machine = self.model.machine
        self.recorder.note(
            "up",
            address=self.config.listen,
            cold=self.config.cold,
            slots=machine.slots,
            cold_share=machine.cold_share,
            cold_time=machine.cold_time,
            fall_multiple=machine.fall_multiple,
            fall_time=machine.fall_time,
        )

    # -- EngineContext ----------------------------------------------------------------------------

    def handle_events(self, events: Iterable[ModelEvent[Job]]) -> None:
        """Handle the events that the model returned, and schedule its next wake-up."""
        self._event_handlers.handle(events)
        self._timer.set(self.model.next_at())

    def _tick(self) -> None:
        self.handle_events(self.model.tick(self.clock.seconds()))

    def fault_occurs(self, probability: float) -> bool:
        """Return whether a fault with this probability occurs now."""
        return probability > 0.0 and self.random.random() < probability

    def open_fetch(self, address: str, watcher: CallWatcher) -> ClientCall:
        """Start a call that fetches a read state from another engine."""
        if address not in self._channels:
            connect = self._dialer(address)
            self._channels[address] = Channel(self.clock, connect, address, random=self.random)
        return self._channels[address].call(SERVICE_PREFIX + "Fetch", watcher)

    def answer_load_report(self) -> pb.LoadReport | None:
        """Return the load report to include in an answer; None if answers include none."""
        return load_report(self.model) if self.config.reports == "answers" else None

    def crash(self) -> None:
        """Abort all connections and call the crash callback."""
        for connection in list(self.server.connections):
            connection.transport.abortConnection()
        self._on_crashed()

    # -- JobOwner ---------------------------------------------------------------------------------

    def may_outlive_node(self, job: Job) -> bool:
        """Return whether a job may continue after the connection of the node that sent it is lost."""
        return self._claims.may_outlive_node(job)

    def detach(self, job: Job) -> None:
        """Continue a job whose stream has no reader."""
        self._claims.detach(job)

    def job_ended(self, job: Job) -> None:
        """Handle the end of a job."""
        self.jobs.discard(job)
        self._claims.retain_ended_job(job)

    def cancel(self, job: Job) -> None:
        """Remove a job from the engine model."""
        self.handle_events(self.model.cancel(self.clock.seconds(), job))
