"""Settings of batches of embeddings and rerank: `batches` in a node's file."""

from myrtlehub.config.field_types import Count, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration, Size, Tokens


class BatchConfig(ConfigModel):
    """How requests are split into parts, merged into groups, and how their results are cached."""

    least_part: Tokens = 2000.0  # smallest part; sending a smaller one would cost more time than it saves
    gather: Duration = 0.004  # longest time that a small request waits to be merged; 0: it never waits
    gather_tokens: Tokens = 1000.0  # a group is sent as soon as it has this size
    gather_items: Count = 32  # a group is sent as soon as it has this many items
    gather_left: Share = 0.8  # fraction of a request's time left that must remain when it is sent
    keep: Size = 64 * 2**20  # bytes of cached results, of all tenants together; 0: no cache
    most_items: Count = 4096  # largest number of items of one request
