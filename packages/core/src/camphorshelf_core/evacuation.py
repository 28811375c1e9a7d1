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

    def lacks(self, changed_at):
        """Tell whether another node knows of a change that is not known here.

        :param changed_at: that node's :attr:`changed_at`.
        :return: True or False.
        """
        return changed_at > self.as_of

    def renew(self, domains, version):
        """Take in what the store holds.

        :param domains: the rows' versions, by failure domain.
        :param version: the store's version for which they hold.
        :return: the :class:`Evacuations` of that version.
        """
        changed_at = self.changed_at if domains == self.domains else version
        return Evacuations(version, changed_at, domains)
