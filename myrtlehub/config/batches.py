"""Batches of embeddings and rerank."""

from myrtlehub.config.field_types import Count, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration, Size, Tokens


class BatchConfig(ConfigModel):
    """Batches: how they are cut, gathered and kept."""

    least_part: Tokens = 2000.0  # below this a part costs more to send than it saves
    gather: Duration = 0.004  # small requests wait so long at most to be gathered; 0: never
    gather_tokens: Tokens = 1000.0  # a group of this size is sent at once
    gather_items: Count = 32
    gather_left: Share = 0.8  # of a request's time left, that must remain when it is sent
    keep: Size = 64 * 2**20  # bytes of cached vectors, over all tenants; 0: none
    most_items: Count = 4096  # of one request
