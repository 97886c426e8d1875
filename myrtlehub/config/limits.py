"""Settings of the limits on clients: `limits` in a node's file."""

from typing import Literal

from myrtlehub.config.field_types import Count, NotNegative, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration, Size


class LimitsConfig(ConfigModel):
    """Limits on the memory, rates and connections of clients, by peer address and by tenant."""

    held_bytes: Size = 256 * 2**20  # memory for requests and for answers that clients have not read yet
    peer_share: Share = 0.25  # fraction of `held_bytes` that one peer address may use
    tenant_share: Share = 0.5  # fraction of `held_bytes` that one tenant may use
    least_rate: NotNegative = 50.0  # bytes per second that a peer must read of queued data; 0: any rate
    rate_window: Duration = 5.0  # window over which the rate of a peer is measured
    linger: Duration = 5.0  # time after which a client that does not read its last answer is reset
    admit: bool = False  # admission control: as latency grows, sequences are queued, and shed by utility
    retries: NotNegative | Literal["any"] = "any"  # retries that a tenant may send per first attempt
    connections: Count = 4000  # largest number of connections of all clients together
    peer_connections: Count = 1000  # largest number of connections of one peer address
    idle: Duration = 300.0  # time after which a connection without calls is closed; 0: never
