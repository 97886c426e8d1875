"""Book an entry at most once, with asyncio: `python examples/book_asyncio.py 127.0.0.1:7100`."""

import asyncio
import sys

from myrtlehub.client import AbortedError, ChatRequest, RejectedError
from myrtlehub.client.asyncio_client import Client


async def main(address: str) -> None:
    """Send the booking with an idempotency key, and print its tokens."""
    async with Client(address) as client:
        stream = client.generate(
            ChatRequest(
                "post",
                prompt_tokens=900,
                max_output_tokens=40,
                idempotency_key="invoice-1044",
                timeout=20.0,
            )
        )
        try:
            async for ids in stream:
                print(*ids, end=" ", flush=True)
            print(f"\nbooked: {stream.answer.tokens} tokens")
        except RejectedError:
            sys.exit("not booked; it may be tried again")
        except AbortedError as error:
            sys.exit(f"it may have been booked: look before trying again ({error})")


asyncio.run(main(sys.argv[1]))
