"""Send one sequence and print its tokens: `python examples/ask_sync.py 127.0.0.1:7100`."""

import sys

from myrtlehub.client import AbortedError, ChatRequest, InvalidRequestError, RejectedError, RetrySemantics
from myrtlehub.client.sync_client import Client

with Client(sys.argv[1]) as client:
    stream = client.generate(
        ChatRequest(
            "ask",
            prompt_tokens=400,
            max_output_tokens=60,
            retry_semantics=RetrySemantics.IDEMPOTENT,
            timeout=20.0,
        )
    )
    try:
        for ids in stream:
            print(*ids, end=" ", flush=True)
        print(f"\n{stream.answer.tokens} tokens in {stream.answer.attempts} attempts")
    except RejectedError as error:
        sys.exit(f"rejected, nothing ran; retry after {error.retry_after:g} s")
    except AbortedError as error:
        sys.exit(f"aborted after {error.tokens_received} tokens: {error}")
    except InvalidRequestError as error:
        sys.exit(f"malformed: {error}")
