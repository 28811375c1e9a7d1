"""Tracks for how long what operators have written may be unknown to a node.

A contact is a moment at which the store had nothing newer than the node itself. The store's
response to the node's poll is one; another node's report passes its contact on. A node whose last
contact is old has to poll the store itself, and may refuse to authenticate requests.
"""

import math
from typing import NamedTuple


class RevocationSettings(NamedTuple):
    """How a node treats keys that may have been removed without its knowledge.

    :param is_strict: whether it refuses requests for which a key is needed when it has had no
        contact for too long.
    :param revoke_s: the longest time without contact, in seconds.
    """

    is_strict: bool = False
    revoke_s: float = 5.0


class StoreContact:
    """The last contact of one node, direct or through others."""

    def __init__(self):
        self._at = -math.inf

    @property
    def at(self):
        """When the last contact was, in seconds on the monotonic clock; -inf without any."""
        return self._at

    def record_response(self, sent_at):
        """Record a response of the store; its version must have been applied.

        The contact counts from when the poll was sent. A node that was suspended in between would
        otherwise take an old response for a new one.

        :param sent_at: when the poll was sent, in seconds on the monotonic clock.
        :return: None.
        """
        self._at = max(self._at, sent_at)

    def record_report(self, is_outdated, age_s, now):
        """Record another node's report of its contact.

        A report of something newer is no contact until this node has that as well.

        :param is_outdated: whether the reporting node has something newer than this node.
        :param age_s: how old its contact was, in seconds.
        :param now: seconds on the monotonic clock.
        :return: whether the report counted.
        """
        if is_outdated:
            return False
        self._at = max(self._at, now - age_s)
        return True

    def age_s(self, now):
        """Compute the age of the last contact.

        :param now: seconds on the monotonic clock.
        :return: seconds; infinite without any contact.
        """
        return now - self._at

    def is_stale(self, settings, now):
        """Tell whether requests for which a key is needed must be refused.

        :param settings: the :class:`RevocationSettings`.
        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return settings.is_strict and self.age_s(now) > settings.revoke_s
