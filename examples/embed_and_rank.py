"""Embed three texts and rank them for a query: `python examples/embed_and_rank.py 127.0.0.1:7100`."""

import sys

from myrtlehub.client import AnswerError
from myrtlehub.client.batch_client import BatchClient, BatchOptions, InputError

TEXTS = [b"The invoice was paid in March.", b"Cats sleep most of the day.", b"VAT is due each quarter."]

with BatchClient(sys.argv[1]) as client:
    try:
        for text, vector in zip(TEXTS, client.embed(TEXTS, BatchOptions("vec"), normalise=True), strict=True):
            if isinstance(vector, InputError):
                print(f"{text.decode()}: {vector.reason}")
            else:
                print(f"{text.decode()}: {len(vector)} numbers, the first {vector[0]:+.3f}")
        print(f"made by {client.model}")
        for document in client.rank(b"When is tax due?", TEXTS, BatchOptions("sort"), top=2):
            print(f"{document.score:.3f} {TEXTS[document.index].decode()}")
    except AnswerError as error:
        sys.exit(f"{error.outcome}: {error}")
