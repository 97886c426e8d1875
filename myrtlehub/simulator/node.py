"""A simulated node: decodes events for its router and encodes the router's actions."""

from collections.abc import Iterable
from zlib import crc32

from myrtlehub.platform_settings import load_report_from_platform, router_config_from_settings
from myrtlehub.routing import contract
from myrtlehub.routing.contract import Action, EngineState
from myrtlehub.routing.policy.router import Router
from myrtlehub.simulator.ids import EngineIds, SequenceIds
from myrtlehub.simulator.wire import (
    ENGINE_ACTIONS,
    MS_PER_SECOND,
    OUTCOME_BY_CODE,
    SEQUENCE_ACTIONS,
    STATE_BY_NAME,
    VERB_BY_ACTION,
    Event,
    Order,
    RequestOption,
    WireError,
    action_fields,
)

RESERVATION_CONFIRMED = 1  # the value of a note by which an engine confirms a reservation


class Node:
    """A simulated node: its router, and the mappings between the protocol's ids and the router's indices."""

    def __init__(self, name: str, event: Event, now: float) -> None:
        settings = event["Settings"]
        self.name = name
        self.kind_indices = _index_by_name(settings.get("MachineTypes") or [""])
        self.zone_indices = _index_by_name(settings.get("Zones") or [""])
        self.tenant_indices = _index_by_name(tenant["Name"] for tenant in settings.get("Orgs") or [])
        self.traffic_type_indices = _index_by_name(traffic["Name"] for traffic in settings["Classes"])
        self.engines = EngineIds()
        self.sequences = SequenceIds()
        self.router = Router(router_config_from_settings(settings, event.get("Entropy", 0)))
        self.start_actions = self.router.start(now)
        self._node_handlers = {
            "REQ": self._handle_request,
            "RESPONSE": self._handle_response,
            "MEMBERS": self._handle_members,
            "WAKEUP": self._handle_wakeup,
            "PING_RESULT": self._handle_ping_result,
            "MESSAGE": self._handle_message,
        }
        self._sequence_handlers = {
            "ESTABLISHED": self._handle_established,
            "DROPPED": self._handle_dropped,
            "NOTE": self._handle_note,
        }

    def handle_event(self, event: Event, now: float) -> list[Action]:
        """Pass an event to the router and return the router's actions.

        An event of a removed sequence is ignored; it was sent before the final answer arrived.
        """
        verb = event["verb"]
        if verb in self._node_handlers:
            return self._node_handlers[verb](event, now)
        if verb not in self._sequence_handlers:
            raise WireError(f"unknown verb {verb}")
        sequence = self.sequences.number(event["Rid"])
        return [] if sequence is None else self._sequence_handlers[verb](event, now, sequence)

    def _handle_members(self, event: Event, now: float) -> list[Action]:
        mode = event["Mode"]
        if mode == "FAILED":
            return self.router.endpoint_list_failed(now)
        is_complete = mode != "INCREMENTAL"
        entries = [self._decode_endpoint(entry) for entry in event.get("Entries") or []]
        updates = [update for update in entries if update is not None]
        if is_complete:
            self.engines.remove_all_but({update.engine for update in updates})
        actions = self.router.update_endpoints(now, updates, is_complete)
        self.engines.free_removed()
        return actions

    def _decode_endpoint(self, entry: Event) -> contract.EndpointUpdate | None:
        """Decode an entry of the endpoint list; return None if it removes an engine that is not listed."""
        engine_id = entry["Engine"]
        state = STATE_BY_NAME[entry.get("State", "SERVING")]
        is_new = not self.engines.is_listed(engine_id)
        if is_new and state == EngineState.REMOVED:
            return None
        return contract.EndpointUpdate(
            engine=self.engines.add_or_update(engine_id, state),
            is_new=is_new,
            state=state,
            kind=_find_index(entry.get("Type"), self.kind_indices) or 0,
            zone=_find_index(entry.get("Dc"), self.zone_indices) or 0,
            cell=entry.get("Cluster", 0),
            started_at=entry.get("StartTimeMs", 0.0) / MS_PER_SECOND,
            weight=entry.get("Heft", 1.0),
            hash_seed=crc32(engine_id.encode()),
        )

    def _handle_request(self, event: Event, now: float) -> list[Action]:
        number = self.sequences.add(event["Rid"])
        options = event.get("Options", 0)
        arrival = contract.Arrival(
            traffic=self.traffic_type_indices[event["Grade"]],
            tenant=_find_index(event.get("ClientGroup"), self.tenant_indices),
            prompt_tokens=event.get("InputLen", 0.0),
            time_left=event["TimeBudgetMs"] / MS_PER_SECOND,
            session=event.get("Chat", 0),
            prefix=event.get("Prefix", 0),
            shared_tokens=event.get("SharedLen", 0.0),
            max_output_tokens=event.get("MaxTokens", 0.0),
            expected_seconds=_expected_seconds(event, options),
            is_resumed=bool(options & RequestOption.IS_RESUMED),
            is_retry=bool(options & RequestOption.IS_RETRY),
        )
        return self.router.arrive(now, number, arrival)

    def _handle_response(self, event: Event, now: float) -> list[Action]:
        engine = self.engines.index(event["Engine"])
        self.engines.count_ended(engine)
        number = self.sequences.number(event["Rid"])
        actions: list[Action] = []
        if number is not None:
            actions = self.router.ended(
                now,
                number,
                event.get("Copy", 0),
                OUTCOME_BY_CODE[event["StateCode"]],
                _latency_seconds(event),
                event.get("Settled", False),
                event.get("Info", 0),
                load_report_from_platform(event.get("Telemetry")),
            )
        self.engines.free_if_removed(engine)
        return actions

    def _handle_ping_result(self, event: Event, now: float) -> list[Action]:
        engine = self.engines.index(event["Engine"])
        self.engines.count_ended(engine)
        is_answered = event.get("StateCode") == "ok"
        latency = _latency_seconds(event)
        load = load_report_from_platform(event.get("Telemetry"))
        actions = self.router.probe_ended(now, engine, is_answered, latency, load)
        self.engines.free_if_removed(engine)
        return actions

    def _handle_wakeup(self, event: Event, now: float) -> list[Action]:
        return self.router.wake(now, int(event["Name"]))

    def _handle_message(self, event: Event, now: float) -> list[Action]:
        return self.router.gossip_received(now, event["Who"], event.get("Content", ""))

    def _handle_established(self, event: Event, now: float, sequence: int) -> list[Action]:
        return self.router.began(now, sequence, event.get("Copy", 0), _latency_seconds(event))

    def _handle_dropped(self, event: Event, now: float, sequence: int) -> list[Action]:
        return self.router.client_left(now, sequence)

    def _handle_note(self, event: Event, now: float, sequence: int) -> list[Action]:
        engine = self.engines.index(event["Engine"])
        is_reserved = event["What"] == RESERVATION_CONFIRMED
        return self.router.reservation_answered(now, sequence, event.get("Copy", 0), engine, is_reserved)

    def encode_action(self, action: Action) -> Order | None:
        """Return an action as an order of the protocol, or None if the action is internal to the node."""
        if isinstance(action, contract.Forget):
            self.sequences.remove(action.sequence)
            return None
        order = {"verb": VERB_BY_ACTION[type(action)], "NodeId": self.name}
        if isinstance(action, SEQUENCE_ACTIONS):
            order["Rid"] = self.sequences.id_of(action.sequence)
        if isinstance(action, ENGINE_ACTIONS):
            order["Engine"] = self.engines.id_of(action.engine)
        if isinstance(action, (contract.Send, contract.Probe)):
            self.engines.count_sent(action.engine)
        return order | action_fields(action)


def _index_by_name(names: Iterable[str]) -> dict[str, int]:
    return {name: index for index, name in enumerate(names)}


def _find_index(name: str | None, indices: dict[str, int]) -> int | None:
    """Return the index of a name, or None if the name is absent or unknown."""
    return None if name is None else indices.get(name)


def _expected_seconds(event: Event, options: int) -> float:
    """Return the duration of the answer that a request predicts, in seconds; 0.0 if it predicts none."""
    if not options & RequestOption.HAS_ESTIMATE:
        return 0.0
    predicted_ms: float = event.get("PredictedMs", 0.0)
    return predicted_ms / MS_PER_SECOND


def _latency_seconds(event: Event) -> float:
    """Return the latency reported by an event, in seconds; 0.0 if it reports none."""
    latency_ms: float = event.get("LatencyMs", 0.0)
    return latency_ms / MS_PER_SECOND
