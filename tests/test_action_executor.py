"""The node's host and the bench adapter, fed the same events, get the same results from the module."""

from fleet import Fleet

from myrtlehub import platform_settings, simulator
from myrtlehub.node.action_executor import ActionExecutor, ContractViolationError
from myrtlehub.node.router_config import router_config_of
from myrtlehub.routing import contract
from myrtlehub.routing.policy.router import Router

WORDS = {v: k for k, v in simulator.OUTCOMES.items()}
EFFECTS = {v: k for k, v in platform_settings.RETRY_SEMANTICS.items()}
STATES = {v: k for k, v in simulator.STATES.items()}
FACTORS = {ours: (wire, factor) for wire, (ours, factor) in platform_settings.LOAD_UNITS.items()}


class Noted:
    """A router that writes down what is said to it and what it answers."""

    def __init__(self, router: Router) -> None:
        self.router, self.said = router, []

    def __getattr__(self, name: str) -> object:
        def call(now: float, *args: object) -> list[contract.Action]:
            results = getattr(self.router, name)(now, *args)
            self.said.append((now, name, args, list(results)))
            return results

        return call


class NotedHost(ActionExecutor):
    def __init__(self, router: Router, *args: object) -> None:
        super().__init__(Noted(router), *args)


def settings_of(terms: contract.RouterConfig) -> dict:
    """Terms as the wire says them."""
    ms = 1e3
    return {
        "Balancers": terms.node_count,
        "Ordinal": terms.node,
        "Zones": ["z"],
        "MyZone": "z",
        "PeriodMs": terms.tick * ms,
        "MachineTypes": [f"k{i}" for i in range(len(terms.reads))],
        "OverShareWorth": terms.over_quota_utility,
        "Classes": [
            {
                "Name": f"t{i}",
                "Effect": EFFECTS[t.retry_semantics],
                "AimMs": t.latency_slo * ms,
                "GiveUpMs": t.abandon_time * ms,
                "Credit": t.utility,
                "LateWorth": t.late_share,
                "DedupScope": t.dedup_group,
                "WindowMs": t.dedup_window * ms,
            }
            for i, t in enumerate(terms.traffic)
        ],
        "Caps": {
            "Cancel": terms.may_cancel,
            "MostTries": terms.max_attempts,
            "RetryAfter": True,
            "MaxRetryAfterMs": terms.max_retry_after * ms,
        },
        "Invariants": {
            "AnswerSlackMs": terms.answer_slack * ms,
            "ColdMs": terms.cold_time * ms,
            "ColdShare": terms.cold_share,
            "DrainGraceMs": terms.drain_grace * ms,
            "FallMs": terms.overload_window * ms,
            "FallMultiple": terms.overload_multiple,
        },
        "Specifics": {
            "DutyByKind": ["read" if r else "write" for r in terms.reads],
            "KvTokens": list(terms.memory),
            "LetGoByMs": terms.state_timeout * ms,
            "SelfPrefill": terms.writers_can_read,
            "TokenAimMs": [t.seconds_per_token * ms for t in terms.traffic],
        },
    }


def event_of(name: str, args: tuple, engines: dict[int, str]) -> dict:
    """One of the host's calls, as the wire says it."""
    if name == "update_endpoints":
        entries = []
        for e in args[0]:
            engines.setdefault(e.engine, f"e{e.engine}")
            entries.append(
                {
                    "Engine": engines[e.engine],
                    "Type": f"k{e.kind}",
                    "State": STATES[e.state],
                    "Dc": "z",
                    "Cluster": e.cell,
                    "StartTimeMs": e.started_at * 1e3,
                    "Heft": e.weight,
                }
            )
        return {"verb": "MEMBERS", "Mode": "FULL" if args[1] else "INCREMENTAL", "Entries": entries}
    if name == "wake":
        return {"verb": "WAKEUP", "Name": str(args[0])}
    event = {"Rid": f"r{args[0]}"}
    if name == "arrive":
        a = args[1]
        return {
            **event,
            "verb": "REQ",
            "InputLen": a.prompt_tokens,
            "TimeBudgetMs": a.time_left * 1e3,
            "Chat": a.session,
            "Prefix": a.prefix,
            "SharedLen": a.shared_tokens,
            "MaxTokens": a.max_output_tokens,
            "Grade": f"t{a.traffic}",
            "Options": 2 * a.is_retry,
        }
    if name == "client_left":
        return {**event, "verb": "DROPPED"}
    if name == "began":
        return {**event, "verb": "ESTABLISHED", "Copy": args[1], "LatencyMs": args[2] * 1e3}
    _, copy, outcome, latency, settled, kept, load = args
    report = (
        {FACTORS[f][0]: v / FACTORS[f][1] for f, v in load._asdict().items() if v is not None}
        if load
        else None
    )
    return {
        **event,
        "verb": "RESPONSE",
        "Copy": copy,
        "StateCode": WORDS[outcome],
        "LatencyMs": latency * 1e3,
        "Settled": settled,
        "Info": kept,
        "Telemetry": report,
    }


