"""What the files of a node and of a stand-in engine may say."""

from functools import cached_property
from typing import Annotated, ClassVar, Literal, Self

from pydantic import Field, StringConstraints, model_validator

from myrtlehub.config.load import Sheet
from myrtlehub.config.units import Duration, Size, Tokens

Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9.\-]+:[0-9]{1,5}$")]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
Positive = Annotated[float, Field(gt=0.0)]
NotNegative = Annotated[float, Field(ge=0.0)]


class TrafficRow(Sheet):
    """One traffic type."""

    name: Name
    front: Literal["chat", "embed", "rank"] = "chat"
    repeats: Literal["repeatable", "tokened", "once-only"]
    latency_slo: Duration
    slo_per_1000_tokens: Duration = 0.0
    abandon_time: Duration
    pace: Duration = 0.05
    utility: Positive = 1.0
    late_share: Share = 0.3
    dedup_group: Literal["all", "zone", "cell"] = "all"
    dedup_window: Duration = 0.0

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if self.abandon_time <= self.latency_slo:
            raise ValueError("abandon_time has to be longer than latency_slo")
        if self.repeats == "tokened" and not self.dedup_window:
            raise ValueError("a tokened traffic type needs dedup_window, as long as engines remember marks")
        return self


class KindRow(Sheet):
    """One kind of engine."""

    name: Name
    reads: bool = False
    writes: bool = False
    embeds: bool = False
    ranks: bool = False
    memory: Tokens = 0.0
    batch: Tokens = 16000.0  # of one part of a batch, at most
    batch_items: Annotated[int, Field(ge=1)] = 256

    def does(self, front: str) -> bool:
        """Whether it has work of this front."""
        return {"chat": self.reads or self.writes, "embed": self.embeds, "rank": self.ranks}[front]

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if not any(self.does(f) for f in ("chat", "embed", "rank")):
            raise ValueError("a kind that does nothing; set reads, writes, embeds or ranks to yes")
        return self


class TenantRow(Sheet):
    """One tenant and its quota, in sequences a second over all nodes; 0: none."""

    name: Name
    quota: NotNegative = 0.0


class EngineRow(Sheet):
    """One engine of the list."""

    address: Address
    kind: Name
    zone: Name
    cell: int = 0
    weight: NotNegative = 1.0  # 0 drains
    state: Literal["serving", "draining", "gone"] = "serving"
    age: Duration = 0.0
    model: str = ""  # version of what embeds or ranks there
    FIGURES: ClassVar[tuple[str, ...]] = (
        "address",
        "kind",
        "zone",
        "cell",
        "weight",
        "state",
        "age",
        "model",
    )

    @cached_property
    def figures(self) -> tuple:
        """All of it, in the order of FIGURES: lists of thousands are compared by it."""
        return tuple([getattr(self, name) for name in self.FIGURES])

    @classmethod
    def of(cls, figures: tuple) -> "EngineRow":
        """A row of figures that were checked before."""
        row = cls.model_construct(**dict(zip(cls.FIGURES, figures, strict=True)))
        row.__dict__["figures"] = figures
        return row

    def having(self, **figures: object) -> "EngineRow":
        """The same with some figures replaced. Not `model_copy`, which would take the old `figures` along."""
        return EngineRow.of(tuple([figures.get(name, getattr(self, name)) for name in self.FIGURES]))


class RulesGroup(Sheet):
    """Figures of the five rules."""

    answer_slack: Duration = 0.016
    drain_grace: Duration
    let_go: Duration
    cold_share: Share
    cold_time: Duration
    fall_multiple: Positive
    fall_time: Duration


class EnginesMay(Sheet):
    """What the engines of this fleet can be asked for."""

    read_alone: bool = True  # a pure writer reads a prompt itself
    cancel: bool = True
    hold: bool = False
    resume: bool = False
    probe: bool = False
    claims: bool = False  # streams outlive their node, and claims on sequences are answered


