"""What the parts of an emulated engine need of the engine as a whole."""

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
    """The engine, as its services and event handlers see it.

    Attributes:
        random: decides whether a random fault occurs; the model has a generator of its own.
        jobs: the writes and batches that are being served.
        model_name: version of the model that computes batches.
    """

    config: EmulatedEngineConfig
    clock: Clock
    recorder: Recorder
    model: EngineModel[Job]
    random: Random
    jobs: set[Job]
    model_name: str

    def act(self, events: Iterable[ModelEvent[Job]]) -> None:
        """Handle the events of a call to the model, and schedule the model's next wake-up."""

    def occurs(self, probability: float) -> bool:
        """Return whether a fault with this probability occurs now."""

    def open_fetch(self, address: str, watcher: CallWatcher) -> ClientCall:
        """Begin a call that fetches a read state from another engine."""

    def load_with_answer(self) -> pb.LoadReport | None:
        """Return the load report that an answer carries; None if answers carry none."""

    def crash(self) -> None:
        """Abort all connections and report the crash."""
