"""Statistics that an entry node keeps per route: the service time and the longest timeout."""

# Assumed service time of a new route until the first answers arrive.
_INITIAL_WORK_SECONDS = 0.1
# Weight of a new sample in the moving average. The first samples have a higher weight: they and the
# assumed time count equally, so that the assumed time soon matters little.
_SMOOTHING = 0.05
_FIRST_SAMPLES = 10


class RouteStats:
    """Statistics of one route.

    :ivar work_s: moving average of the service time at a target in seconds, normalised to a
        slowness of 1.0.
    :ivar longest_timeout_s: the longest timeout that a caller has announced, in seconds.
    """

    __slots__ = ("work_s", "longest_timeout_s", "_samples")

    def __init__(self, objective_s):
        self.work_s = min(_INITIAL_WORK_SECONDS, objective_s / 2)
        self.longest_timeout_s = 0.0
        self._samples = 0

    def record_work(self, seconds):
        """Add the service time of one request.

        :param seconds: the service time in seconds, normalised to a slowness of 1.0.
        :return: None.
        """
        self._samples += 1
        weight = max(_SMOOTHING, 1 / (self._samples + 1)) if self._samples < _FIRST_SAMPLES else 0
        self.work_s += (weight or _SMOOTHING) * (seconds - self.work_s)

    def estimate_elapsed(self, timeout_s):
        """Record a caller's timeout, and estimate how long its earlier attempts took.

        A caller that retries after a refusal announces a shorter timeout than other callers of the
        route; the difference is the time that has elapsed. The latency objective counts from the
        caller's first attempt.

        :param timeout_s: the timeout that the caller announces for this attempt, in seconds.
        :return: the elapsed time in seconds.
        """
        self.longest_timeout_s = max(self.longest_timeout_s, timeout_s)
        return self.longest_timeout_s - timeout_s


class RouteStatsTable:
    """The statistics of all routes, by route name."""

    def __init__(self):
        self._stats = {}

    def get(self, route):
        """Return the statistics of a route; a route that has none yet gets initial ones.

        :param route: the :class:`~camphorshelf_core.routes.Route`.
        :return: the route's :class:`RouteStats`.
        """
        stats = self._stats.get(route.name)
        if stats is None:
            stats = self._stats[route.name] = RouteStats(route.objective_s)
        return stats

    def retain(self, routes):
        """Drop the statistics of all routes that are not listed.

        :param routes: the configured routes.
        :return: None.
        """
        names = {route.name for route in routes}
        self._stats = {name: stats for name, stats in self._stats.items() if name in names}