class ReportsGroup(Sheet):
    """How engines tell their load, and what asking for it costs."""

    how: Literal["answers", "probe"] = "answers"
    probe_price: Share = 0.0  # of the utility asked for, that one probe a sequence costs
    probe_timeout: Duration = 0.25


class NodeGroup(Sheet):
    """The node itself."""

    name: Name
    listen: Address
    admin: Address | None = None
    index: Annotated[int, Field(ge=0)] = 0
    nodes: Annotated[int, Field(ge=1)] = 1
    zone: Name
    seed: int = 0
    drain_within: Duration = 10.0
    most_attempts: Annotated[int, Field(ge=1)] = 5
    max_wait: Duration = 2.0  # 0: clients are told none
    over_share_utility: Share = 0.1
    tick: Duration = 0.004
    tell_nodes: bool = False
    connect_timeout: Duration = 0.25
    most_sequences: Annotated[int, Field(ge=1)] = 20000
    prompt_limit: Size = 8 * 2**20


class PeerRow(Sheet):
    """One node of the fleet, as other nodes reach it."""

    name: Name
    address: Address
    zone: Name


class TakeoverGroup(Sheet):
    """Work in hand survives the loss of its node: others keep word of it."""

    listen: Address  # for other nodes
    peers: Annotated[list[PeerRow], Field(min_length=2)]  # all nodes of the fleet, this one too
    copies: Annotated[int, Field(ge=1)] = 2  # nodes that keep word of this one's work
    keep: Annotated[int, Field(ge=1)] = 20000  # sequences of other nodes, kept here at most
    patience: Duration = 0.1  # longest that a send waits for a keeper that says nothing
    comes_back: Duration = 2.0  # by then a client has come back for what a lost node had, or it is let go


class ListFile(Sheet):
    """One file of engines. Globs in `include` are relative to the file."""

    engines: list[EngineRow] = []
    include: list[str] = []
    end: bool = False  # the file's last line, where list.end_marked asks for it


class BatchGroup(Sheet):
    """Batches: how they are cut, gathered and kept."""

    least_part: Tokens = 2000.0  # below this a part costs more to send than it saves
    gather: Duration = 0.004  # small requests wait so long at most for company; 0: never
    gather_tokens: Tokens = 1000.0  # a group of this size goes at once
    gather_items: Annotated[int, Field(ge=1)] = 32
    gather_left: Share = 0.8  # of a request's time left, that must be there still when it goes
    keep: Size = 64 * 2**20  # bytes of kept vectors, over all tenants; 0: none
    most_items: Annotated[int, Field(ge=1)] = 4096  # of one request


class LimitsGroup(Sheet):
    """Limits on clients."""

    held_bytes: Size = 256 * 2**20  # that a node holds for clients: their requests, and what waits for them
    peer_share: Share = 0.25  # of that, for one peer's address
    tenant_share: Share = 0.5  # of that, for one tenant
    least_rate: NotNegative = 50.0  # bytes a second that a peer has to take of what waits for it; 0: any
    rate_window: Duration = 5.0  # over which that is judged
    linger: Duration = 5.0  # until a client that does not take its last answer is reset
    admit: bool = False  # sequences wait at the door, and are shed there by utility, as latency grows
    retries: NotNegative | Literal["any"] = "any"  # repeated tries a first one that a tenant may send
    connections: Annotated[int, Field(ge=1)] = 4000
    peer_connections: Annotated[int, Field(ge=1)] = 1000  # of one peer's address
    idle: Duration = 300.0  # a connection without calls is closed after this; 0: never


class Confirm(Sheet):
    """When a change that takes away much is believed."""

    most_removed: Share | Literal["any"] = 0.5  # of the serving engines at once, unconfirmed
    after: Duration = 2.0  # a second reading of the same confirms it


