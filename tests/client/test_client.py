"""The clients retry as each answer allows; the examples run against real processes."""

import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from fleet import Fleet
from paths import ROOT

from myrtlehub.client import (
    AbortedError,
    ChatRequest,
    Generated,
    InvalidRequestError,
    RejectedError,
    RetrySemantics,
)
from myrtlehub.client.batch_client import BatchClient, BatchOptions
from myrtlehub.client.results import AttemptResult, Outcome
from myrtlehub.client.retries import RetryState
from myrtlehub.client.twisted_client import ChatStream, Client
from myrtlehub.emulator.vectors import score_of
from myrtlehub.emulator.vectors import vector_of as packed_of
from myrtlehub.lab.processes import free_ports

ADMIN: dict[str, str] = {}  # admin addresses, by clients' address


def retry_state(
    retry_semantics: RetrySemantics = RetrySemantics.AT_MOST_ONCE, **options: object
) -> RetryState:
    """Return a state at time 100 whose random draws are all 0.5."""
    request = ChatRequest("t", 10, 10, retry_semantics=retry_semantics, **options)
    return RetryState(request, 100.0, lambda: 0.5)


def test_which_outcomes_are_retried_and_after_which_delay() -> None:
    lost, aborted, rejected = (
        AttemptResult(Outcome.LOST),
        AttemptResult(Outcome.ABORTED),
        AttemptResult(Outcome.REJECTED, 0.4),
    )
    assert retry_state().next_delay(rejected, 100.0) == pytest.approx(0.5)  # the Retry-After, with jitter
    without_retry_after = retry_state(max_attempts=5)
    assert [
        without_retry_after.next_delay(AttemptResult(Outcome.REJECTED), 100.0) for _ in range(3)
    ] == pytest.approx([0.1, 0.2, 0.4])
    assert retry_state().next_delay(aborted, 100.0) is None and retry_state().next_delay(lost, 100.0) is None
    assert retry_state(RetrySemantics.IDEMPOTENCY_KEY).next_delay(lost, 100.0) is None
    assert retry_state(RetrySemantics.IDEMPOTENT).next_delay(lost, 100.0) == pytest.approx(0.1)
    assert (
        retry_state().next_delay(AttemptResult(Outcome.LOST, unprocessed=True), 100.0) is not None
    )  # it did not reach the node
    assert retry_state(timeout=0.3).next_delay(rejected, 100.0) is None  # no time is left for a retry
    some = retry_state(RetrySemantics.IDEMPOTENT)
    some.tokens = 3
    assert some.next_delay(aborted, 100.0) is None  # the tokens would be delivered twice
    last = retry_state(max_attempts=2)
    assert last.next_delay(rejected, 100.0) and last.next_delay(rejected, 100.6) is None
    for end, kind in (
        (rejected, RejectedError),
        (aborted, AbortedError),
        (lost, AbortedError),
        (AttemptResult(Outcome.INVALID), InvalidRequestError),
        (AttemptResult(Outcome.LOST, unprocessed=True), RejectedError),
    ):
        with pytest.raises(kind):
            retry_state().final_answer(end)
    assert retry_state().final_answer(AttemptResult(Outcome.GENERATED, item_count=7)) == Generated(7, 0)


def test_the_twisted_client_retries_and_cancels_on_a_simulated_clock() -> None:
    fleet = Fleet("R0 W0")
    client, seen, results = Client(fleet.channels["n0"], fleet.clock, lambda: 0.5), [], []

    def start(*args: object, **options: object) -> ChatStream:
        stream = client.generate(ChatRequest(*args, **options), seen.append)
        stream.done.addBoth(results.append)
        return stream

    start("ask", 3000, 40, retry_semantics=RetrySemantics.IDEMPOTENT)
    fleet.run(3.0)
    assert results == [Generated(len(seen), 1)] and seen
    start("nope", 3000, 40)
    fleet.run(0.1)
    assert results[1].check(InvalidRequestError) and "traffic_type" in results[1].getErrorMessage()
    fleet.inject_fault("W0b", "hang", seconds=3.0)
    fleet.run(0.05)
    start("post", 100, 40, first_token_timeout=1.0)
    start(
        "ask",
        100,
        40,
        retry_semantics=RetrySemantics.IDEMPOTENT,
        first_token_timeout=1.0,
        timeout=40.0,
        max_attempts=30,
    )
    fleet.run(1.5)
    assert results[2].check(AbortedError)  # it may have run, and is not idempotent
    fleet.run(35.0)
    assert (
        results[3].attempts > 1
    )  # rejected, and retried after the Retry-After until the engine has recovered
    stopped = start("ask", 100, 400)
    fleet.run(0.5)
    stopped.done.cancel()
    fleet.run(0.5)
    assert not fleet.engines["W0b"].model.decode.running and not fleet.nodes["n0"].executor.in_flight


