"""The load report of an emulated engine, as a message."""

from myrtlehub.emulator.job import Job
from myrtlehub.emulator.model import EngineModel
from myrtlehub.proto import engine_pb2 as pb


def load_report(model: EngineModel[Job]) -> pb.LoadReport:
    """Return the present load of an engine model."""
    load = model.load()
    return pb.LoadReport(memory_share=load.memory_share, unread=load.unread)
