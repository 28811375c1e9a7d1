"""What each host tells the others of itself, and what a node holds of the others.

Load pattern: a target's speed and load change several times a second, so a report that is a
second old is as likely wrong as right. Each node watches its own target closely and tells the
others when something changed that would change their choice; a host that falls silent is used
only when no other is left.
"""

from typing import NamedTuple

# A host repeats its status at least this often, and in large systems less, so that repeats cost at
# most 150 datagrams a second. Three silent periods in a row mean a frozen or cut-off host (or three
# lost datagrams, which at 3 % loss happens once in 37,000).
_REPEAT_SECONDS = 0.2
_REPEATS_PER_SECOND = 150
_SILENT_PERIODS = 3.25
# Past this a host counts as gone: it takes no part in the choice of store watchers and budgets.
GONE_SECONDS = 3.0
# Addresses of silent hosts are kept so long and tried at a low rate; a partition may heal.
FORGOTTEN_SECONDS = 60.0
_INCARNATIONS_KEPT = 8


def repeat_seconds(hosts):
    """Tell how often a host repeats its status.

    :param hosts: how many others it tells.
    :return: seconds.
    """
    return max(_REPEAT_SECONDS, hosts / _REPEATS_PER_SECOND)


def silent_seconds(hosts):
    """Tell after which time without a status a host is used only when no other is left.

    :param hosts: how many others each host tells.
    :return: seconds.
    """
    return repeat_seconds(hosts) * _SILENT_PERIODS


class HostStatus(NamedTuple):
    """One host's word on itself.

    :param host: its name.
    :param incarnation: drawn anew at each start of its node.
    :param sequence: grows with each status of one incarnation.
    :param domain: its failure domain.
    :param address: where its node takes links, as ``ip:port``.
    :param service: the service of the target beside it; empty when unknown.
    :param instance: the running target's id; empty when there is none.
    :param accepting: whether its node lets new work in.
    :param warming_s: for how long the target stays slow after its start.
    :param limit: how many requests may run at once.
    :param running: how many run.
    :param queued: how many wait for one of those to end.
    :param slowness: how long work takes there now, 1.0 as usual.
    :param work_s: mean time of a request there, as if the slowness were 1.0; 0.0 unknown.
    :param failing: share of recent requests that failed.
    :param config_version: the configuration in force there; 0 for none.
    :param store_age_s: seconds since the store last answered its node; below 0 for never.
    :param crashes: pairs of a request's fingerprint and how often the target crashed under it.
    """

    host: str
    incarnation: str
    sequence: int
    domain: str
    address: str
    service: str
    instance: str
    accepting: bool
    warming_s: float
    limit: int
    running: int
    queued: int
    slowness: float
    work_s: float
    failing: float
    config_version: int
    store_age_s: float
    crashes: tuple = ()


class HostView:
    """One other host as this node sees it."""

    __slots__ = ("status", "heard_at", "unseen", "past")

    def __init__(self):
        self.status = None
        self.heard_at = None
        # Own requests sent there since its last status, which cannot count them yet.
        self.unseen = 0
        self.past = []

    def take(self, status, now):
        """Take in a status unless it is older than the one held.

        :param status: the :class:`HostStatus`.
        :param now: seconds on the monotonic clock.
        :return: whether it was newer.
        """
        held = self.status
        if held is not None:
            if status.incarnation == held.incarnation:
                if status.sequence <= held.sequence:
                    return False
            elif status.incarnation in self.past:
                # A datagram of the process before, overtaken by its successor's.
                return False
            else:
                self.past = [*self.past[1 - _INCARNATIONS_KEPT :], held.incarnation]
        self.status = status
        self.heard_at = now
        self.unseen = 0
        return True


class HostDirectory:
    """All other hosts that this node knows, by their links' address."""

    def __init__(self):
        self._views = {}
        self._known_at = {}

    @property
    def addresses(self):
        """The addresses of all known hosts."""
        return list(self._known_at)

    def learn(self, address, now):
        """Take note of a host's address.

        :param address: its links' address.
        :param now: seconds on the monotonic clock.
        :return: whether it is new.
        """
        if address in self._known_at:
            return False
        self._known_at[address] = now
        return True

    def take(self, status, now):
        """Take in a status.

        :param status: the :class:`HostStatus`.
        :param now: seconds on the monotonic clock.
        :return: whether it is newer than what was held.
        """
        self._known_at[status.address] = now
        view = self._views.get(status.address)
        if view is None:
            view = self._views[status.address] = HostView()
        return view.take(status, now)

    def view(self, address):
        """Find what is held of a host.

        :param address: its links' address.
        :return: the :class:`HostView`, or None.
        """
        return self._views.get(address)

    def views(self):
        """List what is held of all hosts that were heard.

        :return: the views.
        """
        return self._views.values()

    def heard(self, address, now, seconds):
        """Tell whether a host was heard lately.

        :param address: its links' address.
        :param now: seconds on the monotonic clock.
        :param seconds: what counts as lately.
        :return: True or False.
        """
        view = self._views.get(address)
        return view is not None and now - view.heard_at <= seconds

    def live(self, now):
        """List the hosts that are not gone.

        :param now: seconds on the monotonic clock.
        :return: their views.
        """
        return [view for view in self._views.values() if now - view.heard_at <= GONE_SECONDS]

    def forget_silent(self, now):
        """Drop hosts that were silent for long.

        :param now: seconds on the monotonic clock.
        :return: the dropped addresses.
        """
        old = [address for address, at in self._known_at.items() if now - at > FORGOTTEN_SECONDS]
        for address in old:
            del self._known_at[address]
            self._views.pop(address, None)
        return old
