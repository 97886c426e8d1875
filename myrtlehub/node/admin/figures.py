"""The counters of a node since its start, as a message that canary analysis compares between nodes."""

from myrtlehub.membership.endpoint_source import EndpointSource
from myrtlehub.node.admin.interfaces import AdministeredNode
from myrtlehub.node.process_usage import cpu_seconds, resident_memory
from myrtlehub.node.traffic_counters import TrafficTypeCounters
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rollout.node_orders import FORMAT_VERSION


def node_figures(node: AdministeredNode) -> pb.NodeFigures:
    """Return the counters of a node."""
    return pb.NodeFigures(
        format=FORMAT_VERSION,
        run=node.incarnation,
        memory=resident_memory(),
        processor=cpu_seconds(),
        age=node.clock.seconds() - node.started_at,
        engines=_serving_engines_by_zone(node.endpoint_source),
        traffic=[
            _traffic_figures(name, counters) for name, counters in sorted(node.counters.by_type.items())
        ],
    )


def _serving_engines_by_zone(source: EndpointSource) -> dict[str, int]:
    counts: dict[str, int] = {}
    for endpoint in source.endpoints():
        is_serving = endpoint.state == "serving" and endpoint.weight > 0.0
        counts[endpoint.zone] = counts.get(endpoint.zone, 0) + is_serving
    return counts


def _traffic_figures(name: str, counters: TrafficTypeCounters) -> pb.TrafficFigures:
    histogram = counters.first_token_histogram
    return pb.TrafficFigures(
        name=name,
        asked=counters.requests,
        utility=counters.offered_utility,
        served=counters.earned_utility,
        answers=counters.answers,
        attempts=counters.attempts,
        begun=histogram.total_count,
        first_log=counters.first_token_log_sum,
        first={
            bucket.value_iterated_to: bucket.count_at_value_iterated_to
            for bucket in histogram.get_recorded_iterator()
        },
    )
