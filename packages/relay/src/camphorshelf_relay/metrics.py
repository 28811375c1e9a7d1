"""Counters, gauges and latency histograms, read by OpenTelemetry when somebody pulls them.

Counts stand in plain numbers where they arise and are observed at each pull; only latencies are
recorded one by one. OpenTelemetry is imported at the first pull: a node that starts under load
needs the import's processor time for callers.
"""

from collections import deque

CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
# From what a node adds by itself up to the longest time that a caller waits.
_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
# Routes come and go with configurations; a series for each that ever was would only grow.
_MAX_ROUTES = 100
_OTHER = "other"
# Latencies that are kept until the first pull; bounds the memory of a node that is never read.
_KEPT_DURATIONS = 2_000


class Metrics:
    """What a node tells of itself in numbers."""

    def __init__(self):
        self._meter = None
        self._undefined = []
        self._requests = {}
        self._routes = set()
        self._durations = _Durations(
            "camphorshelf.request.duration",
            "From a request's arrival to its answer, by route.",
        )
        self._runs = _Durations(
            "camphorshelf.target.duration",
            "Time at the target beside the node, by phase (wait or run).",
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

        def define(meter, observation):
            def observe(_options):
                for key, value in counts.items():
                    values = key if isinstance(key, tuple) else (key,)
                    yield observation(value, dict(zip(names, values, strict=True)))

            meter.create_observable_counter(
                f"camphorshelf.{name}", [observe], description=description
            )

        self._undefined.append(define)

    def watch(self, name, description, read):
        """Tell a number that goes both ways.

        :param name: the gauge's name behind ``camphorshelf.``.
        :param description: what it tells, in a sentence.
        :param read: gives the number of this moment.
        :return: None.
        """

        def define(meter, observation):
            meter.create_observable_gauge(
                f"camphorshelf.{name}",
                [lambda _options: [observation(read())]],
                description=description,
            )

        self._undefined.append(define)

    def render(self):
        """Read everything.

        :return: Prometheus' text form, as bytes.
        """
        from opentelemetry.metrics import Observation
        from prometheus_client import REGISTRY, generate_latest

        if self._meter is None:
            self._meter = _make_meter()
            self._durations.define(self._meter)
            self._runs.define(self._meter)
        undefined, self._undefined = self._undefined, []
        for define in undefined:
            define(self._meter, Observation)
        return generate_latest(REGISTRY)


class _Durations:
    """A histogram that keeps the last durations until there is a meter to record them."""

    def __init__(self, name, description):
        self._name = name
        self._description = description
        self._kept = deque(maxlen=_KEPT_DURATIONS)
        self.record = self._keep

    def define(self, meter):
        histogram = meter.create_histogram(self._name, unit="s", description=self._description)
        self.record = histogram.record
        while self._kept:
            self.record(*self._kept.popleft())

    def _keep(self, seconds, labels):
        self._kept.append((seconds, labels))


def _make_meter():
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
    from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View

    aggregation = ExplicitBucketHistogramAggregation(_BUCKETS)
    provider = MeterProvider(
        [PrometheusMetricReader(disable_target_info=True, scope_info_enabled=False)],
        views=[View(instrument_name="camphorshelf.*.duration", aggregation=aggregation)],
        exemplar_filter=AlwaysOffExemplarFilter(),
        shutdown_on_exit=False,
    )
    return provider.get_meter("camphorshelf")
