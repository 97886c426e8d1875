"""Memory accounted to clients, and the clients that were disconnected, as a message."""

from myrtlehub.limits.resource_ledger import BudgetScope
from myrtlehub.node.client_limits import ClientLimits
from myrtlehub.proto import admin_pb2 as pb


def limits_state(limits: ClientLimits, now: float) -> pb.LimitsState:
    """Return the state of a node's limits on clients."""
    account = limits.ledger.node
    return pb.LimitsState(
        came=account.received,
        left=account.delivered,
        dropped=account.dropped,
        held=account.in_use,
        most_held=limits.ledger.limit(BudgetScope.NODE),
        calls=len(limits.calls),
        connections=len({id(limited.call.stream.connection) for limited in limits.calls.values()}),
        near=[
            pb.NearLimit(what=near.scope, name=near.name, held=near.in_use, most=near.limit)
            for near in limits.near_limits()
        ],
        cuts=[
            pb.Cut(age=now - cut.at, peer=cut.peer, tenant=cut.tenant, why=cut.reason) for cut in limits.cuts
        ],
        counts=limits.counts,
    )
