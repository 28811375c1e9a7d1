"""What an entry node learns of each route: how long its work runs, and how long callers wait."""

# A new route's work is taken to run so long until the first answers tell.
_FIRST_WORK_SECONDS = 0.1
_SMOOTHING = 0.05
_FIRST_SAMPLES = 10


class RouteFacts:
    """Running figures of one route.

    :param work_s: mean time at a target, as if its slowness had been 1.0.
    """

    __slots__ = ("work_s", "longest_wait_s", "_samples")

    def __init__(self, objective_s):
        self.work_s = min(_FIRST_WORK_SECONDS, objective_s / 2)
        self.longest_wait_s = 0.0
        self._samples = 0

    def note_work(self, seconds):
        """Take in how long a request ran.

        :param seconds: its time, as if the slowness had been 1.0.
        :return: None.
        """
        self._samples += 1
        weight = max(_SMOOTHING, 1 / (self._samples + 1)) if self._samples < _FIRST_SAMPLES else 0
        self.work_s += (weight or _SMOOTHING) * (seconds - self.work_s)

    def elapsed_before(self, wait_s):
        """Tell how long a caller has waited already, over its earlier attempts.

        A caller that retries after a refusal says a shorter wait than others of its route: the
        difference is the time that has elapsed. Its objective counts from its first attempt.

        :param wait_s: how long it waits now.
        :return: seconds.
        """
        self.longest_wait_s = max(self.longest_wait_s, wait_s)
        return self.longest_wait_s - wait_s


class RouteBook:
    """The facts of all routes, by name."""

    def __init__(self):
        self._facts = {}

    def facts(self, route):
        """Find the facts of a route.

        :param route: the :class:`~camphorshelf_core.routes.Route`.
        :return: its :class:`RouteFacts`.
        """
        facts = self._facts.get(route.name)
        if facts is None:
            facts = self._facts[route.name] = RouteFacts(route.objective_s)
        return facts

    def keep(self, routes):
        """Forget routes that are no longer configured.

        :param routes: the routes in force.
        :return: None.
        """
        live = {route.name for route in routes}
        self._facts = {name: facts for name, facts in self._facts.items() if name in live}
