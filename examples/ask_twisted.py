"""Ask from a Twisted program: `python examples/ask_twisted.py 127.0.0.1:7100`."""

import sys

from twisted.internet import task
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint

from myrtlehub.client import Ask
from myrtlehub.client.tx import Client
from myrtlehub.rpc.channel import Channel


@inlineCallbacks
def main(reactor: object, address: str) -> object:
    """Ask one question and print the answer."""
    host, port = address.rsplit(":", 1)
    channel = Channel(reactor, TCP4ClientEndpoint(reactor, host, int(port)).connect, address)
    client = Client(channel, reactor)
    stream = client.generate(
        Ask("ask", prompt_tokens=3000, most_output=60, repeats="repeatable", within=20.0),
        lambda ids: print(*ids, end=" ", flush=True),
    )
    answer = yield stream.done
    print(f"\n{answer.tokens} tokens in {answer.tries} tries")
    channel.close()


task.react(main, sys.argv[1:])
