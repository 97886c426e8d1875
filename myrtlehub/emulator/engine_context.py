"""The interface of an emulated engine that its services and event handlers depend on."""

from collections.abc import Iterable
from random import Random
from typing import Protocol

from myrtlehub.clock import Clock
from myrtlehub.config.emulated_engine import EmulatedEngineConfig
from myrtlehub.emulator.events import ModelEvent
from myrtlehub.emulator.job import Job
from myrtlehub.emulator.model import EngineModel
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.records import Recorder
from myrtlehub.rpc.client_call import CallWatcher, ClientCall


class EngineContext(Protocol):
    """An emulated engine, as seen by its services and event handlers.

    Attributes:
        random: generator for random faults; the model has a separate one.
        jobs: the writes and batches that are being served.
        model_name: version of the embedding or rerank model.
    """

    config: EmulatedEngineConfig
    clock: Clock
    recorder: Recorder
    model: EngineModel[Job]
    random: Random
    jobs: set[Job]
    model_name: str

    def handle_events(self, events: Iterable[ModelEvent[Job]]) -> None:
        """Handle the events that the model returned, and schedule its next wake-up."""

    def fault_occurs(self, probability: float) -> bool:
        """Return whether a fault with this probability occurs now."""

    def open_fetch(self, address: str, watcher: CallWatcher) -> ClientCall:
        """Start a call that fetches a read state from another engine."""

    def answer_load_report(self) -> pb.LoadReport | None:
        """Return the load report to include in an answer; None if answers include none."""

    def crash(self) -> None:
        """Abort all connections and call the crash callback."""
