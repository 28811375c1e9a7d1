"""The organisations that send requests, their keys, and the authentication of a request."""

from typing import NamedTuple

# Separates the priorities of routes from those of organisations in one number; the priorities of
# routes are small integers.
_ROUTE_PRIORITY_SHARE = 0.001


class Organisation(NamedTuple):
    """An organisation whose callers are authenticated by its keys.

    :param name: the organisation's name.
    :param priority: 0 is the highest; None if its routes' priorities apply.
    :param rate_per_s: its quota over all nodes, in requests a second; None for no limit.
    :param burst: how many requests above the rate it may send at once.
    """

    name: str
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float = 0.0


class OrganisationTable:
    """The organisations of one configuration, by name and by key.

    :param organisations: the :class:`Organisation` list; names are unique.
    :param names_by_key: the organisation's name of each key, as bytes.
    """

    def __init__(self, organisations, names_by_key):
        self._organisations = {one.name: one for one in organisations}
        self._by_key = {key: self._organisations[name] for key, name in names_by_key.items()}

    def __iter__(self):
        return iter(self._organisations.values())

    def __len__(self):
        return len(self._organisations)

    def get(self, name):
        """Find an organisation by its name.

        :param name: the name.
        :return: the :class:`Organisation`, or None.
        """
        return self._organisations.get(name)

    def find(self, key):
        """Find the organisation that holds a key.

        :param key: the key, as bytes.
        :return: the :class:`Organisation`, or None.
        """
        return self._by_key.get(key)


class Authentication(NamedTuple):
    """The result of the authentication of a request.

    :param is_allowed: whether the request may run.
    :param organisation: the :class:`Organisation` for which it runs, or None.
    """

    is_allowed: bool
    organisation: Organisation | None = None


def authenticate(organisations, route, key):
    """Authenticate a request by its key; requests on public routes need none.

    :param organisations: the :class:`OrganisationTable` in force; None if none are configured.
    :param route: the request's :class:`~camphorshelf_core.routes.Route`.
    :param key: the key that the caller sent, as bytes; None without one.
    :return: an :class:`Authentication`.
    """
    if organisations is None or route.is_public:
        return Authentication(True)
    organisation = None if key is None else organisations.find(key)
    return Authentication(organisation is not None, organisation)


def request_priority(route, organisation, has_organisations):
    """Compute the priority of a request among all others of its target.

    The organisation's priority goes first and the route's decides among equals. A request without
    an organisation, such as a call that a target makes, has its route's priority for both.

    :param route: the request's :class:`~camphorshelf_core.routes.Route`.
    :param organisation: its :class:`Organisation`, or None.
    :param has_organisations: whether any organisation is configured.
    :return: a number; the smallest is the most urgent.
    """
    if not has_organisations:
        return route.priority
    first = route.priority
    if organisation is not None and organisation.priority is not None:
        first = organisation.priority
    return first + route.priority * _ROUTE_PRIORITY_SHARE