class Damp(Sheet):
    """When an engine that comes and goes is taken at its word no more."""

    flaps: Annotated[int, Field(ge=2)] | Literal["off"] = 4  # times it came or went
    within: Duration = 30.0
    quiet_for: Duration = 10.0  # without a change, and it counts again


class ListGroup(Sheet):
    """The list of engines: one section here, or files that are watched."""

    pushed: bool = False  # news may be handed in over the admin address
    engines: list[EngineRow] = []
    files: list[str] = []  # paths, globs or directories; relative to the node's file
    poll: Duration = 5.0  # looks at files this often, beside being told by the system
    quiet: Duration = 0.1  # without a change, until a file counts as finished
    end_marked: bool = False  # a file without its last line "end: yes" is unfinished, however long it lies
    confirm: Confirm = Confirm()
    damp: Damp = Damp()
    store: str = ""  # file that keeps the last good version over restarts; empty: none


class NodeSheet(Sheet):
    """A node's file."""

    node: NodeGroup
    traffic: Annotated[list[TrafficRow], Field(min_length=1)]
    kinds: Annotated[list[KindRow], Field(min_length=1)]
    zones: Annotated[list[Name], Field(min_length=1)]
    tenants: list[TenantRow] = []
    rules: RulesGroup
    engines_may: EnginesMay = EnginesMay()
    reports: ReportsGroup = ReportsGroup()
    batches: BatchGroup = BatchGroup()
    limits: LimitsGroup = LimitsGroup()
    takeover: TakeoverGroup | None = None
    list: ListGroup

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if self.node.zone not in self.zones:
            raise ValueError(f"node.zone {self.node.zone!r} is not among zones: {', '.join(self.zones)}")
        if self.node.index >= self.node.nodes:
            raise ValueError(f"node.index {self.node.index} needs node.nodes above it, not {self.node.nodes}")
        for what, names in (
            ("traffic", [t.name for t in self.traffic]),
            ("kinds", [k.name for k in self.kinds]),
            ("zones", self.zones),
            ("tenants", [t.name for t in self.tenants]),
            ("list.engines", [e.address for e in self.list.engines]),
        ):
            twice = sorted({n for n in names if names.count(n) > 1})
            if twice:
                raise ValueError(f"{what}: {', '.join(twice)} named more than once")
        for t in self.traffic:
            if not any(k.does(t.front) for k in self.kinds):
                raise ValueError(f"traffic {t.name}: no kind has work of the front {t.front!r}; add one")
        check_engines(self, self.list.engines)
        self._takeover_sound()
        if self.list.files and (self.list.engines or self.list.pushed):
            raise ValueError("list.files: the list comes from files alone; drop list.engines and list.pushed")
        self._one_shape()
        missing = [w for w in ("hold", "resume") if getattr(self.engines_may, w)]
        if missing:
            raise ValueError(f"engines_may.{missing[0]}: engines of myrtlehub.v1 cannot do this; say no")
        if self.node.tell_nodes:
            raise ValueError("node.tell_nodes: nodes have no way to talk to each other yet; say no")
        return self

    def _takeover_sound(self) -> None:
        if self.takeover is None:
            return
        names = [p.name for p in self.takeover.peers]
        addresses = [p.address for p in self.takeover.peers]
        for what, found in (("name", names), ("address", addresses)):
            twice = sorted({n for n in found if found.count(n) > 1})
            if twice:
                raise ValueError(f"takeover.peers: {what} {', '.join(twice)} stands more than once")
        if self.node.name not in names:
            raise ValueError(f"takeover.peers: {self.node.name!r}, this node, is not among them")

    def _one_shape(self) -> None:
        """Guards against a file half moved: load comes with answers, or is asked for, never some of each."""
        asked = self.reports.how == "probe"
        if asked and not self.engines_may.probe:
            raise ValueError("reports.how: probe needs engines_may.probe: yes, or load would never be known")
        if self.engines_may.probe and not asked:
            raise ValueError(
                "engines_may.probe: load comes with answers here, so nothing is probed; say no, "
                "or reports.how: probe"
            )
        set_here = [f for f in ("probe_price", "probe_timeout") if f in self.reports.model_fields_set]
        if set_here and not asked:
            raise ValueError(
                f"reports.{set_here[0]}: nothing is probed where reports.how is answers; drop it"
            )
        if asked and any(t.front != "chat" for t in self.traffic):
            raise ValueError(
                "reports.how: batches need load with their answers; drop traffic types to embed "
                "or rank, or say answers"
            )


