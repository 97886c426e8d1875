"""Send one sequence from a Twisted program: `python examples/ask_twisted.py 127.0.0.1:7100`."""

import sys

from twisted.internet import task
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IReactorTCP

from myrtlehub.client import ChatRequest, RetrySemantics
from myrtlehub.client.twisted_client import Client
from myrtlehub.rpc.channel import Channel


@inlineCallbacks
def main(reactor: IReactorTCP, address: str) -> Deferred:
    """Send one sequence and print its tokens."""
    host, port = address.rsplit(":", 1)
    channel = Channel(reactor, TCP4ClientEndpoint(reactor, host, int(port)).connect, address)
    client = Client(channel, reactor)
    stream = client.generate(
        ChatRequest(
            "ask",
            prompt_tokens=3000,
            max_output_tokens=60,
            retry_semantics=RetrySemantics.IDEMPOTENT,
            timeout=20.0,
        ),
        lambda ids: print(*ids, end=" ", flush=True),
    )
    answer = yield stream.done
    print(f"\n{answer.tokens} tokens in {answer.attempts} attempts")
    channel.close()


task.react(main, sys.argv[1:])
