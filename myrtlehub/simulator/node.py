"""One node of a simulation: its router, called with decoded events."""

from collections.abc import Iterable
from zlib import crc32

from myrtlehub.platform_settings import load_report_from_platform, router_config_from_settings
from myrtlehub.routing import contract
from myrtlehub.routing.contract import Action, EngineState
from myrtlehub.routing.policy.router import Router
from myrtlehub.simulator.ids import EngineIds, SequenceIds
from myrtlehub.simulator.wire import (
    ENGINE_ACTIONS,
    OUTCOMES,
    SEQUENCE_ACTIONS,
    STATES,
    WIRE_VERBS,
    Event,
    Order,
    WireError,
    further_fields,
)

OPTION_EXPECTED, OPTION_RETRY, OPTION_RESUMED = 1, 2, 16  # bits of a request's options
RESERVED = 1  # what a note of a reservation says


class Node:
    """One node: its router, and the ids of the wire against its indices."""

    def __init__(self, name: str, event: Event, now: float) -> None:
        settings = event["Settings"]
        self.name = name
        self.kinds = _index_by(settings.get("MachineTypes") or [""])
        self.zones = _index_by(settings.get("Zones") or [""])
        self.tenants = _index_by(tenant["Name"] for tenant in settings.get("Orgs") or [])
        self.traffic = _index_by(traffic["Name"] for traffic in settings["Classes"])
        self.engines = EngineIds()
        self.sequences = SequenceIds()
        self.router = Router(router_config_from_settings(settings, event.get("Entropy", 0)))
        self.start_actions = self.router.start(now)
        self._node_events = {
            "REQ": self._request,
            "RESPONSE": self._response,
            "MEMBERS": self._members,
            "WAKEUP": self._wakeup,
            "PING_RESULT": self._ping_result,
            "MESSAGE": self._message,
        }
        self._sequence_events = {
            "ESTABLISHED": self._established,
            "DROPPED": self._dropped,
            "NOTE": self._note,
        }

    def call(self, event: Event, now: float) -> list[Action]:
        """Hand one event to the router."""
        verb = event["verb"]
        if verb in self._node_events:
            return self._node_events[verb](event, now)
        if verb not in self._sequence_events:
            raise WireError(f"unknown verb {verb}")
        sequence = self.sequences.number(event["Rid"])
        return [] if sequence is None else self._sequence_events[verb](event, now, sequence)

    def _members(self, event: Event, now: float) -> list[Action]:
        mode = event["Mode"]
        if mode == "FAILED":
            return self.router.endpoint_list_failed(now)
        is_complete = mode != "INCREMENTAL"
        updates = []
        for entry in event.get("Entries") or []:
            update = self._endpoint_update(entry)
            if update is not None:
                updates.append(update)
        if is_complete:
            self.engines.keep_only({update.engine for update in updates})
        actions = self.router.update_endpoints(now, updates, is_complete)
        self.engines.free_gone()
        return actions

    def _endpoint_update(self, entry: Event) -> contract.EndpointUpdate | None:
        """Read an entry of the endpoint list; None where it is of an engine that was gone before."""
        ident = entry["Engine"]
        state = STATES[entry.get("State", "SERVING")]
        is_new = not self.engines.is_listed(ident)
        if is_new and state == EngineState.REMOVED:
            return None
        return contract.EndpointUpdate(
            engine=self.engines.list_engine(ident, state),
            is_new=is_new,
            state=state,
            kind=self.kinds.get(entry.get("Type"), 0),
            zone=self.zones.get(entry.get("Dc"), 0),
            cell=entry.get("Cluster", 0),
            started_at=entry.get("StartTimeMs", 0.0) / 1e3,
            weight=entry.get("Heft", 1.0),
            hash_seed=crc32(ident.encode()),
        )

    def _request(self, event: Event, now: float) -> list[Action]:
        number = self.sequences.add(event["Rid"])
        options = event.get("Options", 0)
        arrival = contract.Arrival(
            traffic=self.traffic[event["Grade"]],
            tenant=self.tenants.get(event.get("ClientGroup")),
            prompt_tokens=event.get("InputLen", 0.0),
            time_left=event["TimeBudgetMs"] / 1e3,
            session=event.get("Chat", 0),
            prefix=event.get("Prefix", 0),
            shared_tokens=event.get("SharedLen", 0.0),
            max_output_tokens=event.get("MaxTokens", 0.0),
            expected_seconds=event.get("PredictedMs", 0.0) / 1e3 if options & OPTION_EXPECTED else 0.0,
            is_resumed=bool(options & OPTION_RESUMED),
            is_retry=bool(options & OPTION_RETRY),
        )
        return self.router.arrive(now, number, arrival)

    def _response(self, event: Event, now: float) -> list[Action]:
        engine = self.engines.index(event["Engine"])
        self.engines.ended(engine)
        number = self.sequences.number(event["Rid"])
        actions = []
        if number is not None:
            actions = self.router.ended(
                now,
                number,
                event.get("Copy", 0),
                OUTCOMES[event["StateCode"]],
                event.get("LatencyMs", 0.0) / 1e3,
                event.get("Settled", False),
                event.get("Info", 0),
                load_report_from_platform(event.get("Telemetry")),
            )
        self.engines.free_if_gone(engine)
        return actions

    def _ping_result(self, event: Event, now: float) -> list[Action]:
        engine = self.engines.index(event["Engine"])
        self.engines.ended(engine)
        is_answered = event.get("StateCode") == "ok"
        latency = event.get("LatencyMs", 0.0) / 1e3
        load = load_report_from_platform(event.get("Telemetry"))
        actions = self.router.probe_ended(now, engine, is_answered, latency, load)
        self.engines.free_if_gone(engine)
        return actions

    def _wakeup(self, event: Event, now: float) -> list[Action]:
        return self.router.wake(now, int(event["Name"]))

    def _message(self, event: Event, now: float) -> list[Action]:
        return self.router.gossip_received(now, event["Who"], event.get("Content", ""))

    def _established(self, event: Event, now: float, sequence: int) -> list[Action]:
        return self.router.began(now, sequence, event.get("Copy", 0), event.get("LatencyMs", 0.0) / 1e3)

    def _dropped(self, event: Event, now: float, sequence: int) -> list[Action]:
        return self.router.client_left(now, sequence)

    def _note(self, event: Event, now: float, sequence: int) -> list[Action]:
        engine = self.engines.index(event["Engine"])
        is_reserved = event["What"] == RESERVED
        return self.router.reservation_answered(now, sequence, event.get("Copy", 0), engine, is_reserved)

    def encode(self, action: Action) -> Order | None:
        """Return an action as the wire has it, or None where it is only for the adapter."""
        if isinstance(action, contract.Forget):
            self.sequences.forget(action.sequence)
            return None
        order = {"verb": WIRE_VERBS[type(action)], "NodeId": self.name}
        if isinstance(action, SEQUENCE_ACTIONS):
            order["Rid"] = self.sequences.ident(action.sequence)
        if isinstance(action, ENGINE_ACTIONS):
            order["Engine"] = self.engines.ident(action.engine)
        if isinstance(action, (contract.Send, contract.Probe)):
            self.engines.sent(action.engine)
        return order | further_fields(action)


def _index_by(names: Iterable[str]) -> dict[str, int]:
    return {name: index for index, name in enumerate(names)}
