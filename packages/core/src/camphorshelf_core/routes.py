"""Routes: which service a request goes to, and on which terms."""

from typing import NamedTuple

# Weights are mostly percentages: the turns repeat after 100 at the latest.
_FIRST_TURNS = 100


class WeightedService(NamedTuple):
    """One service of a route and its share of the route's requests.

    :param service: the service's name.
    :param weight: its share, relative to the route's other parts.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """The terms on which requests of one host and path prefix are served.

    :param name: the route's name, unique in its configuration.
    :param host: the host in lower case, without a port.
    :param prefix: starts and ends with a slash.
    :param idempotent: whether a request may run more than once.
    :param attempts: the most targets that one request may be handed to.
    :param timeout_s: the longest time that a caller is kept waiting.
    :param objective_s: the latency objective, within which an answer is worth most to its caller.
    :param priority: 0 is served first.
    :param weighted_services: the services that share the route's requests.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    attempts: int
    timeout_s: float
    objective_s: float
    priority: int
    weighted_services: tuple


class ServiceSettings(NamedTuple):
    """What is configured for one service.

    :param health_path: the path that tells a target's health and load.
    :param cold_rate_per_s: requests a second that a cold target bears; None for no limit.
    :param cold_s: seconds for which a target stays cold; 0.0 when that is not configured.
    """

    health_path: str
    cold_rate_per_s: float | None = None
    cold_s: float = 0.0


class EdgeLimits(NamedTuple):
    """Bounds on what a caller may send and how long it may take."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class RoutingConfig(NamedTuple):
    """One version of all that operators have configured; versions only grow."""

    version: int
    routes: tuple
    services: dict
    limits: EdgeLimits


class RouteTable:
    """Finds the route of a request in one dictionary lookup for each slash of its path."""

    def __init__(self, routes):
        self._routes = {(route.host, route.prefix): route for route in routes}
        self._hosts = {route.host for route in routes}

    def find(self, host, path):
        """Find the route with the longest prefix of a path.

        :param host: the request's host in lower case, without a port.
        :param path: the request's path, without a query.
        :return: the :class:`Route`, or None.
        """
        if host not in self._hosts:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


class ServicePicker:
    """Shares a route's requests among its parts, as exactly as whole requests allow.

    Random draws would leave a part of 10 % with 7 to 13 of 100 requests; here each part is within
    one request of its share at any time (smooth weighted round robin). Each node starts at a turn
    that is drawn, or all nodes would send their first request to the same part.
    """

    def __init__(self, random):
        self._random = random
        self._credits = {}

    def pick(self, route):
        """Choose the service for one request.

        :param route: the :class:`Route`.
        :return: the service's name.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credits = self._credits.get((route.name, route.weighted_services))
        if credits is None:
            credits = self._start(route)
        return route.weighted_services[_take_turn(route.weighted_services, credits)].service

    def retain_routes(self, routes):
        """Forget routes and weights that are no longer configured.

        :param routes: the routes in force.
        :return: None.
        """
        live = {(route.name, route.weighted_services) for route in routes}
        self._credits = {key: value for key, value in self._credits.items() if key in live}

    def _start(self, route):
        credits = self._credits[route.name, route.weighted_services] = [0.0] * len(route.weighted_services)
        for _ in range(self._random.randrange(_FIRST_TURNS)):
            _take_turn(route.weighted_services, credits)
        return credits


def _take_turn(parts, credits):
    for index, part in enumerate(parts):
        credits[index] += part.weight
    best = max(range(len(parts)), key=credits.__getitem__)
    credits[best] -= sum(part.weight for part in parts)
    return best
