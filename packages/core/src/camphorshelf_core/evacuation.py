"""Failure domains that operators have evacuated: their targets get no requests in the meantime.

Nodes learn of evacuations from the store or from each other, in any order and after any restart. So
all evacuations form one value with the version of the store that it was read at, and of two values
the one with the higher version replaces the other.
"""

from typing import NamedTuple


class Evacuations(NamedTuple):
    """All evacuated failure domains at one version of the store.

    :param as_of: the store's version that this was read at; 0 when nothing is known.
    :param changed_at: the version at which these domains were first seen; 0 when no evacuation was
        ever seen.
    :param domains: the evacuated failure domains, each with the version of its row in the store.
    """

    as_of: int = 0
    changed_at: int = 0
    domains: dict = {}

    def misses_change(self, changed_at):
        """Return whether another node knows of a change that is unknown here.

        :param changed_at: that node's :attr:`changed_at`.
        :return: True or False.
        """
        return changed_at > self.as_of

    def with_updates(self, domains, version):
        """Return the evacuations at a newer version of the store.

        :param domains: the evacuated failure domains, each with the version of its row.
        :param version: the store's version that the rows were read at.
        :return: the :class:`Evacuations` of that version.
        """
        changed_at = self.changed_at if domains == self.domains else version
        return Evacuations(version, changed_at, domains)
