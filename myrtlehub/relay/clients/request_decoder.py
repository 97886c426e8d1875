"""Decoder of clients' requests: validates them and maps names in the settings to dense indices."""

from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from myrtlehub.http1.headers import Headers
from myrtlehub.http1.server_request import ServerRequest
from myrtlehub.limits.event_loop_lag import LagMeter
from myrtlehub.node.endpoint_index import EndpointIndex, hash_key
from myrtlehub.relay.clients.request_headers import (
    forwarded_headers,
    interpreted_headers,
    parse_labels,
    parse_number,
)
from myrtlehub.relay.errors import RejectedRequestError
from myrtlehub.relay.settings.node_settings import NodeSettings
from myrtlehub.routing import contract

# The unreserved characters of RFC 3986, because a sequence id becomes a segment of a URL path.
SEQUENCE_ID_CHARACTERS = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
MAX_SEQUENCE_ID_BYTES = 128
ESTIMATED_BYTES_PER_TOKEN = 4  # bytes of body per prompt token, if the request has no prompt_len label
RESUMED_VALUE = b"again"  # X-Resent value of a resumed sequence; any other non-empty value marks a retry


class TrafficType(NamedTuple):
    """Properties of a traffic type that the action executor and the engine client use.

    Attributes:
        name: Name in the settings.
        is_at_most_once: Whether a request of this type must not be executed more than once.
        front: The API that serves it; the relay serves only chat.
    """

    name: str
    is_at_most_once: bool
    front: str = "chat"


class EngineRequest(NamedTuple):
    """The parts of a client's request that are forwarded to engines."""

    target: bytes
    headers: Headers
    body: bytes


class DecodedRequest(NamedTuple):
    """A valid request.

    Attributes:
        sequence_id: Sequence id that the client chose.
        engine_request: The parts that are forwarded to engines.
        arrival: The request as the router sees it.
    """

    sequence_id: str
    engine_request: EngineRequest
    arrival: contract.Arrival


class _PromptSize(NamedTuple):
    """Token counts of the prompt and of its shared prefix, and the maximum number of output tokens."""

    prompt: int
    shared: int
    max_output: int


class _ChatBody(msgspec.Struct):
    """The fields that every engine requires in a request body."""

    messages: list[msgspec.Raw]