def check_engines(sheet: NodeSheet, engines: list[EngineRow]) -> None:
    """ValueError where an engine names a kind or zone that the file does not state."""
    kinds = {k.name for k in sheet.kinds}
    for engine in engines:
        if engine.kind not in kinds:
            raise ValueError(
                f"engine {engine.address}: kind {engine.kind!r} is not among kinds: "
                f"{', '.join(sorted(kinds))}"
            )
        if engine.zone not in sheet.zones:
            raise ValueError(
                f"engine {engine.address}: zone {engine.zone!r} is not among zones: {', '.join(sheet.zones)}"
            )


class Mishaps(Sheet):
    """Shares of attempts on which a stand-in fails in a way of its own."""

    break_stream: Share = 0.0  # a writer's stream is reset after some tokens
    lose_fetch: Share = 0.0  # a reader breaks off a fetch halfway and has lost the state
    fail_late: Share = 0.0  # a writer takes an attempt and fails it, not begun, after 0.2 to 0.6 s
    full_after_fetch: Share = 0.0  # a writer refuses once it has fetched


class StandSheet(Sheet):
    """A stand-in engine's file. Simulated: figures of a made-up machine."""

    name: Name
    listen: Address
    reads: bool = False
    writes: bool = False
    embeds: bool = False
    ranks: bool = False
    model: str = "m1"  # version of what embeds or ranks
    dimensions: Annotated[int, Field(ge=1)] = 16
    batch_base: Duration = 0.006  # of each batch, however small
    batch_rate: Annotated[float, Field(gt=0)] = 60000.0  # tokens a second, a batch alone
    batch_slots: Annotated[int, Field(ge=1)] = 1  # batches at a time
    batch_queue: Annotated[int, Field(ge=0)] = 16
    batch_drag: NotNegative = 0.5  # by which a batch makes the steps of streams beside it longer
    longest_input: Tokens = 8192.0
    slots: Annotated[int, Field(ge=1)] = 8
    queue: Annotated[int, Field(ge=0)] = 32
    memory: Tokens = 200000.0
    read_rate: Annotated[float, Field(gt=0)] = 16000.0  # prompt tokens a second, a slot
    step: Duration = 0.02  # between tokens of a stream, alone
    step_crowd: Share = 0.5  # by which steps are longer with all slots in use
    fetch_rate: Annotated[float, Field(gt=0)] = 250000.0  # tokens a second
    kept: Tokens = 60000.0  # of prefixes, beside the memory
    reports: Literal["answers", "probe"] = "answers"  # to what it adds its load
    cold: bool = False
    cold_share: Share = 0.25
    cold_time: Duration = 10.0
    fall_multiple: Positive = 2.5
    fall_time: Duration = 1.0
    state_bound: Duration = 3.0  # unclaimed state is let go after this
    stream_bound: Duration = 0.0  # for so long a stream outlives its node, for another one; 0: not at all
    dedup_window: Duration = 5.0
    begin: Duration = 0.0  # from a state to the first step of its answer
    mishaps: Mishaps = Mishaps()
    seed: int = 0
    records: str = ""  # file; empty: none

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if not (self.reads or self.writes or self.embeds or self.ranks):
            raise ValueError("a stand-in that does nothing; set reads, writes, embeds or ranks to yes")
        return self
