"""Counters, gauges and latency histograms, exported through OpenTelemetry on each scrape.

Components keep their counts in plain dictionaries and numbers, which are read on each scrape. Only
latencies are recorded one by one. OpenTelemetry is imported on the first scrape, because a node
that starts under load needs the CPU time of the import for its callers.
"""

from collections import deque

CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
# Upper bounds of the histogram buckets, from the latency that a node itself adds up to the longest
# time that a caller waits.
_BUCKET_SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
# Routes come and go with configurations. Without a limit, the number of series would only grow.
_MAX_ROUTES = 100
_OTHER_ROUTE = "other"
# Latencies buffered until the first scrape; limits the memory of a node that is never scraped.
_MAX_BUFFERED_DURATIONS = 2_000


class Metrics:
    """The metrics of one node."""

    def __init__(self):
        self._meter = None
        self._pending_instruments = []
        self._requests = {}
        self._routes = set()
        self._request_durations = _DurationHistogram(
            "camphorshelf.request.duration",
            "From a request's arrival to its answer, by route.",
        )
        self._target_durations = _DurationHistogram(
            "camphorshelf.target.duration",
            "Time at the target beside the node, by phase (wait or run).",
        )
        self.add_counter(
            "requests",
            "Requests of callers, by route and outcome.",
            self._requests,
            "route outcome",
        )

    def record_request(self, route, outcome, seconds):
        """Record a caller's request.

        :param route: the name of its route, empty if it has none.
        :param outcome: the HTTP status of a target's response, or the name of a result code.
        :param seconds: the time from its arrival to its response, in seconds.
        :return: None.
        """
        if route not in self._routes:
            if len(self._routes) >= _MAX_ROUTES:
                route = _OTHER_ROUTE
            self._routes.add(route)
        key = route, outcome
        self._requests[key] = self._requests.get(key, 0) + 1
        self._request_durations.record(seconds, {"route": route})

    def record_run(self, waited_s, ran_s):
        """Record a request that the local target answered.

        :param waited_s: the time in the queue, in seconds.
        :param ran_s: the time at the target, in seconds.
        :return: None.
        """
        self._target_durations.record(waited_s, {"phase": "wait"})
        self._target_durations.record(ran_s, {"phase": "run"})

    def add_counter(self, name, description, counts, labels):
        """Add a counter whose values are kept elsewhere.

        :param name: the counter's name without the prefix ``camphorshelf.``.
        :param description: one sentence for the exported help text.
        :param counts: a dict from the label's value (or a tuple of values) to a number; it is read
            on each scrape.
        :param labels: the names of the labels, separated by spaces.
        :return: None.
        """

        def define(meter, observation):
            observe = _make_observer(lambda: counts, labels, observation)
            meter.create_observable_counter(
                f"camphorshelf.{name}", [observe], description=description
            )

        self._pending_instruments.append(define)

    def add_gauge(self, name, description, read):
        """Add a gauge.

        :param name: the gauge's name without the prefix ``camphorshelf.``.
        :param description: one sentence for the exported help text.
        :param read: returns the current value; it is called on each scrape.
        :return: None.
        """

        def define(meter, observation):
            meter.create_observable_gauge(
                f"camphorshelf.{name}",
                [lambda _options: [observation(read())]],
                description=description,
            )

        self._pending_instruments.append(define)

    def add_labelled_gauge(self, name, description, read, labels):
        """Add a gauge with one value for each combination of labels.

        :param name: the gauge's name without the prefix ``camphorshelf.``.
        :param description: one sentence for the exported help text.
        :param read: returns a dict from a tuple of the labels' values to a number; it is called on
            each scrape.
        :param labels: the names of the labels, separated by spaces.
        :return: None.
        """

        def define(meter, observation):
            observe = _make_observer(read, labels, observation)
            meter.create_observable_gauge(
                f"camphorshelf.{name}", [observe], description=description
            )

        self._pending_instruments.append(define)

    def render(self):
        """Render all metrics for a scrape.

        :return: the metrics in the Prometheus text format, as bytes.
        """
        from opentelemetry.metrics import Observation
        from prometheus_client import REGISTRY, generate_latest

        if self._meter is None:
            self._meter = _make_meter()
            self._request_durations.define(self._meter)
            self._target_durations.define(self._meter)
        pending, self._pending_instruments = self._pending_instruments, []
        for define in pending:
            define(self._meter, Observation)
        return generate_latest(REGISTRY)


class _DurationHistogram:
    """A histogram that buffers the latest durations until there is a meter to record them."""

    def __init__(self, name, description):
        self._name = name
        self._description = description
        self._buffer = deque(maxlen=_MAX_BUFFERED_DURATIONS)
        self.record = self._append_to_buffer

    def define(self, meter):
        histogram = meter.create_histogram(self._name, unit="s", description=self._description)
        self.record = histogram.record
        while self._buffer:
            self.record(*self._buffer.popleft())

    def _append_to_buffer(self, seconds, labels):
        self._buffer.append((seconds, labels))


def _make_observer(read, labels, observation):
    names = labels.split()

    def observe(_options):
        for key, value in read().items():
            values = key if isinstance(key, tuple) else (key,)
            yield observation(value, dict(zip(names, values, strict=True)))

    return observe


def _make_meter():
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
    from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View

    aggregation = ExplicitBucketHistogramAggregation(_BUCKET_SECONDS)
    provider = MeterProvider(
        [PrometheusMetricReader(disable_target_info=True, scope_info_enabled=False)],
        views=[View(instrument_name="camphorshelf.*.duration", aggregation=aggregation)],
        exemplar_filter=AlwaysOffExemplarFilter(),
        shutdown_on_exit=False,
    )
    return provider.get_meter("camphorshelf")
