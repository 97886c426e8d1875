"""Embed three texts and sort them by a question: `python examples/embed_and_rank.py 127.0.0.1:7100`."""

import sys

from myrtlehub.client import NotAnswered
from myrtlehub.client.batches import BadInput, BatchAsk, Batches

TEXTS = [b"The invoice was paid in March.", b"Cats sleep most of the day.", b"VAT is due each quarter."]

with Batches(sys.argv[1]) as batches:
    try:
        for text, vector in zip(TEXTS, batches.embed(TEXTS, BatchAsk("vec"), normalise=True), strict=True):
            bad = isinstance(vector, BadInput)
            shown = vector.said if bad else f"{len(vector)} numbers, the first {vector[0]:+.3f}"
            print(f"{text.decode()}: {shown}")
        print(f"made by {batches.model}")
        for place in batches.rank(b"When is tax due?", TEXTS, BatchAsk("sort"), top=2):
            print(f"{place.score:.3f} {TEXTS[place.index].decode()}")
    except NotAnswered as fault:
        sys.exit(f"{type(fault).__name__.lower()}: {fault}")
