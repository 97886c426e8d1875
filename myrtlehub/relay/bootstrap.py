"""What the platform tells a node: its configuration, the list of engines, requests; as plain rows of ours."""

from pathlib import Path
from typing import NamedTuple, Self

import msgspec

from myrtlehub.http1.server import Request
from myrtlehub.limits.lag import LagMeter
from myrtlehub.node.endpoint_index import EndpointIndex, hash_key
from myrtlehub.platform_settings import load_report_from_platform, router_config_from_settings
from myrtlehub.routing import contract

STATES = {"active": "serving", "leaving": "draining", "left": "gone"}
SAFE = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
ID_MOST = 128  # bytes of an id: it becomes a part of a path
SOCKETS_LEAST = 96  # descriptors with which a node still has some for clients and some for engines
HELD_MOST = 20000  # sequences that a node holds, unless the settings say fewer
DIGITS_MOST = 12  # of a whole number from outside: beyond any time or length


class Malformed(ValueError):
    """A configuration or a list that can't be used. The text names the key."""


class Refused(Exception):
    """A request that is malformed; `status` is its answer. Nothing ran."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class EngineLine(NamedTuple):
    """One engine of the list. `address` is who it is, `dial` where it is reached."""

    address: str
    kind: str
    zone: str
    cell: int
    weight: float
    state: str
    age: float
    dial: str
    model: str = ""

    @property
    def figures(self) -> tuple:
        """As other rows of engines have it."""
        return (*self[:7], self.model)

    def having(self, **figures: object) -> Self:
        """The same with some figures replaced."""
        return self._replace(**figures)


class ListUpdate(NamedTuple):
    """What discovery tells."""

    version: int
    whole: bool
    lines: list[EngineLine]


class TrafficLine(NamedTuple):
    """A traffic type, as the host wants it."""

    name: str
    once: bool  # may not run twice
    front: str = "chat"


class Bootstrap(NamedTuple):
    """The configuration."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    sockets: int
    settings: dict
    known: dict | None


class Asked(NamedTuple):
    """What goes on to engines of a request."""

    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


