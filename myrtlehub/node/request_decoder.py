"""The request decoder: maps names and ids of requests to dense indices, and checks requests."""

from collections.abc import Mapping
from typing import NamedTuple

from myrtlehub.config.node import NodeConfig
from myrtlehub.config.traffic import TrafficTypeConfig
from myrtlehub.limits.event_loop_lag import LagMeter
from myrtlehub.node.endpoint_index import EndpointIndex, hash_key
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.routing import contract

MAX_MARK_BYTES = 200  # of an idempotency key; engines store it for the dedup window


class InvalidRequestError(Exception):
    """A request is malformed and was not accepted, so nothing ran; the message says what to correct."""


class DecodedRequest(NamedTuple):
    """A request of any front."""

    traffic_type: str
    tenant: str = ""
    session: str = ""
    prefix: str = ""
    shared_tokens: int = 0  # prompt tokens of the shared prefix
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    time_left: float = 0.0  # seconds; 0: the traffic type's abandon time
    deadline_in: float = float("inf")  # seconds to the call's own deadline
    mark: str = ""  # idempotency key
    is_retry: bool = False
    expected_seconds: float = 0.0  # estimated duration of the answer; 0: unknown
    text: bytes = b""
    front: str = "chat"
    batch: bytes = b""  # of a batch part: a serialised BatchRequest without its `work`


def decoded_request_of(sequence: InFlightSequence) -> DecodedRequest:
    """Return the request of a sequence that a front of this node accepted.

    Raises:
        TypeError: the sequence was accepted with another type of request.
    """
    if not isinstance(sequence.request, DecodedRequest):
        raise TypeError(f"{sequence.sequence_id}: {type(sequence.request).__name__} is not a DecodedRequest")
    return sequence.request


class RequestDecoder:
    """Maps names of a node's settings to indices, and checks requests against the settings."""

    def __init__(self, sheet: NodeConfig) -> None:
        self.rows = sheet.traffic
        self.traffic = {row.name: index for index, row in enumerate(sheet.traffic)}
        self.tenants = {tenant.name: index for index, tenant in enumerate(sheet.tenants)}
        self.kinds: Mapping[str, int] = {kind.name: index for index, kind in enumerate(sheet.kinds)}
        self.zones: Mapping[str, int] = {zone: index for index, zone in enumerate(sheet.zones)}
        self.slack = sheet.rules.answer_slack
        self.engines = EndpointIndex()
        self.lag = LagMeter()  # shortens deadlines by the event loop lag, once it is measured

    def arrival(self, request: DecodedRequest, now: float) -> contract.Arrival:
        """Return a request as the arrival that is reported to the router.

        Raises:
            InvalidRequestError: the request is malformed; the text names the field.
        """
        self._check_names(request)
        _check_tokens(request)
        traffic = self.traffic[request.traffic_type]
        row = self.rows[traffic]
        _check_traffic_type(request, row)
        time_left = min(
            request.time_left or row.abandon_time, row.abandon_time, request.deadline_in - self.slack
        )
        return contract.Arrival(
            traffic=traffic,
            tenant=self.tenants.get(request.tenant),
            prompt_tokens=float(request.prompt_tokens),
            time_left=self.lag.time_left(now, time_left),
            session=hash_key(request.session),
            prefix=hash_key(request.prefix),
            shared_tokens=float(request.shared_tokens),
            max_output_tokens=float(request.max_output_tokens),
            expected_seconds=request.expected_seconds,
            is_retry=request.is_retry,
        )

    def _check_names(self, request: DecodedRequest) -> None:
        if request.traffic_type not in self.traffic:
            known = ", ".join(sorted(self.traffic))
            raise InvalidRequestError(f"traffic_type {request.traffic_type!r} is not one of {known}")
        if request.tenant and self.tenants and request.tenant not in self.tenants:
            raise InvalidRequestError(f"tenant {request.tenant!r} is not known here")


def _check_tokens(request: DecodedRequest) -> None:
    if request.prompt_tokens < 1:
        raise InvalidRequestError("prompt_tokens has to be at least 1")
    if request.max_output_tokens < 1:
        raise InvalidRequestError("most_output has to be at least 1")
    if request.shared_tokens > request.prompt_tokens:
        raise InvalidRequestError(
            f"shared_tokens {request.shared_tokens} is more than prompt_tokens {request.prompt_tokens}"
        )


def _check_traffic_type(request: DecodedRequest, row: TrafficTypeConfig) -> None:
    name = request.traffic_type
    if row.front != request.front:
        raise InvalidRequestError(f"traffic_type {name!r} is for the front {row.front!r}")
    if contract.RetrySemantics(row.repeats) is contract.RetrySemantics.IDEMPOTENCY_KEY and not request.mark:
        raise InvalidRequestError(f"mark is required for traffic type {name!r}: repeats are known by it")
    if len(request.mark.encode()) > MAX_MARK_BYTES:
        raise InvalidRequestError(f"mark is longer than {MAX_MARK_BYTES} bytes")
