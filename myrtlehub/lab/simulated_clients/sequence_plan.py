"""The sequences that clients of a scenario ask for, drawn ahead."""

from random import Random
from typing import NamedTuple

from myrtlehub.lab.scenario_file import ClientsConfig, Scenario, TrafficMix

STAYS = float("inf")  # of a client that does not leave
CHAT_FRONT = "chat"
PREFIX_SKEW = 0.7  # of the exponential distribution by which shared prefixes are drawn
MAX_OPEN_SESSIONS = 40  # of a traffic type, that can have a further turn
ANSWER_IN_NEXT_PROMPT = 4  # a quarter of the longest output is in the next turn's prompt
LAST_TOKEN_LEFT_ON = 4
LEAVE_AFTER_TOKEN = 0.015  # seconds, at most
SHORTEST_HURRY = 0.1  # seconds that a hurried client waits for the first token
HURRY_SPREAD = 0.5
HASH_FACTOR = 2654435761
HASH_RANGE = 2**32


class PlannedSequence(NamedTuple):
    """One sequence that a client will ask for."""

    at: float
    traffic: TrafficMix
    idempotency_key: str
    session: str
    prefix: str
    shared_tokens: int
    prompt: int
    output: int
    tenant: str
    leaves_after: float  # seconds after asking; STAYS: not at all
    is_silent: bool  # reads nothing, and leaves in the end
    leaves_on_token: int  # number of the token; 0: none
    leaves_after_token: float  # seconds after that token
    time_left: float  # seconds that it waits for the first token


class _Session(NamedTuple):
    """A conversation that can have a further turn."""

    name: str
    tokens: int
    prefix: str
    shared_tokens: int


def plan_sequences(scenario: Scenario, rate: float, random: Random) -> list[PlannedSequence]:
    """Draw all sequences of a scenario, by the time of their arrival."""
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
        planned.append(_plan_one(scenario, at, len(planned) + 1, traffic, open_sessions, random))


def _plan_one(
    scenario: Scenario,
    at: float,
    number: int,
    traffic: TrafficMix,
    open_sessions: list[_Session],
    random: Random,
) -> PlannedSequence:
    session = _draw_session(number, traffic, open_sessions, random)
    prompt = session.tokens + random.randint(*traffic.prompt)
    output = random.randint(*traffic.output)
    open_sessions.append(session._replace(tokens=prompt + output // ANSWER_IN_NEXT_PROMPT))
    del open_sessions[:-MAX_OPEN_SESSIONS]
    leave_chance, leave_share, silent_chance = random.random(), random.random(), random.random()
    tenant = random.choice(scenario.tenants).name if scenario.tenants else ""
    clients = scenario.clients
    return PlannedSequence(
        at,
        traffic,
        f"m{number}",
        session.name,
        session.prefix,
        session.shared_tokens,
        prompt,
        output,
        tenant,
        clients.leave_within * leave_share if leave_chance < clients.leave else STAYS,
        silent_chance < clients.silent,
        random.randint(1, LAST_TOKEN_LEFT_ON) if random.random() < clients.leave_on_token else 0,
        LEAVE_AFTER_TOKEN * random.random(),
        _draw_time_left(clients, traffic, random),
    )


def _draw_session(
    number: int, traffic: TrafficMix, open_sessions: list[_Session], random: Random
) -> _Session:
    """Return a new session, or an open one for its next turn."""
    prefix = ""
    shared_tokens = traffic.shared[0]
    if traffic.prefixes:
        prefix = f"{traffic.name}-{min(int(random.expovariate(PREFIX_SKEW)), traffic.prefixes - 1)}"
        shared_tokens += hash_of(prefix) % (traffic.shared[1] - traffic.shared[0] + 1)
    if open_sessions and traffic.turns > 1 and random.random() < 1.0 - 1.0 / traffic.turns:
        return open_sessions.pop(random.randrange(len(open_sessions)))
    return _Session(f"s{number}", shared_tokens, prefix, shared_tokens)


def _draw_time_left(clients: ClientsConfig, traffic: TrafficMix, random: Random) -> float:
    if random.random() < clients.hurried:
        return SHORTEST_HURRY + HURRY_SPREAD * random.random()
    return traffic.abandon_time


def hash_of(text: str) -> int:
    """Return a number of a text, the same in every process."""
    return sum((index + 1) * ord(letter) for index, letter in enumerate(text)) * HASH_FACTOR % HASH_RANGE
