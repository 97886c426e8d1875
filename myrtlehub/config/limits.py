"""Limits on clients."""

from typing import Literal

from myrtlehub.config.field_types import Count, NotNegative, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration, Size


class LimitsConfig(ConfigModel):
    """Limits on clients."""

    held_bytes: Size = 256 * 2**20  # that a node uses for clients: their requests, and what waits for them
    peer_share: Share = 0.25  # of that, for one peer's address
    tenant_share: Share = 0.5  # of that, for one tenant
    least_rate: NotNegative = 50.0  # bytes a second that a peer has to take of what waits for it; 0: any
    rate_window: Duration = 5.0  # over which that is judged
    linger: Duration = 5.0  # until a client that does not take its last answer is reset
    admit: bool = False  # admission control: sequences are queued, and shed by utility, as latency grows
    retries: NotNegative | Literal["any"] = "any"  # that a tenant may send for each first attempt
    connections: Count = 4000
    peer_connections: Count = 1000  # of one peer's address
    idle: Duration = 300.0  # a connection without calls is closed after this; 0: never