def _address(text: object, key: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise Malformed(f"{key}: {text!r} is no address; write it as HOST:PORT")
    return host, int(port)


def read_json(data: bytes) -> object:
    """What was written; Malformed where it can't be read, however deep it is nested."""
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as fault:
        raise Malformed(f"is not JSON: {fault}") from fault


def read_bootstrap(path: str) -> Bootstrap:
    """The file, checked as far as a node needs it; Malformed names the key and says what to do."""
    try:
        told = read_json(Path(path).read_bytes())
    except OSError as fault:
        raise Malformed(f"RELAY_CONFIG: {fault.strerror}; name a file that can be read") from fault
    except Malformed as fault:
        raise Malformed(f"RELAY_CONFIG: {fault}; write it whole, as one JSON object") from fault
    if not isinstance(told, dict):
        raise Malformed("RELAY_CONFIG: is no JSON object; write it as one")
    for key in ("listen", "discovery", "settings"):
        if key not in told:
            raise Malformed(f"{key}: is missing; add it")
    limits = told.get("limits") or {}
    for key, value in (("settings", told["settings"]), ("limits", limits)):
        if not isinstance(value, dict):
            raise Malformed(f"{key}: is no object; write it as the platform does")
    _address(told["discovery"], "discovery")
    try:
        seed = int(str(told.get("seed", "0")), 16)
    except ValueError as fault:
        raise Malformed(f"seed: {told['seed']!r} is no number; write it in hexadecimal") from fault
    sockets = limits.get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < SOCKETS_LEAST:
        raise Malformed(f"limits.sockets: {sockets!r} is no number, or too few; allow {SOCKETS_LEAST}")
    known = told.get("known")
    return Bootstrap(
        str(told.get("name", "")),
        _address(told["listen"], "listen"),
        told["discovery"],
        seed,
        sockets,
        told["settings"],
        known if isinstance(known, dict) else None,
    )


def router_config_of(told: Bootstrap) -> contract.RouterConfig:
    """The module's terms; Malformed where the settings lack a key that it needs."""
    for key in ("Caps", "Invariants", "Specifics"):
        if not isinstance(told.settings.get(key, {}), dict):
            raise Malformed(f"settings.{key}: is no object; write it as the platform does")
    for key in ("Classes", "Orgs"):
        rows = told.settings.get(key) or []
        if not (
            isinstance(rows, list)
            and all(isinstance(r, dict) and isinstance(r.get("Name"), str) for r in rows)
        ):
            raise Malformed(f"settings.{key}: is no list of objects with a Name; write it as one")
    try:
        return router_config_from_settings(told.settings, told.seed)
    except KeyError as fault:
        raise Malformed(f"settings: {fault.args[0]} is missing or unknown; add it or mend it") from fault
    except (TypeError, AttributeError, ValueError, IndexError) as fault:
        raise Malformed(f"settings: {fault}; write them as the platform does") from fault


class Caps(NamedTuple):
    """What the platform allows of connections and sequences."""

    connect: float  # seconds for a connection to an engine to stand
    keep: float  # seconds after which engines close unused connections
    most_held: int


def caps_of(told: Bootstrap) -> Caps:
    """Read them; Malformed names the one that is no number above 0."""
    caps = told.settings.get("Caps", {})
    figures = {"ConnectTimeoutMs": 250.0, "KeepaliveMs": 30000.0, "MostHeld": HELD_MOST}
    for key in figures:
        value = figures[key] = caps.get(key, figures[key])
        if not isinstance(value, (int, float)) or value <= 0:
            raise Malformed(f"settings.Caps.{key}: {value!r} is no number above 0; write one")
    return Caps(figures["ConnectTimeoutMs"] / 1e3, figures["KeepaliveMs"] / 1e3, int(figures["MostHeld"]))


def load_of(text: bytes) -> contract.LoadReport | None:
    """A load report; one that can't be read is none."""
    try:
        report = msgspec.json.decode(text, type=dict[str, float])
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    return load_report_from_platform(report)


class Desk:
    """The host's door: names from outside as indices, requests as arrivals, the list as rows."""

    def __init__(self, told: Bootstrap, terms: contract.RouterConfig, epoch: float) -> None:
        s = told.settings
        self.rows = [
            TrafficLine(c["Name"], t.retry_semantics == contract.RetrySemantics.AT_MOST_ONCE)
            for c, t in zip(s["Classes"], terms.traffic, strict=True)
        ]
        self.traffic = {row.name: i for i, row in enumerate(self.rows)}
        self.tenants = {t["Name"]: i for i, t in enumerate(s.get("Orgs") or [])}
        self.kinds = {k: i for i, k in enumerate(s.get("MachineTypes") or [""])}
        self.zones = {z: i for i, z in enumerate(s.get("Zones") or [""])}
        self.engines = EndpointIndex()
        self.lines: dict[str, EngineLine] = {}  # by name, as each was last told; who has left is not kept
        self.lag = LagMeter()
        # Unix time when our clock showed 0: taken once, so that an engine's start is always the same moment.
        self.epoch = epoch

    def update(self, told: object, now: float) -> ListUpdate:
        """What discovery wrote; entries that can't be read are left out alone, Malformed where nothing can.

        A notice that an engine leaves or has left is never left out, whatever else of the entry can't be
        read: what was told of it before stands for the rest.
        """
        if not isinstance(told, dict) or not isinstance(told.get("hosts"), list):
            raise Malformed("hosts: is missing")
        lines = [
            line
            for line in (self._line(e, now) or self._notice(e) for e in told["hosts"])
            if line is not None
        ]
        if told.get("whole"):
            self.lines = {}
        for line in lines:
            if line.state == "gone":
                self.lines.pop(line.address, None)
            else:
                self.lines[line.address] = line
        version = told.get("seq")
        return ListUpdate(version if isinstance(version, int) else 0, bool(told.get("whole")), lines)

    def _notice(self, e: object) -> EngineLine | None:
        """An entry that can't be read, as far as it is a notice of leaving of an engine that we know."""
        if not isinstance(e, dict) or not isinstance(e.get("host"), str):
            return None
        state, line = STATES.get(str(e.get("health"))), self.lines.get(e["host"])
        return line._replace(state=state) if line is not None and state in ("draining", "gone") else None

    def _line(self, e: object, now: float) -> EngineLine | None:
        try:
            state, born = STATES[e["health"]], e.get("born_ms") or 0
            dial = e.get("dial", "")
            if state != "gone":
                _address(dial, "dial")
            kind, zone, share = e.get("class", ""), e.get("site", ""), float(e.get("share", 1.0))
            cell = e.get("block", 0)
            if kind not in self.kinds or zone not in self.zones:
                return None
            if not (isinstance(e["host"], str) and e["host"] and isinstance(cell, int)):
                return None
            age = now - (born / 1e3 - self.epoch) if born else 0.0
            return EngineLine(e["host"], kind, zone, cell, share, state, age, dial)
        except (KeyError, TypeError, ValueError, AttributeError, Malformed):
            return None

    def arrival(self, request: Request, now: float) -> tuple[str, Asked, contract.Arrival]:
        """A request as id, what goes on of it, and what the module is told; Refused if it is malformed."""
        fields: dict[bytes, bytes] = {}
        for name, value in request.headers:
            if name in READ:
                if name in fields:
                    raise Refused(400, f"{name.decode()} is there twice")
                fields[name] = value
        ident = fields.get(b"x-txn", b"")
        if not 0 < len(ident) <= ID_MOST or not SAFE.issuperset(ident):
            raise Refused(400, "X-Txn is missing or no id")
        traffic = self.traffic.get(fields.get(b"x-lane", b"").decode("latin-1"))
        if traffic is None:
            raise Refused(400, "X-Lane is none of ours")
        tenant, org = -1, fields.get(b"x-org", b"").decode("latin-1")
        if org:
            tenant = self.tenants.get(org, -1)
            if tenant < 0 and self.tenants:
                raise Refused(400, "X-Org is none of ours")
        left = _number(fields.get(b"x-remaining-ms", b""), "X-Remaining-Ms") / 1e3
        labels = _labels(fields.get(b"x-labels", b""))
        prompt = _number(labels.get(b"prompt_len", b"%d" % (len(request.body) // 4)), "prompt_len")
        shared = _number(labels.get(b"prefix_len", b"0"), "prefix_len")
        most = _number(labels.get(b"max_out", b"0"), "max_out")
        if shared > prompt:
            raise Refused(400, "prefix_len is more than prompt_len")
        _check_body(request.body)
        resent = fields.get(b"x-resent", b"")
        expected = _number(fields[b"x-estimate"], "X-Estimate") / 1e3 if b"x-estimate" in fields else 0.0
        arrival = contract.Arrival(
            traffic,
            tenant,
            float(prompt),
            self.lag.left(now, left),
            hash_key(fields.get(b"x-entity", b"").decode("latin-1")),
            hash_key(labels.get(b"prefix", b"").decode("latin-1")),
            float(shared),
            float(most),
            expected,
            resent == b"again",
            bool(resent) and resent != b"again",
        )
        own = _own_of_connection(request.headers)
        passed = [(name, value) for name, value in request.headers if name not in own]
        return ident.decode(), Asked(request.target, passed, request.body), arrival


# Headers of a request by which we go: each may be there once.
READ = frozenset(
    (
        b"x-txn",
        b"x-lane",
        b"x-org",
        b"x-entity",
        b"x-labels",
        b"x-resent",
        b"content-type",
        b"x-remaining-ms",
        b"x-estimate",
    )
)
# Headers that are between two ends of a connection, by RFC 9110 (7.6.1), or written anew: all others go on.
OWN = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"proxy-authorization",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"host",
        b"content-length",
        b"x-remaining-ms",
        b"x-estimate",
    )
)


def _own_of_connection(headers: list[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Names that don't go on to engines: those above, and those that the client's Connection names.

    Guards against dropping what an engine acts on: by Idempotency-Key it knows a repeat of what it has done.
    """
    named = [
        part.strip().lower() for name, value in headers if name == b"connection" for part in value.split(b",")
    ]
    return OWN.union(named) if named else OWN


class _Body(msgspec.Struct):
    """As much of a body as every engine needs."""

    messages: list[msgspec.Raw]


def _check_body(body: bytes) -> None:
    try:
        msgspec.json.decode(body, type=_Body)
    except (msgspec.DecodeError, ValueError, RecursionError) as fault:
        raise Refused(400, "the body is no chat request") from fault


def _number(text: bytes, what: str) -> int:
    if not (0 < len(text) <= DIGITS_MOST and text.isdigit()):
        raise Refused(400, f"{what} is no number")
    return int(text)


def _labels(text: bytes) -> dict[bytes, bytes]:
    labels = {}
    for part in text.split(b",") if text else ():
        name, eq, value = part.strip().partition(b"=")
        if not eq or name in labels:
            raise Refused(400, "X-Labels can't be read")
        labels[name] = value
    return labels
