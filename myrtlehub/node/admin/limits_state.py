"""The memory charged to clients, and the clients that were disconnected, as a message."""

from myrtlehub.limits.resource_ledger import BudgetScope
from myrtlehub.node.client_limits import ClientLimits
from myrtlehub.proto import admin_pb2 as pb


def limits_state(limits: ClientLimits, now: float) -> pb.LimitsState:
    """Return the state of a node's limits on clients."""
    node_account = limits.ledger.node
    return pb.LimitsState(
        came=node_account.received,
        left=node_account.delivered,
        dropped=node_account.dropped,
        held=node_account.in_use,
        most_held=limits.ledger.limit(BudgetScope.NODE),
        calls=len(limits.calls),
        connections=len({id(limited.call.stream.connection) for limited in limits.calls.values()}),
        near=[
            pb.NearLimit(
                what=near_limit.scope, name=near_limit.name, held=near_limit.in_use, most=near_limit.limit
            )
            for near_limit in limits.near_limits()
        ],
        cuts=[
            pb.Cut(
                age=now - disconnection.at,
                peer=disconnection.peer,
                tenant=disconnection.tenant,
                why=disconnection.reason,
            )
            for disconnection in limits.recent_disconnects
        ],
        counts=limits.counts,
    )
