"""The read states that all readers hold."""

import time

from myrtlehub.lab.fault_soak.records import ReadStateRecord, RunRecords


class StateStore:
    """Read states by request. A release at any engine frees all states of its request."""

    def __init__(self, records: RunRecords) -> None:
        self._records = records
        self._held: dict[str, list[ReadStateRecord]] = {}
        self._read_requests: set[str] = set()

    def store(self, request_id: str, engine: str) -> ReadStateRecord:
        """Store the state of a read that has completed at an engine."""
        state = ReadStateRecord(request_id, engine, time.monotonic())
        self._held.setdefault(request_id, []).append(state)
        self._records.states.append(state)
        self._read_requests.add(request_id)
        return state

    def free(self, request_id: str) -> None:
        """Free all states of a request."""
        for state in self._held.pop(request_id, []):
            state.freed_at = time.monotonic()

    def free_engine(self, engine: str) -> None:
        """Free all states of each request that has a state at a stopped engine."""
        for request_id, held in list(self._held.items()):
            if any(state.engine == engine for state in held):
                self.free(request_id)

    def is_missing(self, request_id: str) -> bool:
        """Return whether a request's prompt was read, and no state of it is held any more."""
        return request_id in self._read_requests and request_id not in self._held
