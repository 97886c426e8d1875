"""Ask a question and print the tokens: `python examples/ask_sync.py 127.0.0.1:7100`."""

import sys

from myrtlehub.client import Aborted, Ask, InvalidRequestError, Rejected
from myrtlehub.client.sync import Client

with Client(sys.argv[1]) as client:
    stream = client.generate(Ask("ask", prompt_tokens=400, most_output=60, repeats="repeatable", within=20.0))
    try:
        for ids in stream:
            print(*ids, end=" ", flush=True)
        print(f"\n{stream.answer.tokens} tokens in {stream.answer.tries} tries")
    except Rejected as fault:
        sys.exit(f"rejected, nothing ran; come again in {fault.wait:g} s")
    except Aborted as fault:
        sys.exit(f"aborted after {fault.tokens_seen} tokens: {fault}")
    except InvalidRequestError as fault:
        sys.exit(f"malformed: {fault}")