@pytest.fixture
def node(tmp_path: Path) -> Iterator[str]:
    """A node and an engine of each kind, each a process."""
    ports = free_ports(6)
    text = (ROOT / "examples" / "node.yaml").read_text()
    for old, new in (
        ("127.0.0.1:7100", f"127.0.0.1:{ports[0]}"),
        ("127.0.0.1:7101", f"127.0.0.1:{ports[1]}"),
        ("10.0.0.1:7200", f"127.0.0.1:{ports[2]}"),
        ("10.0.0.2:7200", f"127.0.0.1:{ports[3]}"),
        ("10.0.0.3:7200", f"127.0.0.1:{ports[4]}"),
        ("10.0.0.4:7200", f"127.0.0.1:{ports[5]}"),
    ):
        assert old in text
        text = text.replace(old, new)
    (tmp_path / "node.yaml").write_text(text)
    (tmp_path / "r.yaml").write_text(f"{{name: r, listen: '127.0.0.1:{ports[2]}', reads: yes}}")
    (tmp_path / "w.yaml").write_text(f"{{name: w, listen: '127.0.0.1:{ports[3]}', writes: yes, step: 2ms}}")
    (tmp_path / "e.yaml").write_text(
        f"{{name: e, listen: '127.0.0.1:{ports[4]}', embeds: yes, longest_input: 900 tokens}}"
    )
    (tmp_path / "k.yaml").write_text(f"{{name: k, listen: '127.0.0.1:{ports[5]}', ranks: yes}}")
    running = []
    for name in ("r", "w", "e", "k", "node"):
        program = "node" if name == "node" else "emulator"
        process = subprocess.Popen(
            [sys.executable, "-m", f"myrtlehub.cli.{program}", tmp_path / f"{name}.yaml"],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            cwd=ROOT,
        )
        running.append(process)
        while b'"ready"' not in process.stdout.readline():
            assert process.poll() is None
    ADMIN[f"127.0.0.1:{ports[0]}"] = f"127.0.0.1:{ports[1]}"
    yield f"127.0.0.1:{ports[0]}"
    for process in reversed(running):
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
        process.stdout.close()


def test_examples_run(node: str) -> None:
    for name, said in (
        ("ask_sync.py", " tokens in 1 attempts"),
        ("book_asyncio.py", "booked: "),
        ("ask_twisted.py", " tokens in 1 attempts"),
        ("embed_and_rank.py", "made by m1\n"),
    ):
        run = subprocess.run(
            [sys.executable, ROOT / "examples" / name, node],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
        )
        assert run.returncode == 0 and said in run.stdout, run.stderr


def test_batch_client_of_both_batch_services(node: str) -> None:
    texts = [f"text {i}".encode() for i in range(700)]
    options = BatchOptions("vec", timeout=20.0)
    with BatchClient(node) as client:
        tokens = [1000 if i == 13 else 20 for i in range(700)]
        vectors = client.embed(texts, options, tokens, dimensions=6, normalise=True)
        assert client.answer.attempts == 1 and client.model == "m1" and len(vectors) == 700
        assert vectors[13].reason.startswith("1000 tokens are more than the 900")
        for i, vector in enumerate(vectors):
            assert i == 13 or vector.tobytes() == packed_of(texts[i], "m1", 6, True)
        streamed = dict(client.embed_stream(texts, options))
        assert len(streamed) == 700 and all(
            streamed[i].tobytes() == packed_of(t, "m1", 16, False) for i, t in enumerate(texts)
        )
        sort = BatchOptions("sort", timeout=20.0)
        scores = [score_of(b"q", t, "m1") for t in texts]
        assert client.rank(b"q", texts, sort) == list(enumerate(scores))
        best = sorted(range(700), key=lambda i: -scores[i])[:9]
        assert [r.index for r in client.rank(b"q", texts, sort, top=9)] == best
        assert sorted(client.rank_stream(b"q", texts, sort)) == list(enumerate(scores))
        with pytest.raises(InvalidRequestError, match="is for the front 'embed'"):
            client.rank(b"q", texts, options)
        with pytest.raises(RejectedError):  # no engine can answer in that time
            client.embed(
                texts, BatchOptions("vec", attempt_timeout=0.002, timeout=0.3, max_attempts=2), dimensions=3
            )


def test_hub_endpoints_shows_what_a_node_routes_by(node: str) -> None:
    def show(where: str) -> subprocess.CompletedProcess:
        return subprocess.run(
            [sys.executable, "-m", "myrtlehub.cli.endpoints", "show", "--node", where],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
        )

    shown = show(ADMIN[node])
    lines = shown.stdout.splitlines()
    assert shown.returncode == 0 and lines[0].startswith("version 1, ") and "from its file" in lines[0]
    assert [line.split()[1] for line in lines[1:]] == ["reader", "writer", "embedder", "ranker"]
    assert all(line.endswith("weight 1 serving") for line in lines[1:])
    unreachable = show("127.0.0.1:1")
    assert unreachable.returncode == 2 and unreachable.stderr.startswith("127.0.0.1:1: ")