class RequestDecoder:
    """Decodes requests according to the platform's settings.

    Attributes:
        traffic_types: Traffic types, by index.
        traffic_indices: Indices of the traffic types, by name.
        tenant_indices: Indices of the tenants, by name.
        kinds: Indices of the machine types, by name.
        zones: Indices of the zones, by name.
        engines: Engines of the endpoint list.
        lag_meter: Measures the event loop lag, which is subtracted from the time in X-Remaining-Ms.
    """

    def __init__(self, settings: NodeSettings, config: contract.RouterConfig) -> None:
        platform_settings = settings.platform_settings
        self.traffic_types = [
            TrafficType(row["Name"], traffic.retry_semantics == contract.RetrySemantics.AT_MOST_ONCE)
            for row, traffic in zip(platform_settings["Classes"], config.traffic, strict=True)
        ]
        self.traffic_indices = _indices_by_name(row.name for row in self.traffic_types)
        self.tenant_indices = _indices_by_name(row["Name"] for row in platform_settings.get("Orgs") or [])
        self.kinds: Mapping[str, int] = _indices_by_name(platform_settings.get("MachineTypes") or [""])
        self.zones: Mapping[str, int] = _indices_by_name(platform_settings.get("Zones") or [""])
        self.engines = EndpointIndex()
        self.lag_meter = LagMeter()

    def decode(self, request: ServerRequest, now: float) -> DecodedRequest:
        """Validate and decode a request.

        Args:
            request: The complete request.
            now: Clock time in seconds.

        Raises:
            RejectedRequestError: The request is malformed.
        """
        fields = interpreted_headers(request.headers)
        sequence_id = _parse_sequence_id(fields)
        traffic = self.traffic_indices.get(fields.get(b"x-lane", b"").decode("latin-1"))
        if traffic is None:
            raise RejectedRequestError(HTTPStatus.BAD_REQUEST, "X-Lane is not a configured traffic type")
        tenant = self._parse_tenant(fields)
        remaining_time = parse_number(fields.get(b"x-remaining-ms", b""), "X-Remaining-Ms") / 1e3
        labels = parse_labels(fields.get(b"x-labels", b""))
        size = _parse_prompt_size(labels, request.body)
        _check_body(request.body)
        resent = fields.get(b"x-resent", b"")
        expected_seconds = _parse_expected_seconds(fields)
        arrival = contract.Arrival(
            traffic=traffic,
            tenant=tenant,
            prompt_tokens=float(size.prompt),
            # X-Remaining-Ms counts from the arrival of the request's last byte. Since then, the request may
            # have been queued behind another one on its connection.
            time_left=self.lag_meter.time_left(now, remaining_time - (now - request.received_at)),
            session=hash_key(fields.get(b"x-entity", b"").decode("latin-1")),
            prefix=hash_key(labels.get(b"prefix", b"").decode("latin-1")),
            shared_tokens=float(size.shared),
            max_output_tokens=float(size.max_output),
            expected_seconds=expected_seconds,
            is_resumed=resent == RESUMED_VALUE,
            is_retry=bool(resent) and resent != RESUMED_VALUE,
        )
        engine_request = EngineRequest(request.target, forwarded_headers(request.headers), request.body)
        return DecodedRequest(sequence_id, engine_request, arrival)

    def _parse_tenant(self, fields: dict[bytes, bytes]) -> int | None:
        name = fields.get(b"x-org", b"").decode("latin-1")
        if not name:
            return None
        tenant = self.tenant_indices.get(name)
        if tenant is None and self.tenant_indices:
            raise RejectedRequestError(HTTPStatus.BAD_REQUEST, "X-Org is not a configured tenant")
        return tenant


def _indices_by_name(names: Iterable[str]) -> dict[str, int]:
    return {name: index for index, name in enumerate(names)}


def _parse_sequence_id(fields: dict[bytes, bytes]) -> str:
    text = fields.get(b"x-txn", b"")
    if not 0 < len(text) <= MAX_SEQUENCE_ID_BYTES or not SEQUENCE_ID_CHARACTERS.issuperset(text):
        raise RejectedRequestError(HTTPStatus.BAD_REQUEST, "X-Txn is missing or not a valid id")
    return text.decode()


def _parse_expected_seconds(fields: dict[bytes, bytes]) -> float:
    """Return the client's estimate of the duration in seconds; 0 without X-Estimate."""
    if b"x-estimate" not in fields:
        return 0.0
    return parse_number(fields[b"x-estimate"], "X-Estimate") / 1e3


def _parse_prompt_size(labels: dict[bytes, bytes], body: bytes) -> _PromptSize:
    estimate = b"%d" % (len(body) // ESTIMATED_BYTES_PER_TOKEN)
    prompt = parse_number(labels.get(b"prompt_len", estimate), "prompt_len")
    shared = parse_number(labels.get(b"prefix_len", b"0"), "prefix_len")
    max_output = parse_number(labels.get(b"max_out", b"0"), "max_out")
    if shared > prompt:
        raise RejectedRequestError(HTTPStatus.BAD_REQUEST, "prefix_len is greater than prompt_len")
    return _PromptSize(prompt, shared, max_output)


def _check_body(body: bytes) -> None:
    """Raise RejectedRequestError if the body is not a chat request or its JSON is nested too deeply."""
    try:
        msgspec.json.decode(body, type=_ChatBody)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RejectedRequestError(HTTPStatus.BAD_REQUEST, "the body is not a chat request") from error
