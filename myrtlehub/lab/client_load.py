"""The simulated clients of a scenario."""

from collections import Counter
from collections.abc import Mapping

from twisted.internet.defer import Deferred

from myrtlehub.lab.scenario_context import ScenarioContext
from myrtlehub.lab.simulated_clients.batch_clients import BatchClients
from myrtlehub.lab.simulated_clients.chat_clients import ChatClients
from myrtlehub.records import Recorder
from myrtlehub.rpc.channel import Connect

OPEN_CALL_GRACE = 5.0  # seconds after their deadline for which open calls are awaited


class ClientLoad:
    """The clients of all fronts, and their records."""

    def __init__(self, context: ScenarioContext, dial_by_node: Mapping[str, Connect], rate: float) -> None:
        """Create the clients; chat clients send `rate` sequences per second."""
        self._context = context
        self._recorder = Recorder("client", context.clock, context.folder / "client.rec")
        self.chat = ChatClients(
            context.scenario, context.clock, dial_by_node, self._recorder, context.random, rate
        )
        self.batches = BatchClients(
            context.scenario,
            context.clock,
            dial_by_node,
            self._recorder,
            context.random,
            context.scenario.batch_rate,
            self.chat.behind,
        )

    def start(self) -> None:
        """Start sending requests."""
        self.chat.start()
        self.batches.start()

    async def until_all_ended(self) -> None:
        """Wait until the last open call has ended, or is long past its deadline."""
        await self._until_quiet(self.chat)
        await self._until_quiet(self.batches)

    async def _until_quiet(self, clients: ChatClients | BatchClients) -> None:
        quiet: Deferred[None] = Deferred()

        def fire() -> None:
            if not quiet.called:
                quiet.callback(None)

        clients.on_quiet = fire
        if not clients.open:
            fire()
        await self._context.wait_for(quiet, self._context.scenario.clients.whole + OPEN_CALL_GRACE)

    def close(self) -> None:
        """Close all channels and the records."""
        self.chat.close()
        self.batches.close()
        self._recorder.close()

    def report_progress(self) -> None:
        """Report how many requests were sent, are open and have ended with each answer."""
        answers: Counter[str] = Counter()
        for tally in self.chat.tallies.values():
            answers.update(tally.answers)
        counts = ", ".join(f"{count} {answer}" for answer, count in sorted(answers.items()))
        self._context.report(f"{self.chat.requested} requests, {self.chat.open} open, {counts}")
