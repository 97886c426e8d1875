"""The sequences that clients of a scenario request, planned before it begins."""

from random import Random
from typing import NamedTuple

from myrtlehub.lab.scenario_file import ClientsConfig, Scenario, TrafficMix
from myrtlehub.lab.simulated_clients.traffic import CHAT_FRONT

PREFIX_SKEW = 0.7  # rate of the exponential distribution over shared prefixes: the first ones are used most
MAX_OPEN_SESSIONS = 40  # of a traffic type; older sessions get no further turn
ANSWER_IN_NEXT_PROMPT = 4  # divisor: a quarter of the longest output is added to the next turn's prompt
LAST_TOKEN_WITH_DISCONNECT = 4  # highest number of the token on which a client disconnects
MAX_DELAY_AFTER_TOKEN = 0.015  # seconds from that token to the disconnect
SHORTEST_HURRY = 0.1  # seconds that the most impatient client waits for the first token
HURRY_SPREAD = 0.5  # seconds; range of the random time that is added to it
HASH_FACTOR = 2654435761  # of Knuth's multiplicative hash
HASH_RANGE = 2**32


class PlannedSequence(NamedTuple):
    """One sequence that a client will request; times in seconds."""

    at: float  # from the start of the traffic
    traffic: TrafficMix
    idempotency_key: str
    session: str
    prefix: str | None  # name of the shared prefix
    shared_tokens: int
    prompt: int  # tokens
    output: int  # tokens
    tenant: str | None
    disconnects_after: float | None  # from the request; None: the client waits for its answer
    is_silent: bool  # it reads nothing, and disconnects after the first-token timeout
    disconnects_on_token: int | None  # number of the token on which the client disconnects
    delay_after_token: float  # seconds from that token to the disconnect
    first_token_timeout: float


class _Session(NamedTuple):
    """A conversation that can have a further turn."""

    name: str
    tokens: int
    prefix: str | None
    shared_tokens: int


def plan_sequences(scenario: Scenario, rate: float, random: Random) -> list[PlannedSequence]:
    """Return all sequences of a scenario, by the time of their arrival."""
    chat_traffic = [traffic for traffic in scenario.traffic if traffic.front == CHAT_FRONT]
    shares = [traffic.share for traffic in chat_traffic]
    sessions: dict[str, list[_Session]] = {}
    planned: list[PlannedSequence] = []
    at = 0.0
    while True:
        at += random.expovariate(rate)
        if at >= scenario.length:
            return planned
        traffic = random.choices(chat_traffic, shares)[0]
        open_sessions = sessions.setdefault(traffic.name, [])
        planned.append(_plan_sequence(scenario, at, len(planned) + 1, traffic, open_sessions, random))


def _plan_sequence(
    scenario: Scenario,
    at: float,
    number: int,
    traffic: TrafficMix,
    open_sessions: list[_Session],
    random: Random,
) -> PlannedSequence:
    """Draw one sequence. The order of the draws is fixed, as a seed must always give the same load."""
    session = _draw_session(number, traffic, open_sessions, random)
    prompt = session.tokens + random.randint(*traffic.prompt)
    output = random.randint(*traffic.output)
    open_sessions.append(session._replace(tokens=prompt + output // ANSWER_IN_NEXT_PROMPT))
    del open_sessions[:-MAX_OPEN_SESSIONS]
    disconnect_draw, disconnect_share, silent_draw = random.random(), random.random(), random.random()
    tenant = random.choice(scenario.tenants).name if scenario.tenants else None
    clients = scenario.clients
    disconnects = disconnect_draw < clients.leave
    return PlannedSequence(
        at=at,
        traffic=traffic,
        idempotency_key=f"m{number}",
        session=session.name,
        prefix=session.prefix,
        shared_tokens=session.shared_tokens,
        prompt=prompt,
        output=output,
        tenant=tenant,
        disconnects_after=clients.leave_within * disconnect_share if disconnects else None,
        is_silent=silent_draw < clients.silent,
        disconnects_on_token=_draw_disconnect_token(clients, random),
        delay_after_token=MAX_DELAY_AFTER_TOKEN * random.random(),
        first_token_timeout=_draw_first_token_timeout(clients, traffic, random),
    )


def _draw_session(
    number: int, traffic: TrafficMix, open_sessions: list[_Session], random: Random
) -> _Session:
    """Return a new session, or an open one for its next turn."""
    prefix = None
    shared_tokens = traffic.shared[0]
    if traffic.prefixes:
        prefix = f"{traffic.name}-{min(int(random.expovariate(PREFIX_SKEW)), traffic.prefixes - 1)}"
        shared_tokens += _hash_of(prefix) % (traffic.shared[1] - traffic.shared[0] + 1)
    if open_sessions and traffic.turns > 1 and random.random() < 1.0 - 1.0 / traffic.turns:
        return open_sessions.pop(random.randrange(len(open_sessions)))
    return _Session(f"s{number}", shared_tokens, prefix, shared_tokens)


def _draw_disconnect_token(clients: ClientsConfig, random: Random) -> int | None:
    if random.random() < clients.leave_on_token:
        return random.randint(1, LAST_TOKEN_WITH_DISCONNECT)
    return None


def _draw_first_token_timeout(clients: ClientsConfig, traffic: TrafficMix, random: Random) -> float:
    if random.random() < clients.hurried:
        return SHORTEST_HURRY + HURRY_SPREAD * random.random()
    return traffic.abandon_time


def _hash_of(text: str) -> int:
    """Return a hash of a text that is the same in every process, unlike `hash`."""
    return sum((index + 1) * ord(letter) for index, letter in enumerate(text)) * HASH_FACTOR % HASH_RANGE
