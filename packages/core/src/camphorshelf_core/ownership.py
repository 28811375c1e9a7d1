"""Chooses the host that owns an organisation's quota.

Handles thousands of organisations and hosts that start, fail and return: each organisation has one
owner without any agreement, and a change of the live hosts moves only the organisations of the
hosts that came or left. A request costs one dictionary lookup, because owners are cached until the
live hosts change.
"""

from hashlib import blake2b

# How long a list of live hosts is used. Hosts take more than a second to count as gone, so a list
# that is a little older changes no more owners.
RENEWAL_SECONDS = 0.25


class Ownership:
    """The owners of organisations among the hosts that one node considers alive.

    :param own_address: the link address of this node's host, which always counts as alive.
    :param list_live: takes the time and returns the link addresses of the other live hosts.
    :param now: seconds on the monotonic clock.
    """

    def __init__(self, own_address, list_live, now):
        self._own_address = own_address
        self._list_live = list_live
        self._live = frozenset((own_address,))
        # The owner and its hash by organisation.
        self._owners = {}
        self._due_at = now
        self._shrunk_at = now

    @property
    def live_count(self):
        """How many hosts were alive at the last renewal, this one included."""
        return len(self._live)

    @property
    def shrunk_at(self):
        """When a host last ceased to be alive; since then no owner has changed to this host."""
        return self._shrunk_at

    def renew(self, now):
        """List the live hosts again if the list is too old.

        :param now: seconds on the monotonic clock.
        :return: whether the live hosts have changed.
        """
        if now < self._due_at:
            return False
        self._due_at = now + RENEWAL_SECONDS
        live = frozenset((self._own_address, *self._list_live(now)))
        if live == self._live:
            return False
        added, removed = live - self._live, self._live - live
        self._live = live
        if removed:
            self._shrunk_at = now
        self._owners = {
            name: max((owner, *((_hash(name, host), host) for host in added)))
            for name, owner in self._owners.items()
            if owner[1] not in removed
        }
        return True

    def restart(self, now):
        """Assume that other hosts were the owners until now, as after a suspension of this host.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._shrunk_at = now

    def owner(self, organisation):
        """Find the owner of an organisation's quota.

        :param organisation: the organisation's name.
        :return: the link address of the owner.
        """
        owner = self._owners.get(organisation)
        if owner is None:
            owner = max((_hash(organisation, host), host) for host in self._live)
            self._owners[organisation] = owner
        return owner[1]

    def retain(self, organisations):
        """Forget the owners of organisations that are not configured any more.

        :param organisations: a container of the names of all organisations.
        :return: None.
        """
        self._owners = {
            name: owner for name, owner in self._owners.items() if name in organisations
        }


def _hash(organisation, host):
    return blake2b(f"{organisation}\0{host}".encode(), digest_size=8).digest()
