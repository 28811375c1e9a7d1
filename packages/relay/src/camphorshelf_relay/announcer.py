"""Announces this host's status to other hosts, and forwards announcements of others.

When half of a large fleet restarts at once, or the store fails for all nodes, sending each change
from every host to every other would cost a number of datagrams that grows with the square of the
fleet. Here an announcement goes to the hosts of this failure domain and to two hosts of each other
domain, which forward it in theirs. Announcements within a short time are sent in one datagram.
"""

import secrets
from collections import deque
from enum import Enum
from time import time_ns

from camphorshelf_core.budget import TokenBucket
from camphorshelf_core.hostdatagrams import (
    Greeting,
    MemberUpdates,
    encode,
    encode_short_status,
    is_short_form_sufficient,
)
from camphorshelf_core.hosts import (
    RANDOM_BITS,
    make_incarnation,
    make_newer_incarnation,
    push_interval_seconds,
    should_push_load,
)

# Changes within this time of each other are sent together.
_MIN_SEND_INTERVAL_SECONDS = 0.025
# Limits on the statuses that one node pushes in its own failure domain and in all others.
_SAME_DOMAIN_STATUSES_PER_SECOND = 300
_OTHER_DOMAINS_STATUSES_PER_SECOND = 100
# A status is repeated after this share of the push interval, so that a late timer does not make the
# host look silent.
_REPEAT_SHARE = 0.9
# How often a status is pushed in its full form, for hosts that have missed an earlier full one.
_FULL_STATUS_INTERVAL_SECONDS = 3.0
# How often hosts are greeted that were never heard from or fell silent: a partition may heal.
_GREETING_INTERVAL_SECONDS = 0.5
# Greetings are sent in batches, so that the start of a node in a large fleet causes no burst.
_GREETINGS_PER_BATCH = 20
_GREETING_BATCH_INTERVAL_SECONDS = 0.01
# Minimum interval between two refutations of suspicions of this host.
_REFUTE_INTERVAL_SECONDS = 2.0
# An announcement is repeated after these delays, through other forwarding hosts, in case datagrams
# were lost.
_REPEAT_DELAYS_SECONDS = (0.3, 1.0)
_FORWARDERS_PER_DOMAIN = 2
_ITEMS_PER_DATAGRAM = 7
_NANOSECONDS_PER_MICROSECOND = 1000
# A change of slowness by this factor, or of load by this many requests, is pushed: it may change
# which target an entry node chooses.
_SLOWNESS_CHANGE_FACTOR = 1.25
_LOAD_CHANGE_REQUESTS = 2


class AnnouncementScope(Enum):
    """Which hosts an announcement is for: all, those of this failure domain, or none."""

    ALL = "all"
    DOMAIN = "domain"
    NOBODY = "nobody"


