"""All hosts that a node knows, indexed by address, failure domain and service."""

from .hosts import HostView

# A gone host is kept for this long and contacted at a low rate, because a partition may heal.
FORGOTTEN_SECONDS = 60.0
# After that only the address is kept, for this long, and is excluded from all counts and choices: a
# partition may last longer than a minute.
_FORGOTTEN_ADDRESS_SECONDS = 86_400.0
# The most targets that are compared for one request, and how many of them may be of the own
# failure domain.
_MAX_CANDIDATES = 32
_MAX_LOCAL_CANDIDATES = 24
# When fewer targets than this are usable in the sample, all targets of the service are examined.
_MIN_CANDIDATES = 4


class HostDirectory:
    """All other hosts that this node knows, by the address of their links."""

    def __init__(self):
        self._views = {}
        # When each known host was added or last sent a newer status, by address.
        self._known_at = {}
        self._forgotten_at = {}
        # Addresses without a view, in the order in which they were added.
        self._unheard = {}
        # Addresses by failure domain, and views by service and failure domain.
        self._domains = {}
        self._services = {}

    @property
    def addresses(self):
        """The addresses of all known hosts."""
        return list(self._known_at)

    @property
    def unheard(self):
        """The addresses of the known hosts that no status was received from."""
        return list(self._unheard)

    @property
    def size(self):
        """How many hosts are known."""
        return len(self._known_at)

    @property
    def forgotten(self):
        """The addresses of hosts that were dropped because they were gone for too long."""
        return self._forgotten_at.keys()

    @property
    def domains(self):
        """The failure domains of all hosts that a status was received from."""
        return list(self._domains)

    def add_address(self, address, now):
        """Add a host by its address.

        :param address: the address of the host's links.
        :param now: seconds on the monotonic clock.
        :return: whether the address was not known before.
        """
        if address in self._known_at:
            return False
        self._known_at[address] = now
        self._forgotten_at.pop(address, None)
        self._unheard[address] = None
        return True

    def apply_status(self, status, now):
        """Apply a host's status if it is newer than the one held.

        :param status: the :class:`HostStatus`.
        :param now: seconds on the monotonic clock.
        :return: whether it was newer.
        """
        view = self._views.get(status.address)
        if view is None:
            view = self._views[status.address] = HostView()
            self._unheard.pop(status.address, None)
        before = view.status
        if not view.apply(status, now):
            return False
        self._known_at[status.address] = now
        self._forgotten_at.pop(status.address, None)
        if before is None or _index_key(before) != _index_key(status):
            self._remove_from_index(before)
            self._add_to_index(view)
        return True

    def view(self, address):
        """Find the view of a host.

        :param address: the address of the host's links.
        :return: the :class:`HostView`, or None.
        """
        return self._views.get(address)

    def views(self):
        """List the views of all hosts that a status was received from.

        :return: an iterable of :class:`HostView`.
        """
        return self._views.values()

    def in_domain(self, domain):
        """List the hosts of a failure domain.

        :param domain: the failure domain's name.
        :return: a list of their addresses.
        """
        return list(self._domains.get(domain, ()))

    def live(self, now):
        """List the hosts that are not gone.

        :param now: seconds on the monotonic clock.
        :return: a list of :class:`HostView`.
        """
        return [view for view in self._views.values() if not view.is_gone(now)]

    def targets(self, service, domain, now, random):
        """List the usable hosts whose target runs a service; a random sample if there are many.

        The sample bounds the cost of a choice. The order is random, so that entry nodes don't all
        try hosts of equal status in the same order.

        :param service: the service's name.
        :param domain: the failure domain whose targets are preferred.
        :param now: seconds on the monotonic clock.
        :param random: a ``random.Random``.
        :return: a list of :class:`HostView`.
        """
        by_domain = self._services.get(service, {})
        local = list(by_domain.get(domain, {}).values())
        remote = [
            view for name, views in by_domain.items() if name != domain for view in views.values()
        ]
        if len(local) + len(remote) > _MAX_CANDIDATES:
            local_sample = random.sample(local, min(len(local), _MAX_LOCAL_CANDIDATES))
            remote_count = min(len(remote), _MAX_CANDIDATES - len(local_sample))
            sample = local_sample + random.sample(remote, remote_count)
            usable = [view for view in sample if view.is_usable(now)]
            if len(usable) >= _MIN_CANDIDATES:
                return usable
        usable = [view for view in local + remote if view.is_usable(now)]
        random.shuffle(usable)
        return usable

    def forget_silent(self, now):
        """Drop the hosts that have been gone for too long and keep only their addresses.

        :param now: seconds on the monotonic clock.
        :return: a list of the dropped addresses.
        """
        expired = [address for address in self._known_at if self._is_expired(address, now)]
        for address in expired:
            del self._known_at[address]
            self._forgotten_at[address] = now
            self._unheard.pop(address, None)
            view = self._views.pop(address, None)
            if view is not None:
                self._remove_from_index(view.status)
        self._forgotten_at = {
            address: forgotten_at
            for address, forgotten_at in self._forgotten_at.items()
            if now - forgotten_at <= _FORGOTTEN_ADDRESS_SECONDS
        }
        return expired

    def _is_expired(self, address, now):
        if now - self._known_at[address] <= FORGOTTEN_SECONDS:
            return False
        view = self._views.get(address)
        return view is None or view.is_gone(now)

    def _add_to_index(self, view):
        status = view.status
        self._domains.setdefault(status.domain, {})[status.address] = None
        by_domain = self._services.setdefault(status.service, {})
        by_domain.setdefault(status.domain, {})[status.address] = view

    def _remove_from_index(self, status):
        if status is None:
            return
        _remove_from_group(self._domains, status.domain, status.address)
        by_domain = self._services[status.service]
        _remove_from_group(by_domain, status.domain, status.address)
        if not by_domain:
            del self._services[status.service]


def _index_key(status):
    return status.service, status.domain


def _remove_from_group(groups, name, address):
    group = groups[name]
    del group[address]
    if not group:
        del groups[name]
