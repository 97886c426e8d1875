"""Changes of the endpoint list that clients of the admin service push."""

from pydantic import ValidationError

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.node import check_endpoints
from myrtlehub.membership.endpoint_source import StaticEndpointSource
from myrtlehub.node.admin.interfaces import AdministeredNode
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rpc.status import Code, RpcError

DEFAULT_WEIGHT = 1.0
DEFAULT_STATE = "serving"


def push_endpoint_list(node: AdministeredNode, data: bytes) -> pb.ListTaken:
    """Apply a complete list or a change of it; if one endpoint is invalid, nothing is applied.

    Raises:
        RpcError: the node's settings do not allow pushing the list, or an endpoint is invalid.
    """
    if not node.settings.list.pushed:
        raise RpcError(Code.FAILED_PRECONDITION, "list.pushed is no in this node's file")
    message = pb.ListNews.FromString(data)
    try:
        endpoints = [_endpoint(engine) for engine in message.engines]
        check_endpoints(node.settings, endpoints)
    except ValueError as error:
        raise RpcError(Code.INVALID_ARGUMENT, _error_message(error)) from error
    source = node.endpoint_source
    if not isinstance(source, StaticEndpointSource):
        raise RpcError(Code.FAILED_PRECONDITION, "list.files: this node's list comes from files")
    source.push(endpoints, message.whole)
    return pb.ListTaken(version=node.executor.list_version)


def _endpoint(engine: pb.ListedEngine) -> EndpointConfig:
    return EndpointConfig.model_validate(
        {
            "address": engine.address,
            "kind": engine.kind,
            "zone": engine.zone,
            "cell": engine.cell,
            "weight": engine.weight or DEFAULT_WEIGHT,
            "state": engine.state or DEFAULT_STATE,
            "age": f"{engine.age:.6f}s",
            "model": engine.model,
        }
    )


def _error_message(error: ValueError) -> str:
    if not isinstance(error, ValidationError):
        return str(error)
    first = error.errors()[0]
    return f"{first['loc'][0]}: {first['msg']} (found {first['input']!r})"
