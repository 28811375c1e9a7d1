"""All hosts that a node knows: who is alive, and which targets a choice compares."""

from .hosts import HostView

# Addresses of silent hosts are kept so long and tried at a low rate; a partition may heal.
FORGOTTEN_SECONDS = 60.0
# Then the address alone is kept, and counts nowhere: a partition may last longer than a minute.
_ADDRESS_SECONDS = 86_400.0
# The most targets that one choice compares, and how many of them are of the own failure domain.
_CHOICE_TARGETS = 32
_CHOICE_NEAR_TARGETS = 24
# With fewer usable targets than this in the sample, all of the service are looked through.
_CHOICE_LEAST_TARGETS = 4


class HostDirectory:
    """All other hosts that this node knows, by their links' address."""

    def __init__(self):
        self._views = {}
        self._known_at = {}
        self._forgotten_at = {}
        # Addresses without a view, in the order in which they were learned.
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
        """The addresses of the known hosts that were never heard."""
        return list(self._unheard)

    @property
    def size(self):
        """How many hosts are known."""
        return len(self._known_at)

    @property
    def forgotten(self):
        """The addresses of hosts that were silent for so long that they were dropped."""
        return self._forgotten_at.keys()

    @property
    def domains(self):
        """The failure domains of all hosts that were heard."""
        return list(self._domains)

    def add_address(self, address, now):
        """Take note of a host's address.

        :param address: its links' address.
        :param now: seconds on the monotonic clock.
        :return: whether it is new.
        """
        if address in self._known_at:
            return False
        self._known_at[address] = now
        self._forgotten_at.pop(address, None)
        self._unheard[address] = None
        return True

    def apply_status(self, status, now):
        """Take in a status.

        :param status: the :class:`HostStatus`.
        :param now: seconds on the monotonic clock.
        :return: whether it is newer than what was held.
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
        if before is None or _place(before) != _place(status):
            self._unlist(before)
            self._list(view)
        return True

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

    def in_domain(self, domain):
        """List the hosts of a failure domain.

        :param domain: its name.
        :return: their addresses.
        """
        return list(self._domains.get(domain, ()))

    def live(self, now):
        """List the hosts that are not gone.

        :param now: seconds on the monotonic clock.
        :return: their views.
        """
        return [view for view in self._views.values() if not view.is_gone(now)]

    def targets(self, service, domain, now, random):
        """List hosts whose target runs a service and takes work; a sample where there are many.

        The sample bounds the cost of a choice, and its order is random, so that hosts of which the
        same is known are not all tried in the same order by all entry nodes.

        :param service: the service's name.
        :param domain: the failure domain whose targets are preferred.
        :param now: seconds on the monotonic clock.
        :param random: the source of random numbers.
        :return: their views.
        """
        by_domain = self._services.get(service, {})
        near = list(by_domain.get(domain, {}).values())
        far = [
            view for name, views in by_domain.items() if name != domain for view in views.values()
        ]
        if len(near) + len(far) > _CHOICE_TARGETS:
            near_sample = random.sample(near, min(len(near), _CHOICE_NEAR_TARGETS))
            far_count = min(len(far), _CHOICE_TARGETS - len(near_sample))
            sample = near_sample + random.sample(far, far_count)
            usable = [view for view in sample if view.is_usable(now)]
            if len(usable) >= _CHOICE_LEAST_TARGETS:
                return usable
        usable = [view for view in near + far if view.is_usable(now)]
        random.shuffle(usable)
        return usable

    def forget_silent(self, now):
        """Drop hosts that were silent for long.

        :param now: seconds on the monotonic clock.
        :return: the dropped addresses.
        """
        old = [address for address in self._known_at if self._is_forgotten(address, now)]
        for address in old:
            del self._known_at[address]
            self._forgotten_at[address] = now
            self._unheard.pop(address, None)
            view = self._views.pop(address, None)
            if view is not None:
                self._unlist(view.status)
        self._forgotten_at = {
            address: at
            for address, at in self._forgotten_at.items()
            if now - at <= _ADDRESS_SECONDS
        }
        return old

    def _is_forgotten(self, address, now):
        if now - self._known_at[address] <= FORGOTTEN_SECONDS:
            return False
        view = self._views.get(address)
        return view is None or view.is_gone(now)

    def _list(self, view):
        status = view.status
        self._domains.setdefault(status.domain, {})[status.address] = None
        by_domain = self._services.setdefault(status.service, {})
        by_domain.setdefault(status.domain, {})[status.address] = view

    def _unlist(self, status):
        if status is None:
            return
        _discard(self._domains, status.domain, status.address)
        by_domain = self._services[status.service]
        _discard(by_domain, status.domain, status.address)
        if not by_domain:
            del self._services[status.service]


def _place(status):
    return status.service, status.domain


def _discard(groups, name, address):
    group = groups[name]
    del group[address]
    if not group:
        del groups[name]
