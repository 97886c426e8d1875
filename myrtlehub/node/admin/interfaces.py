"""The interface of a node for its admin service."""

from typing import Protocol

from myrtlehub.clock import Clock
from myrtlehub.config.node import NodeConfig
from myrtlehub.log_events import Log
from myrtlehub.membership.endpoint_source import StaticEndpointSource
from myrtlehub.membership.endpoint_watcher import EndpointWatcher
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.client_limits import ClientLimits
from myrtlehub.node.traffic_counters import TrafficCounters


class AdministeredNode(Protocol):
    """The interface of a node for its admin service."""

    clock: Clock
    log: Log
    incarnation: str
    program_digest: str
    started_at: float
    counters: TrafficCounters
    is_draining: bool

    @property
    def settings(self) -> NodeConfig:
        """The settings that apply to new sequences."""

    @property
    def executor(self) -> ActionExecutor:
        """The action executor that runs with these settings."""

    @property
    def client_limits(self) -> ClientLimits:
        """The limits on clients that these settings define."""

    @property
    def endpoint_source(self) -> StaticEndpointSource | EndpointWatcher:
        """The source of the endpoint list."""

    @property
    def has_answered_with_settings(self) -> bool:
        """Whether the node has an endpoint list and has completed an answer with these settings."""

    def replaced_sequence_count(self) -> int:
        """Return the number of in-flight sequences that run with settings that have been replaced."""

    def apply(self, settings: NodeConfig) -> None:
        """Apply validated settings to all sequences that begin from now on."""

    def request_drain(self) -> None:
        """Start the graceful shutdown of the process."""