def plain(results: list[contract.Action]) -> list[contract.Action]:
    return [tuple(round(x, 6) if isinstance(x, float) else x for x in r) for r in results]


def test_the_host_and_the_bench_adapter_get_the_same_results() -> None:
    f = Fleet("R0 R1 W0 W0 W1", host=NotedHost, slots=3)
    host = f.nodes["n0"].host
    for i in range(60):
        f.ask(
            ("ask", "post", "note")[i % 3],
            prompt=100 + 997 * (i % 5),
            output=60,
            session=f"s{i % 9}",
            shared_prefix=f"p{i % 4}",
            shared_tokens=90,
            left=1.0 + (i % 4),
        )
        f.run(0.04)
        if i == 15:
            f.misbehave("W0c", "refuse", 0.7, seconds=0.6)
        if i == 20:
            leaver = f.ask(prompt=3000)
            f.run(0.02)
            f.leave(leaver)
            f.kill("W0d")
        if i == 30:
            f.tell("W0d", "gone")
            f.misbehave("W1e", "error", 0.4)
        if i == 35:
            f.engine("W0d", cold=True)
            f.tell("W0d", "serving", age=0.01)
        if i == 45:
            f.misbehave("R1b", "hang", seconds=2.0)
            f.tell("R0a", "draining")
    f.run(8.0)
    terms = router_config_of(f.nodes["n0"].sheet)
    settings = settings_of(terms)
    assert platform_settings.router_config_from_settings(settings, terms.seed) == terms
    adapter = simulator.Node("n0", {"Settings": settings, "Entropy": terms.seed}, host.router.said[0][0])
    # Both tell engines apart by a mark made of their addresses; the adapter knows them by other words here.
    fresh = adapter.router = Router(terms)
    engines: dict[int, str] = {}
    marks = {
        e.engine: e.hash_seed
        for _, name, args, _ in host.router.said
        if name == "update_endpoints"
        for e in args[0]
    }
    listed = fresh.update_endpoints
    fresh.update_endpoints = lambda now, listings, whole: listed(
        now, [e._replace(hash_seed=marks[e.engine]) for e in listings], whole
    )
    kinds, attempts = set(), {}
    for now, name, args, results in host.router.said[1:]:
        event = event_of(name, args, engines)
        if event["verb"] == "RESPONSE":
            event["Engine"] = engines[attempts[args[0], args[1]]]
        again = adapter.call(event, now)
        assert plain(again) == plain(results), (now, name, args)
        for result in results:
            adapter.encode(result)
            kinds.add(type(result))
            if isinstance(result, contract.Send):
                seq = result.sequence
                attempts[seq, sum(k[0] == seq for k in attempts)] = result.engine
    expected = {
        contract.Send,
        contract.Release,
        contract.ScheduleWakeup,
        contract.Forget,
        contract.CancelAttempt,
    }
    assert expected <= kinds and len(host.router.said) > 150
    assert {name for _, name, _, _ in host.router.said} == {
        "start",
        "update_endpoints",
        "arrive",
        "began",
        "ended",
        "client_left",
        "wake",
    }


def test_results_that_the_terms_rule_out_stop_the_host() -> None:
    f = Fleet()
    host = f.nodes["n0"].host
    for action in (contract.Reserve(0, 0), contract.Migrate(0), contract.Probe(0), contract.Gossip(0, "")):
        host.router.wake = lambda now, token, action=action: [action]
        try:
            host._say("wake", 0)
        except ContractViolationError as fault:
            assert "rule out" in str(fault)
        else:
            raise AssertionError(action)


def test_results_are_carried_out_in_their_order_and_calls_never_nest() -> None:
    f = Fleet()
    host, seen, depth = f.nodes["n0"].host, [], []

    class Script:
        def wake(self, now: float, token: int) -> list[contract.Action]:
            assert not depth, "called from within a call's results"
            depth.append(1)
            seen.append(token)
            depth.pop()
            return [contract.LogNote(f"{token}a"), contract.LogNote(f"{token}b")]

    host.router = Script()

    def note(text: str) -> None:
        seen.append(text)
        if text == "1a":
            host._say("wake", 2)

    host._handlers[contract.LogNote] = note
    host._say("wake", 1)
    assert seen == [1, "1a", "1b", 2, "2a", "2b"]
