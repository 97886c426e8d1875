"""The state of a node as a message: its program, settings, sequences and endpoint list."""

import os

from myrtlehub.membership.endpoint_watcher import EndpointWatcher
from myrtlehub.membership.validation import ListValidator
from myrtlehub.node.admin.interfaces import AdministeredNode
from myrtlehub.node.admin.orders import OrderHandlers
from myrtlehub.node.endpoint_index import EndpointIndex
from myrtlehub.node.revision import settings_digest
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rollout.node_orders import FORMAT_VERSION


def node_state(node: AdministeredNode, orders: OrderHandlers) -> pb.NodeState:
    """Return the state of a node."""
    now = node.clock.seconds()
    executor = node.executor
    state = pb.NodeState(
        program=node.program_digest,
        settings=settings_digest(node.settings),
        run=node.incarnation,
        pid=os.getpid(),
        age=now - node.started_at,
        leaving=node.is_draining,
        proven=node.has_answered_with_settings,
        generation=orders.validator.generation,
        controller=orders.validator.controller,
        format=FORMAT_VERSION,
        staged=orders.staged.digest if orders.staged else "",
        by_old=node.replaced_sequence_count(),
        list_version=executor.list_version,
        sequences=len(executor.in_flight),
        attempts_out=executor.outstanding_attempt_count(),
        taken=executor.accepted_count,
        answered=dict(executor.answer_counts),
        engines=_listed_engines(executor.decoder.engines),
    )
    source = node.endpoint_source
    if isinstance(source, EndpointWatcher):  # only a list that comes from files is validated
        _add_list_state(state, source.validator, now)
    return state


def _listed_engines(engines: EndpointIndex) -> list[pb.ListedEngine]:
    endpoints = [
        engines.endpoints[index]
        for index in engines.index_by_address.values()
        if not engines.is_removed(index)
    ]
    return [
        pb.ListedEngine(
            address=endpoint.address,
            state=endpoint.state,
            kind=endpoint.kind,
            zone=endpoint.zone,
            cell=endpoint.cell,
            weight=endpoint.weight,
            model=endpoint.model,
        )
        for endpoint in endpoints
    ]


def _add_list_state(state: pb.NodeState, validator: ListValidator, now: float) -> None:
    state.refused.extend(
        pb.Refusal(age=now - rejection.rejected_at, source=rejection.source, why=rejection.reason)
        for rejection in validator.rejections
    )
    version = validator.version
    if version is not None:
        state.list_source = version.source
        state.list_age = validator.version_age(now)
        state.list_digest = version.digest
        state.list_old = version.is_from_store
