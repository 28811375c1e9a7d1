"""What each host tells the others of itself, and what a node holds of the others.

Load pattern: a target's speed and load change several times a second, so a report that is a
second old is as likely wrong as right. Each node watches its own target closely and tells the
others when something changed that would change their choice; a host that falls silent is used
only when no other is left.
"""

from typing import NamedTuple

# Up to so many others a host tells each change of its load to all of them. Beyond, the words that a
# node takes in grow with the hosts and those that it uses don't. There it asks a few hosts at the
# moment of choice (see asking.py), and statuses carry what seldom changes.
_TOLD_HOSTS = 30
# A host repeats its status at least this often, and in large systems less, so that repeats cost at
# most 150 datagrams a second, and 75 where their load is of no use. Three silent periods in a row
# mean a frozen or cut-off host (or three lost datagrams, which at 3 % loss happens once in 37,000).
_REPEAT_SECONDS = 0.2
_REPEATS_PER_SECOND = 150
_QUIET_REPEATS_PER_SECOND = 75
_SILENT_PERIODS = 3.25
# Within a period and a half each host is heard that is there, unless a datagram of it was lost.
_HEARD_PERIODS = 1.5
# Past this a host counts as gone: it takes no part in the choice of store readers. In systems so
# large that repeats are rarer, only readers are held to it, which repeat more often.
GONE_SECONDS = 3.0
# A question is answered within a few milliseconds, 30 across regions. What has not answered by then
# is frozen, cut off or overloaded, and comes last until it is heard again.
_ANSWER_SECONDS = 0.1
# Addresses of silent hosts are kept so long and tried at a low rate; a partition may heal.
FORGOTTEN_SECONDS = 60.0
_INCARNATIONS_KEPT = 8


def is_address(text):
    """Tell whether a text is an address as hosts tell theirs.

    :param text: what was read.
    :return: whether it is a text of the form ``ip:port``.
    """
    if not isinstance(text, str):
        return False
    ip, _, port = text.rpartition(":")
    return bool(ip) and port.isdigit()


def tells_changes(hosts):
    """Tell whether each host tells all others of each change of its load.

    :param hosts: how many others there are.
    :return: True or False; when it is false, who wants to know has to ask.
    """
    return hosts <= _TOLD_HOSTS


def repeat_seconds(hosts):
    """Tell how often a host repeats its status.

    :param hosts: how many others it tells.
    :return: seconds.
    """
    rate = _REPEATS_PER_SECOND if tells_changes(hosts) else _QUIET_REPEATS_PER_SECOND
    return max(_REPEAT_SECONDS, hosts / rate)


def silent_seconds(hosts):
    """Tell after which time without a status a host is used only when no other is left.

    :param hosts: how many others each host tells.
    :return: seconds.
    """
    return repeat_seconds(hosts) * _SILENT_PERIODS


def heard_seconds(hosts):
    """Tell within which time a host that is there has been heard, as a rule.

    :param hosts: how many others each host tells.
    :return: seconds.
    """
    return repeat_seconds(hosts) * _HEARD_PERIODS


def gone_seconds(hosts):
    """Tell after which time without a status a host gets no requests at all.

    :param hosts: how many others each host tells.
    :return: seconds.
    """
    return max(GONE_SECONDS, silent_seconds(hosts))


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

    __slots__ = ("status", "heard_at", "asked_at", "unseen", "past")

    def __init__(self):
        self.status = None
        self.heard_at = None
        # When the question that waits for an answer was sent; None when there is none.
        self.asked_at = None
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
        self.asked_at = None
        self.unseen = 0
        return True

    def is_overdue(self, now):
        """Tell whether the host owes the answer to a question for too long.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self.asked_at is not None and now - self.asked_at > _ANSWER_SECONDS


class HostDirectory:
    """All other hosts that this node knows, by their links' address."""

    def __init__(self):
        self._views = {}
        self._known_at = {}

    @property
    def addresses(self):
        """The addresses of all known hosts."""
        return list(self._known_at)

    @property
    def size(self):
        """How many hosts are known."""
        return len(self._known_at)

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
        return self._heard_within(gone_seconds(self.size), now)

    def recent(self, now):
        """List the hosts that were heard within the last moments.

        :param now: seconds on the monotonic clock.
        :return: their views.
        """
        return self._heard_within(GONE_SECONDS, now)

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

    def _heard_within(self, seconds, now):
        return [view for view in self._views.values() if now - view.heard_at <= seconds]
