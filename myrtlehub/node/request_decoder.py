"""The door: names and ids from outside become small indices, and what may not come in is told why."""

from typing import NamedTuple

from myrtlehub.config.sheets import NodeSheet
from myrtlehub.limits.lag import LagMeter
from myrtlehub.node.endpoint_index import EndpointIndex, hash_key
from myrtlehub.routing import contract

MARK_LIMIT = 200


class InvalidRequestError(Exception):
    """A request that is malformed: it was not taken, and nothing ran. The text says what to mend."""


class DecodedRequest(NamedTuple):
    """A request as it came, whatever the front."""

    traffic_type: str
    tenant: str = ""
    session: str = ""
    prefix: str = ""
    shared: int = 0
    prompt: int = 0
    most_output: int = 0
    time_left: float = 0.0  # seconds; 0: the traffic type's abandon time
    deadline_in: float = float("inf")  # seconds to the call's own deadline
    mark: str = ""
    repeated: bool = False
    expected: float = 0.0
    text: bytes = b""
    front: str = "chat"
    batch: bytes = b""  # of a part: a BatchRequest without its `work`


class RequestDecoder:
    """Names of a node's file against indices, and requests against what the file allows."""

    def __init__(self, sheet: NodeSheet) -> None:
        self.traffic = {t.name: i for i, t in enumerate(sheet.traffic)}
        self.rows = sheet.traffic
        self.tenants = {t.name: i for i, t in enumerate(sheet.tenants)}
        self.kinds = {k.name: i for i, k in enumerate(sheet.kinds)}
        self.zones = {z: i for i, z in enumerate(sheet.zones)}
        self.slack = sheet.rules.answer_slack
        self.engines = EndpointIndex()
        self.lag = LagMeter()  # beats come from whoever runs the node; without any it takes nothing off

    def arrival(self, a: DecodedRequest, now: float) -> contract.Arrival:
        """Raises InvalidRequestError, naming the field."""
        if a.traffic_type not in self.traffic:
            raise InvalidRequestError(
                f"traffic_type {a.traffic_type!r} is not one of {', '.join(sorted(self.traffic))}"
            )
        if a.tenant and self.tenants and a.tenant not in self.tenants:
            raise InvalidRequestError(f"tenant {a.tenant!r} is not known here")
        for name in ("prompt", "most_output"):
            if getattr(a, name) < 1:
                raise InvalidRequestError(
                    f"{name}{'_tokens' if name == 'prompt' else ''} has to be at least 1"
                )
        if a.shared > a.prompt:
            raise InvalidRequestError(f"shared_tokens {a.shared} is more than prompt_tokens {a.prompt}")
        traffic = self.traffic[a.traffic_type]
        row = self.rows[traffic]
        if row.front != a.front:
            raise InvalidRequestError(f"traffic_type {a.traffic_type!r} is for the front {row.front!r}")
        if row.repeats == "tokened" and not a.mark:
            raise InvalidRequestError(
                f"mark is required for traffic type {a.traffic_type!r}: repeats are known by it"
            )
        if len(a.mark.encode()) > MARK_LIMIT:
            raise InvalidRequestError(f"mark is longer than {MARK_LIMIT} bytes")
        left = min(a.time_left or row.abandon_time, row.abandon_time, a.deadline_in - self.slack)
        left = self.lag.left(now, left)
        return contract.Arrival(
            traffic,
            self.tenants.get(a.tenant, -1),
            float(a.prompt),
            left,
            hash_key(a.session),
            hash_key(a.prefix),
            float(a.shared),
            float(a.most_output),
            a.expected,
            False,
            a.repeated,
        )
