"""The check at the end of a run that each node answers again, although no fault is active."""

from myrtlehub.lab.fault_soak.client_connection import ClientBehavior
from myrtlehub.lab.fault_soak.clients import ClientPopulation
from myrtlehub.lab.fault_soak.node_process import NodeProcess
from myrtlehub.lab.fault_soak.records import RequestRecord, ResponseEnd, RunRecords
from myrtlehub.lab.interfaces import Reactor

REQUESTS_PER_NODE = 3
ANSWER_TIMEOUT_S = 1.9


class RecoveryCheck:
    """Sends a few requests to each node, and records the nodes that answer none of them."""

    def __init__(
        self, reactor: Reactor, nodes: list[NodeProcess], clients: ClientPopulation, records: RunRecords
    ) -> None:
        self._reactor = reactor
        self._nodes = nodes
        self._clients = clients
        self._records = records

    def start(self) -> None:
        """Stop the other clients, and send the requests."""
        self._clients.is_stopped = True
        earlier = set(self._records.requests)
        for node in self._nodes:
            for _ in range(REQUESTS_PER_NODE):
                self._clients.connect(node.number, node.address, ClientBehavior.PATIENT)
        self._reactor.callLater(ANSWER_TIMEOUT_S, self._finish, earlier)

    def _finish(self, earlier: set[str]) -> None:
        requests = self._records.requests
        recovered = {
            request.node
            for request_id, request in requests.items()
            if request_id not in earlier and _was_answered(request)
        }
        for node in self._nodes:
            if node.number not in recovered:
                self._records.unrecovered.append(f"n{node.number}")


def _was_answered(request: RequestRecord) -> bool:
    return request.end != ResponseEnd.OPEN and request.status is not None
