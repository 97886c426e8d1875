"""The request decoder: validates requests, and maps the names in them to dense indices."""

from collections.abc import Mapping
from typing import NamedTuple

from myrtlehub.config.node import NodeConfig
from myrtlehub.config.traffic import TrafficTypeConfig
from myrtlehub.limits.event_loop_lag import LagMeter
from myrtlehub.node.endpoint_index import EndpointIndex, hash_key
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.routing import contract

MAX_IDEMPOTENCY_KEY_BYTES = 200  # limited because engines store the keys for the dedup window


class InvalidRequestError(Exception):
    """A request is invalid and was not accepted, so nothing ran; the message says what to correct."""


class DecodedRequest(NamedTuple):
    """A request that any front received."""

    traffic_type: str
    tenant: str = ""
    session: str = ""
    prefix: str = ""
    shared_tokens: int = 0  # prompt tokens that belong to the shared prefix
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    time_left: float = 0.0  # seconds until the client abandons it; 0: the traffic type's abandon time
    deadline_in: float = float("inf")  # seconds until the deadline of the call
    idempotency_key: str = ""
    is_retry: bool = False
    expected_seconds: float = 0.0  # estimated duration of the answer; 0: no estimate
    prompt: bytes = b""
    front: str = "chat"
    # Set for a part of a batch: a serialised BatchRequest without its field `work`.
    batch_request: bytes = b""


def decoded_request_of(sequence: InFlightSequence) -> DecodedRequest:
    """Return the request of a sequence that a front of this node accepted.

    Raises:
        TypeError: The request of the sequence has another type.
    """
    if not isinstance(sequence.request, DecodedRequest):
        raise TypeError(f"{sequence.sequence_id}: {type(sequence.request).__name__} is not a DecodedRequest")
    return sequence.request


class RequestDecoder:
    """Validates requests against a node's settings, and maps names in the settings to indices."""

    def __init__(self, settings: NodeConfig) -> None:
        self.traffic_types = settings.traffic
        self.traffic_type_indices = {
            traffic_type.name: index for index, traffic_type in enumerate(settings.traffic)
        }
        self.tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self.kinds: Mapping[str, int] = {kind.name: index for index, kind in enumerate(settings.kinds)}
        self.zones: Mapping[str, int] = {zone: index for index, zone in enumerate(settings.zones)}
        self.answer_slack = settings.rules.answer_slack
        self.engines = EndpointIndex()
        self.lag = LagMeter()  # shortens deadlines by the event loop lag, if the node measures it

    def arrival(self, request: DecodedRequest, now: float) -> contract.Arrival:
        """Return the arrival that is reported to the router for a request.

        Raises:
            InvalidRequestError: The request is invalid; the message names the field.
        """
        self._check_names(request)
        _check_token_counts(request)
        traffic_index = self.traffic_type_indices[request.traffic_type]
        traffic_type = self.traffic_types[traffic_index]
        _check_traffic_type(request, traffic_type)
        abandon_time = traffic_type.abandon_time
        time_left = min(
            request.time_left or abandon_time, abandon_time, request.deadline_in - self.answer_slack
        )
        return contract.Arrival(
            traffic=traffic_index,
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
        if request.traffic_type not in self.traffic_type_indices:
            known = ", ".join(sorted(self.traffic_type_indices))
            raise InvalidRequestError(f"traffic_type {request.traffic_type!r} is not one of {known}")
        if request.tenant and self.tenants and request.tenant not in self.tenants:
            raise InvalidRequestError(f"tenant {request.tenant!r} is not known here")


def _check_token_counts(request: DecodedRequest) -> None:
    if request.prompt_tokens < 1:
        raise InvalidRequestError("prompt_tokens has to be at least 1")
    if request.max_output_tokens < 1:
        raise InvalidRequestError("most_output has to be at least 1")
    if request.shared_tokens > request.prompt_tokens:
        raise InvalidRequestError(
            f"shared_tokens {request.shared_tokens} is more than prompt_tokens {request.prompt_tokens}"
        )


def _check_traffic_type(request: DecodedRequest, traffic_type: TrafficTypeConfig) -> None:
    name = request.traffic_type
    if traffic_type.front != request.front:
        raise InvalidRequestError(f"traffic_type {name!r} is for the front {traffic_type.front!r}")
    retry_semantics = contract.RetrySemantics(traffic_type.repeats)
    if retry_semantics is contract.RetrySemantics.IDEMPOTENCY_KEY and not request.idempotency_key:
        raise InvalidRequestError(f"mark is required for traffic type {name!r}: repeats are known by it")
    if len(request.idempotency_key.encode()) > MAX_IDEMPOTENCY_KEY_BYTES:
        raise InvalidRequestError(f"mark is longer than {MAX_IDEMPOTENCY_KEY_BYTES} bytes")
