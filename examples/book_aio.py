"""Book an entry, which must never run twice, with asyncio: `python examples/book_aio.py 127.0.0.1:7100`."""

import asyncio
import sys

from myrtlehub.client import Aborted, Ask, Rejected
from myrtlehub.client.aio import Client


async def main(address: str) -> None:
    """Book one entry at the node of this address."""
    async with Client(address) as client:
        stream = client.generate(
            Ask("post", prompt_tokens=900, most_output=40, mark="invoice-1044", within=20.0)
        )
        try:
            async for ids in stream:
                print(*ids, end=" ", flush=True)
            print(f"\nbooked: {stream.answer.tokens} tokens")
        except Rejected:
            sys.exit("not booked; it may be tried again")
        except Aborted as fault:
            sys.exit(f"it may have been booked: look before trying again ({fault})")


asyncio.run(main(sys.argv[1]))
