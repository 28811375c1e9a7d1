"""Failure domains that operators evacuate: no target there gets a request until they take it back.

Nodes learn of it from the store or from each other, in any order and after any restart. So what is
known of all failure domains is one value with the store's version for which it holds, and of two
values the one for the later version is right.
"""

from typing import NamedTuple


class Evacuations(NamedTuple):
    """All evacuated failure domains, as of one version of the store.

    :param as_of: the store's version for which this holds; 0 when nothing is known.
    :param changed_at: the version at which it was first seen like this; 0 when no domain was ever
        seen evacuated.
    :param domains: the versions of the operators' rows, by failure domain.
    """

    as_of: int = 0
    changed_at: int = 0
    domains: dict = {}


class EvacuationRecord:
    """What a node knows of evacuations, and since when by its own clock."""

    def __init__(self):
        self._held = Evacuations()
        self._since = {}

    @property
    def held(self):
        """The :class:`Evacuations` in force."""
        return self._held

    @property
    def since(self):
        """When this node learned of each, seconds on the monotonic clock by failure domain."""
        return self._since

    @property
    def changed_at(self):
        """What other nodes compare to find out whether this one knows something newer."""
        return self._held.changed_at

    def is_evacuated(self, domain):
        """Tell whether no target of a failure domain may get a request.

        :param domain: its name.
        :return: True or False.
        """
        return domain in self._held.domains

    def is_newer(self, changed_at):
        """Tell whether another node knows of a change that is not known here.

        :param changed_at: that node's :attr:`changed_at`.
        :return: True or False.
        """
        return changed_at > self._held.as_of

    def take_rows(self, domains, version, now):
        """Take in what the store holds.

        :param domains: the rows' versions, by failure domain.
        :param version: the store's version for which they hold.
        :param now: seconds on the monotonic clock.
        :return: whether another set of domains is evacuated than before.
        """
        held = self._held
        changed_at = held.changed_at if domains == held.domains else version
        return self.take(Evacuations(version, changed_at, domains), now)

    def take(self, other, now):
        """Take in what another node knows.

        :param other: its :class:`Evacuations`.
        :param now: seconds on the monotonic clock.
        :return: whether another set of domains is evacuated than before.
        """
        before = self._held
        if other.as_of <= before.as_of:
            return False
        self._held = other
        self._since = {domain: self._since.get(domain, now) for domain in other.domains}
        return other.domains != before.domains
