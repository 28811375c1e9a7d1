"""Routes: select the service for a request and hold its timeouts, retries and priority."""

from typing import NamedTuple

from .organisations import OrganisationTable

# Weights are usually percentages, for which the rotation repeats after at most 100 requests.
_MAX_START_OFFSET = 100


class WeightedService(NamedTuple):
    """One service of a route and its share of the route's requests.

    :param service: the service's name.
    :param weight: its share, relative to the route's other services.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for one host and path prefix are served.

    :param name: the route's name, unique in its configuration.
    :param host: the host in lower case, without a port.
    :param prefix: the path prefix; starts and ends with a slash.
    :param idempotent: whether a request may run more than once.
    :param attempts: the maximum number of targets that one request may be sent to.
    :param timeout_s: seconds after which the caller gets an error instead of an answer.
    :param objective_s: the latency objective in seconds.
    :param priority: 0 is the highest priority.
    :param weighted_services: a tuple of :class:`WeightedService` that share the route's requests.
    :param is_public: whether requests need no organisation's key.
    :param is_large: whether responses may be large and are streamed.
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
    is_public: bool = False
    is_large: bool = False


class ServiceSettings(NamedTuple):
    """The settings of one service.

    :param health_path: the path at which a target reports its health and load.
    :param cold_rate_per_s: requests per second that a cold target can serve; None for no limit.
    :param cold_s: seconds for which a target stays cold after its start; 0.0 if not configured.
    """

    health_path: str
    cold_rate_per_s: float | None = None
    cold_s: float = 0.0


class EdgeLimits(NamedTuple):
    """Limits on what a caller may send, in bytes, and on how long it may take, in seconds."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class RoutingConfig(NamedTuple):
    """One version of the routing configuration; version numbers only increase.

    :param organisations: an :class:`~camphorshelf_core.organisations.OrganisationTable`; None if no
        organisation is configured, and requests then need no keys.
    """

    version: int
    routes: tuple
    services: dict
    limits: EdgeLimits
    organisations: OrganisationTable | None = None


class RouteTable:
    """Finds the route of a request with one dictionary lookup per slash in its path."""

    def __init__(self, routes):
        self._routes = {(route.host, route.prefix): route for route in routes}
        self._hosts = {route.host for route in routes}

    def find(self, host, path):
        """Find the route with the longest prefix that matches a path.

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
    """Distributes a route's requests over its services by smooth weighted round robin.

    Each service is within one request of its share at any time; a random choice would give a
    service with a share of 10 % between 7 and 13 of 100 requests. Each node starts at a random
    position of the rotation, because otherwise all nodes would send their first request to the
    same service.
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
            credits = self._start_rotation(route)
        return route.weighted_services[_advance(route.weighted_services, credits)].service

    def retain_routes(self, routes):
        """Drop the state of routes and weights that are no longer configured.

        :param routes: the routes of the configuration in force.
        :return: None.
        """
        configured = {(route.name, route.weighted_services) for route in routes}
        self._credits = {key: value for key, value in self._credits.items() if key in configured}

    def _start_rotation(self, route):
        credits = self._credits[route.name, route.weighted_services] = [0.0] * len(
            route.weighted_services
        )
        for _ in range(self._random.randrange(_MAX_START_OFFSET)):
            _advance(route.weighted_services, credits)
        return credits


def _advance(services, credits):
    for index, service in enumerate(services):
        credits[index] += service.weight
    selected = max(range(len(services)), key=credits.__getitem__)
    credits[selected] -= sum(service.weight for service in services)
    return selected