class Announcer:
    """Sends this host's status and forwards updates about others.

    In a small fleet the host pushes each change of its load to all hosts. In a large one the others
    probe its load, and only changes that all hosts must know are announced.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param directory: the :class:`~camphorshelf_core.directory.HostDirectory`.
    :param describe: returns this host's :class:`~camphorshelf_core.hosts.HostStatus`; the fields
        that :meth:`next_status` fills in are empty.
    :param send_to: takes a host's link address and a datagram's bytes.
    :param random: the source of random numbers.
    """

    def __init__(self, loop, settings, directory, describe, send_to, random):
        self._loop = loop
        self._domain = settings.domain
        self._directory = directory
        self._describe = describe
        self._send_to = send_to
        self._random = random
        self._incarnation = make_incarnation(
            time_ns() // _NANOSECONDS_PER_MICROSECOND, _draw_random_bits()
        )
        self._sequence = 0
        self._revision = 0
        self._last_status = None
        self._is_pushing = True
        # The status last pushed or announced; None after a change of incarnation.
        self._announced = None
        self._pushed_at = 0.0
        self._full_status_at = 0.0
        self._pushed_to_all_at = 0.0
        self._push_timer = None
        self._greeted_at = {}
        self._greeting_queue = deque()
        # Updates about other hosts that wait for the next flush, by type and address.
        self._updates = {}
        self._own_scope = AnnouncementScope.NOBODY
        self._flush_timer = None
        self._refuted_at = 0.0
        self._same_domain_budget = TokenBucket(
            _SAME_DOMAIN_STATUSES_PER_SECOND, _SAME_DOMAIN_STATUSES_PER_SECOND, loop.now()
        )
        self._other_domains_budget = TokenBucket(
            _OTHER_DOMAINS_STATUSES_PER_SECOND, _OTHER_DOMAINS_STATUSES_PER_SECOND, loop.now()
        )

    @property
    def incarnation(self):
        """The identifier of this process of the node; a later process has a greater one."""
        return self._incarnation

    def next_status(self):
        """Create this host's status, with the next sequence number.

        :return: the :class:`~camphorshelf_core.hosts.HostStatus`.
        """
        self._sequence += 1
        push_interval_s = push_interval_seconds(self._directory.size) if self._is_pushing else 0.0
        status = self._describe()._replace(
            incarnation=self._incarnation,
            sequence=self._sequence,
            push_interval_s=push_interval_s,
        )
        if self._last_status is None or not is_short_form_sufficient(status, self._last_status):
            self._revision += 1
        self._last_status = status._replace(revision=self._revision)
        return self._last_status

    def greet(self, addresses):
        """Send hosts this host's status and ask for theirs, in batches.

        :param addresses: the hosts' link addresses.
        :return: None.
        """
        self._update_mode()
        is_idle = not self._greeting_queue
        self._greeting_queue.extend(addresses)
        if is_idle and self._greeting_queue:
            self._send_greeting_batch()

    def has_greeted(self, address):
        """Tell whether a host was greeted so recently that its answer may still be on the way.

        :param address: the host's link address.
        :return: True or False.
        """
        return self._loop.now() - self._greeted_at.get(address, 0.0) < _GREETING_INTERVAL_SECONDS

    def announce_changes(self):
        """Announce this host's status soon if it has changed in a way that matters to others.

        :return: None.
        """
        status = self._describe()
        if not self._is_pushing:
            if self._announced is None or _announced_state(status) != _announced_state(
                self._announced
            ):
                self._announce_own(AnnouncementScope.ALL)
        elif self._push_timer is None and self._has_changed(status):
            delay_s = self._pushed_at + _MIN_SEND_INTERVAL_SECONDS - self._loop.now()
            self._push_timer = self._loop.call_later(max(0.0, delay_s), self._push_change)

    def announce_version(self, scope):
        """Announce that another version of the configuration or evacuations is in force here.

        :param scope: the :class:`AnnouncementScope` of the announcement.
        :return: None.
        """
        if self._is_pushing:
            self.announce_changes()
        elif scope is not AnnouncementScope.NOBODY:
            self._announce_own(scope)

    def forward(self, item, scope):
        """Announce an update about another host.

        :param item: the host's status, or a
            :class:`~camphorshelf_core.failuredetector.Suspicion` of it.
        :param scope: the :class:`AnnouncementScope` of the announcement.
        :return: None.
        """
        key = type(item), item.address
        queued = self._updates.get(key)
        if queued is not None and queued[1] is AnnouncementScope.ALL:
            scope = AnnouncementScope.ALL
        self._updates[key] = item, scope
        self._schedule_flush()

    def announce_contact(self, report, is_for_all):
        """Send a report of a contact with the store to the members of this failure domain.

        :param report: the :class:`~camphorshelf_core.hostdatagrams.ContactReport`.
        :param is_for_all: whether members of the other failure domains should forward it there.
        :return: None.
        """
        now = self._loop.now()
        same_domain = self._list_members(self._domain, lambda view: view.is_gone(now))
        self._send_to_each(same_domain, encode(report._replace(must_forward=False)))
        for domain in self._directory.domains:
            if is_for_all and domain != self._domain:
                # A node that misses a report asks for another one, so one host forwards it.
                forwarders = self._choose_forwarders(domain, now)[:1]
                self._send_to_each(forwarders, encode(report._replace(must_forward=True)))

    def refute(self):
        """Tell all hosts that this one is alive, and ask for their statuses.

        :return: None.
        """
        now = self._loop.now()
        if now - self._refuted_at >= _REFUTE_INTERVAL_SECONDS:
            self._refuted_at = now
            self.greet(self._directory.addresses)

    def raise_incarnation(self, incarnation):
        """Choose a greater incarnation if another host knows a later one at this address.

        An earlier process at this address may have run with a clock that was ahead. Hosts that know
        its incarnation would take this process for the older one.

        :param incarnation: the incarnation that another host knows; may be that of this process.
        :return: None.
        """
        if incarnation > self._incarnation:
            self._incarnation = make_newer_incarnation(incarnation, _draw_random_bits())
            self._announced = None
            self.refute()

    def tick(self):
        """Send repeated statuses and greetings that are due; called several times a second.

        :return: None.
        """
        self._update_mode()
        now = self._loop.now()
        interval_s = push_interval_seconds(self._directory.size) * _REPEAT_SHARE
        if self._is_pushing and now - self._pushed_to_all_at >= interval_s:
            self._push(is_forced=True)
        self.greet(
            [address for address in self._list_unheard(now) if self._claim_greeting(address, now)]
        )

    def forget(self, address):
        """Drop what is stored about a host.

        :param address: the host's link address.
        :return: None.
        """
        self._greeted_at.pop(address, None)

    def _update_mode(self):
        is_pushing = should_push_load(self._directory.size, self._is_pushing)
        if is_pushing == self._is_pushing:
            return
        self._is_pushing = is_pushing
        if is_pushing:
            self._push(is_forced=True)
        elif self._last_status is not None:
            # Otherwise hosts that still expect repeated statuses would take this one for silent.
            self._announce_own(AnnouncementScope.ALL)

    def _list_unheard(self, now):
        directory = self._directory
        if not self._is_pushing:
            return directory.unheard
        return [
            address
            for address in directory.addresses
            if (view := directory.view(address)) is None or view.is_gone(now)
        ]

    def _claim_greeting(self, address, now):
        if self.has_greeted(address):
            return False
        self._greeted_at[address] = now
        return True

    def _send_greeting_batch(self):
        data = encode(Greeting(self.next_status()))
        now = self._loop.now()
        for _ in range(min(_GREETINGS_PER_BATCH, len(self._greeting_queue))):
            address = self._greeting_queue.popleft()
            self._greeted_at[address] = now
            self._send_to(address, data)
        if self._greeting_queue:
            self._loop.call_later(_GREETING_BATCH_INTERVAL_SECONDS, self._send_greeting_batch)

    def _announce_own(self, scope):
        self._announced = self._describe()
        self._queue_own_status(scope)
        for delay_s in _REPEAT_DELAYS_SECONDS:
            self._loop.call_later(delay_s, lambda: self._queue_own_status(scope))

    def _queue_own_status(self, scope):
        if self._own_scope is not AnnouncementScope.ALL:
            self._own_scope = scope
        self._schedule_flush()

    def _schedule_flush(self):
        if self._flush_timer is None:
            self._flush_timer = self._loop.call_later(_MIN_SEND_INTERVAL_SECONDS, self._flush)

    def _flush(self):
        self._flush_timer = None
        updates, self._updates = list(self._updates.values()), {}
        own_scope, self._own_scope = self._own_scope, AnnouncementScope.NOBODY
        if own_scope is not AnnouncementScope.NOBODY:
            updates.append((self.next_status(), own_scope))
        now = self._loop.now()
        same_domain = self._list_members(self._domain, lambda view: view.is_gone(now))
        self._send_updates(same_domain, False, [item for item, _ in updates])
        for_all = [item for item, scope in updates if scope is AnnouncementScope.ALL]
        for domain in self._directory.domains:
            if for_all and domain != self._domain:
                self._send_updates(self._choose_forwarders(domain, now), True, for_all)

    def _choose_forwarders(self, domain, now):
        responsive = self._list_members(domain, lambda view: view.is_silent(now))
        members = responsive or self._list_members(domain, lambda view: view.is_gone(now))
        return self._random.sample(members, min(len(members), _FORWARDERS_PER_DOMAIN))

    def _list_members(self, domain, is_excluded):
        directory = self._directory
        addresses = directory.in_domain(domain)
        return [address for address in addresses if not is_excluded(directory.view(address))]

    def _send_updates(self, addresses, must_forward, items):
        for first in range(0, len(items), _ITEMS_PER_DATAGRAM):
            data = encode(
                MemberUpdates(must_forward, tuple(items[first : first + _ITEMS_PER_DATAGRAM]))
            )
            self._send_to_each(addresses, data)

    def _has_changed(self, status):
        announced = self._announced
        if announced is None or _pushed_state(status) != _pushed_state(announced):
            return True
        low, high = sorted((status.slowness, announced.slowness))
        if high >= low * _SLOWNESS_CHANGE_FACTOR:
            return True
        load, before = status.running + status.queued, announced.running + announced.queued
        return abs(load - before) >= _LOAD_CHANGE_REQUESTS and max(load, before) * 2 >= status.limit

    def _push_change(self):
        self._push_timer = None
        if self._is_pushing:
            self._push(is_forced=False)

    def _push(self, is_forced):
        now = self._loop.now()
        announced_before, full_status_before = self._announced, self._full_status_at
        data = self._encode_next(now)
        is_full = self._full_status_at != full_status_before
        # Sent even when the budgets are spent: every host must receive repeated and full statuses,
        # and learn that a target leaves or that a new configuration is in force.
        is_urgent = (
            is_forced
            or is_full
            or _pushed_state(announced_before) != _pushed_state(self._announced)
        )
        same_domain, other_domains = self._split_addresses(now)
        if is_urgent or self._same_domain_budget.spend(len(same_domain), now):
            self._send_to_each(same_domain, data)
        if is_urgent or self._other_domains_budget.spend(len(other_domains), now):
            self._send_to_each(other_domains, data)
            self._pushed_to_all_at = now

    def _split_addresses(self, now):
        same_domain, other_domains = [], []
        for address in self._directory.addresses:
            view = self._directory.view(address)
            if view is not None and not view.is_gone(now):
                (same_domain if view.status.domain == self._domain else other_domains).append(
                    address
                )
        return same_domain, other_domains

    def _send_to_each(self, addresses, data):
        for address in addresses:
            self._send_to(address, data)

    def _encode_next(self, now):
        announced, status = self._announced, self.next_status()
        self._announced, self._pushed_at = status, now
        is_due = now - self._full_status_at >= _FULL_STATUS_INTERVAL_SECONDS
        if announced is None or is_due or not is_short_form_sufficient(status, announced):
            self._full_status_at = now
            return encode(status)
        return encode_short_status(status)


def _draw_random_bits():
    return secrets.randbits(RANDOM_BITS)


def _announced_state(status):
    return status.accepting, status.instance, status.crashes, status.lacks_store_access


def _pushed_state(status):
    versions = status.config_version, status.evacuation_version
    return *_announced_state(status), *versions, status.limit
