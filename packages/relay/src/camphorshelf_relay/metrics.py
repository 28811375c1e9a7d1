"""Counters, gauges and latency histograms, read by OpenTelemetry when somebody pulls them.

Counts stand in plain numbers where they arise and are observed at each pull; only latencies are
recorded one by one, 18 us each, at some 50 a second on a busy node.
"""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
# From what a node adds by itself up to the longest time that a caller waits.
_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
# Routes come and go with configurations; a series for each that ever was would only grow.
_MAX_ROUTES = 100
_OTHER = "other"


class Metrics:
    """What a node tells of itself in numbers."""

    def __init__(self):
        aggregation = ExplicitBucketHistogramAggregation(_BUCKETS)
        self._provider = MeterProvider(
            [PrometheusMetricReader(disable_target_info=True, scope_info_enabled=False)],
            views=[View(instrument_name="camphorshelf.*.duration", aggregation=aggregation)],
            exemplar_filter=AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("camphorshelf")
        self._requests = {}
        self._routes = set()
        self._durations = self._meter.create_histogram(
            "camphorshelf.request.duration",
            unit="s",
            description="From a request's arrival to its answer, by route.",
        )
        self._runs = self._meter.create_histogram(
            "camphorshelf.target.duration",
            unit="s",
            description="Time at the target beside the node, by phase (wait or run).",
        )
        self.count(
            "requests",
            "Requests of callers, by route and outcome.",
            self._requests,
            "route outcome",
        )

    def note_request(self, route, outcome, seconds):
        """Count a request of a caller.

        :param route: its route's name, empty for none.
        :param outcome: the status of a target's answer or the name of a result code.
        :param seconds: from its arrival to its answer.
        :return: None.
        """
        if route not in self._routes:
            if len(self._routes) >= _MAX_ROUTES:
                route = _OTHER
            self._routes.add(route)
        key = route, outcome
        self._requests[key] = self._requests.get(key, 0) + 1
        self._durations.record(seconds, {"route": route})

    def note_run(self, waited_s, ran_s):
        """Count a request that the target beside the node answered.

        :param waited_s: its time in the queue.
        :param ran_s: its time at the target.
        :return: None.
        """
        self._runs.record(waited_s, {"phase": "wait"})
        self._runs.record(ran_s, {"phase": "run"})

    def count(self, name, description, counts, labels):
        """Tell counts that are kept elsewhere.

        :param name: the counter's name behind ``camphorshelf.``.
        :param description: what it tells, in a sentence.
        :param counts: a dict, live, from a label's value (or a tuple of them) to a number.
        :param labels: the labels' names, separated by spaces.
        :return: None.
        """
        names = labels.split()

        def observe(_options):
            for key, value in counts.items():
                values = key if isinstance(key, tuple) else (key,)
                yield Observation(value, dict(zip(names, values, strict=True)))

        self._meter.create_observable_counter(
            f"camphorshelf.{name}", [observe], description=description
        )

    def watch(self, name, description, read):
        """Tell a number that goes both ways.

        :param name: the gauge's name behind ``camphorshelf.``.
        :param description: what it tells, in a sentence.
        :param read: gives the number of this moment.
        :return: None.
        """
        self._meter.create_observable_gauge(
            f"camphorshelf.{name}",
            [lambda _options: [Observation(read())]],
            description=description,
        )

    @staticmethod
    def render():
        """Read everything.

        :return: Prometheus' text form, as bytes.
        """
        return generate_latest(REGISTRY)
