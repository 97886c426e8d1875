"""Decodes clients' requests: names from outside become indices, and what is malformed is rejected."""

from typing import NamedTuple

import msgspec

from myrtlehub.http1.interfaces import Headers
from myrtlehub.http1.server_exchange import ServerRequest
from myrtlehub.limits.event_loop_lag import LagMeter
from myrtlehub.node.endpoint_index import EndpointIndex, hash_key
from myrtlehub.relay.clients.request_headers import forwarded_headers, parse_labels, parse_number, read_fields
from myrtlehub.relay.errors import RejectedRequestError
from myrtlehub.relay.settings.node_settings import NodeSettings
from myrtlehub.routing import contract

ID_CHARACTERS = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
MAX_ID_BYTES = 128  # it becomes a part of a path
BYTES_PER_TOKEN = 4  # of a body, where the client does not say how long its prompt is
RESUMED = b"again"  # value of X-Resent of a resumed sequence; any other is a retry


class TrafficRow(NamedTuple):
    """A traffic type, as the action executor and the engine transport need it."""

    name: str
    at_most_once: bool
    front: str = "chat"


class EngineRequest(NamedTuple):
    """What goes on to engines of a request."""

    target: bytes
    headers: Headers
    body: bytes


class DecodedRequest(NamedTuple):
    """A request as its id, what goes on of it, and what the router is told."""

    sequence_id: str
    engine_request: EngineRequest
    arrival: contract.Arrival


class _PromptSize(NamedTuple):
    prompt: int
    shared: int
    max_output: int


class _ChatBody(msgspec.Struct):
    """As much of a body as every engine needs."""

    messages: list[msgspec.Raw]


class RequestDecoder:
    """Names of the platform's settings against indices, and requests against what they allow."""

    def __init__(self, settings: NodeSettings, config: contract.RouterConfig) -> None:
        platform = settings.platform
        self.rows = [
            TrafficRow(row["Name"], traffic.retry_semantics == contract.RetrySemantics.AT_MOST_ONCE)
            for row, traffic in zip(platform["Classes"], config.traffic, strict=True)
        ]
        self.traffic = {row.name: index for index, row in enumerate(self.rows)}
        self.tenants = {row["Name"]: index for index, row in enumerate(platform.get("Orgs") or [])}
        self.kinds = {name: index for index, name in enumerate(platform.get("MachineTypes") or [""])}
        self.zones = {name: index for index, name in enumerate(platform.get("Zones") or [""])}
        self.engines = EndpointIndex()
        self.lag = LagMeter()

    def decode(self, request: ServerRequest, now: float) -> DecodedRequest:
        """Decode a request; RejectedRequestError if it is malformed."""
        fields = read_fields(request.headers)
        sequence_id = _parse_id(fields)
        traffic = self.traffic.get(fields.get(b"x-lane", b"").decode("latin-1"))
        if traffic is None:
            raise RejectedRequestError(400, "X-Lane is none of ours")
        tenant = self._tenant(fields)
        stated_time = parse_number(fields.get(b"x-remaining-ms", b""), "X-Remaining-Ms") / 1e3
        labels = parse_labels(fields.get(b"x-labels", b""))
        size = _prompt_size(labels, request.body)
        _check_body(request.body)
        resent = fields.get(b"x-resent", b"")
        expected = 0.0
        if b"x-estimate" in fields:
            expected = parse_number(fields[b"x-estimate"], "X-Estimate") / 1e3
        arrival = contract.Arrival(
            traffic=traffic,
            tenant=tenant,
            prompt_tokens=float(size.prompt),
            # It may have waited here behind another request of its connection.
            time_left=self.lag.time_left(now, stated_time - (now - request.received_at)),
            session=hash_key(fields.get(b"x-entity", b"").decode("latin-1")),
            prefix=hash_key(labels.get(b"prefix", b"").decode("latin-1")),
            shared_tokens=float(size.shared),
            max_output_tokens=float(size.max_output),
            expected_seconds=expected,
            is_resumed=resent == RESUMED,
            is_retry=bool(resent) and resent != RESUMED,
        )
        passed = EngineRequest(request.target, forwarded_headers(request.headers), request.body)
        return DecodedRequest(sequence_id, passed, arrival)

    def _tenant(self, fields: dict[bytes, bytes]) -> int:
        name = fields.get(b"x-org", b"").decode("latin-1")
        if not name:
            return -1
        tenant = self.tenants.get(name, -1)
        if tenant < 0 and self.tenants:
            raise RejectedRequestError(400, "X-Org is none of ours")
        return tenant


def _parse_id(fields: dict[bytes, bytes]) -> str:
    text = fields.get(b"x-txn", b"")
    if not 0 < len(text) <= MAX_ID_BYTES or not ID_CHARACTERS.issuperset(text):
        raise RejectedRequestError(400, "X-Txn is missing or no id")
    return text.decode()


def _prompt_size(labels: dict[bytes, bytes], body: bytes) -> _PromptSize:
    guess = b"%d" % (len(body) // BYTES_PER_TOKEN)
    prompt = parse_number(labels.get(b"prompt_len", guess), "prompt_len")
    shared = parse_number(labels.get(b"prefix_len", b"0"), "prefix_len")
    max_output = parse_number(labels.get(b"max_out", b"0"), "max_out")
    if shared > prompt:
        raise RejectedRequestError(400, "prefix_len is more than prompt_len")
    return _PromptSize(prompt, shared, max_output)


def _check_body(body: bytes) -> None:
    try:
        msgspec.json.decode(body, type=_ChatBody)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RejectedRequestError(400, "the body is no chat request") from error
