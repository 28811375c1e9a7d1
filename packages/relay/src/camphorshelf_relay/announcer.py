"""Tells other hosts of this one: pushes its load in small fleets, announces changes in large ones.

Failure pattern: half of a large fleet restarts in one moment, or the store fails for all. If each
change went from each host to every other, the datagrams of that moment would grow with the square
of the hosts. Here an announcement goes to the own failure domain and to two members of each other
one, which hand it on in theirs, and announcements of one moment share a datagram.
"""

import secrets
from collections import deque
from enum import Enum
from time import time_ns

from camphorshelf_core.budget import TokenBucket
from camphorshelf_core.hosts import (
    RANDOM_BITS,
    make_incarnation,
    should_push_load,
    make_newer_incarnation,
    push_interval_seconds,
)
from camphorshelf_core.hostdatagrams import Greeting, MemberUpdates, encode, encode_short_status, is_short_form_sufficient

# Changes closer together than this go out as one.
_LEAST_GAP_SECONDS = 0.025
# Pushed statuses a second that one node sends at most, to its own domain and to all others.
_NEAR_PER_SECOND = 300
_FAR_PER_SECOND = 100
# A status is repeated a little before it is due, so that a late timer does not miss its time.
_REPEAT_SHARE = 0.9
# The names in a pushed status are repeated so often, for whoever has missed them.
_WHOLE_SECONDS = 3.0
# Hosts that were never heard, or fell silent, are greeted so often: a partition may heal.
_GREETING_PAUSE_SECONDS = 0.5
# Greetings that a node sends at most, so that a start in a large fleet is no burst.
_GREETINGS_PER_TURN = 20
_GREETING_TURN_SECONDS = 0.01
# A host that was taken for dead tells all that it lives, at most this often.
_REFUTE_PAUSE_SECONDS = 2.0
# An announcement is sent again, to other forwarding members, in case datagrams were lost.
_AGAIN_SECONDS = (0.3, 1.0)
_FORWARDING_MEMBERS = 2
_ITEMS_PER_DATAGRAM = 7
_NANOSECONDS_PER_MICROSECOND = 1000
# Work takes a quarter longer or shorter than was told: a change of the choice.
_SLOWNESS_STEP = 1.25
_LOAD_STEP = 2


class Reach(Enum):
    """Who has to hear of an announcement."""

    ALL = "all"
    DOMAIN = "domain"
    NOBODY = "nobody"


class Announcer:
    """Holds what was told of the own host, and to whom it is told next."""

    def __init__(self, loop, settings, directory, describe, send_to, random):
        self._loop = loop
        self._domain = settings.domain
        self._directory = directory
        self._describe = describe
        self._send_to = send_to
        self._random = random
        self._incarnation = make_incarnation(
            time_ns() // _NANOSECONDS_PER_MICROSECOND, _draw_chance()
        )
        self._sequence = 0
        self._revision = 0
        self._last = None
        self._is_pushing = True
        self._told = None
        self._told_at = 0.0
        self._whole_at = 0.0
        self._all_told_at = 0.0
        self._pending = None
        self._greeted_at = {}
        self._greetings = deque()
        self._news = {}
        self._own_reach = Reach.NOBODY
        self._flush_timer = None
        self._refuted_at = 0.0
        self._near_budget = TokenBucket(_NEAR_PER_SECOND, _NEAR_PER_SECOND, loop.now())
        self._far_budget = TokenBucket(_FAR_PER_SECOND, _FAR_PER_SECOND, loop.now())

    @property
    def incarnation(self):
        """Names this process of the node."""
        return self._incarnation

    def next_status(self):
        """Describe the own host under the next sequence number.

        :return: the :class:`~camphorshelf_core.hosts.HostStatus`.
        """
        self._sequence += 1
        repeat_s = push_interval_seconds(self._directory.size) if self._is_pushing else 0.0
        status = self._describe()._replace(
            incarnation=self._incarnation, sequence=self._sequence, push_interval_s=repeat_s
        )
        if self._last is None or not is_short_form_sufficient(status, self._last):
            self._revision += 1
        self._last = status._replace(revision=self._revision)
        return self._last

    def greet(self, addresses):
        """Send hosts the own status and ask for theirs, paced.

        :param addresses: their links' addresses.
        :return: None.
        """
        self._update_mode()
        is_idle = not self._greetings
        self._greetings.extend(addresses)
        if is_idle and self._greetings:
            self._greet_some()

    def has_greeted(self, address):
        """Tell whether a host has been sent a greeting that is still under way to it.

        :param address: its links' address.
        :return: True or False.
        """
        return self._loop.now() - self._greeted_at.get(address, 0.0) < _GREETING_PAUSE_SECONDS

    def tell(self):
        """Tell the others soon, if something changed that matters to them.

        :return: None.
        """
        status = self._describe()
        if not self._is_pushing:
            if self._told is None or _standing(status) != _standing(self._told):
                self._announce_own(Reach.ALL)
        elif self._pending is None and self._has_changed(status):
            wait = self._told_at + _LEAST_GAP_SECONDS - self._loop.now()
            self._pending = self._loop.call_later(max(0.0, wait), self._push_change)

    def tell_version(self, reach):
        """Tell that another version of the configuration is in force here.

        :param reach: the :class:`Reach` of those that have not heard of it.
        :return: None.
        """
        if self._is_pushing:
            self.tell()
        elif reach is not Reach.NOBODY:
            self._announce_own(reach)

    def forward(self, item, reach):
        """Announce what is known of another host.

        :param item: its status, or a :class:`~camphorshelf_core.failuredetector.Suspicion`.
        :param reach: the :class:`Reach`.
        :return: None.
        """
        key = type(item), item.address
        held = self._news.get(key)
        if held is not None and held[1] is Reach.ALL:
            reach = Reach.ALL
        self._news[key] = item, reach
        self._flush_soon()

    def refute(self):
        """Tell all hosts that this one lives, and ask for their statuses.

        :return: None.
        """
        now = self._loop.now()
        if now - self._refuted_at >= _REFUTE_PAUSE_SECONDS:
            self._refuted_at = now
            self.greet(self._directory.addresses)

    def outbid(self, incarnation):
        """Take a greater incarnation where another process is known under this address.

        The process before may have run under a clock that was ahead; whoever knows it would take
        this one for the older.

        :param incarnation: what another host knows; may be that of this process.
        :return: None.
        """
        if incarnation > self._incarnation:
            self._incarnation = make_newer_incarnation(incarnation, _draw_chance())
            self._told = None
            self.refute()

    def tick(self):
        """Do what falls due with time; called several times a second.

        :return: None.
        """
        self._update_mode()
        now = self._loop.now()
        pause_s = push_interval_seconds(self._directory.size) * _REPEAT_SHARE
        if self._is_pushing and now - self._all_told_at >= pause_s:
            self._push(must=True)
        self.greet([one for one in self._list_unmet(now) if self._is_greeting_due(one, now)])

    def forget(self, address):
        """Forget a host.

        :param address: its links' address.
        :return: None.
        """
        self._greeted_at.pop(address, None)

    def _update_mode(self):
        is_pushing = should_push_load(self._directory.size, self._is_pushing)
        if is_pushing == self._is_pushing:
            return
        self._is_pushing = is_pushing
        if is_pushing:
            self._push(must=True)
        elif self._last is not None:
            # Whoever counted on repeats would take this host for silent.
            self._announce_own(Reach.ALL)

    def _list_unmet(self, now):
        directory = self._directory
        if not self._is_pushing:
            return directory.unheard
        return [
            address
            for address in directory.addresses
            if (view := directory.view(address)) is None or view.is_gone(now)
        ]

    def _is_greeting_due(self, address, now):
        if self.has_greeted(address):
            return False
        self._greeted_at[address] = now
        return True

    def _greet_some(self):
        data = encode(Greeting(self.next_status()))
        now = self._loop.now()
        for _ in range(min(_GREETINGS_PER_TURN, len(self._greetings))):
            address = self._greetings.popleft()
            self._greeted_at[address] = now
            self._send_to(address, data)
        if self._greetings:
            self._loop.call_later(_GREETING_TURN_SECONDS, self._greet_some)

    def _announce_own(self, reach):
        self._told = self._describe()
        self._add_own(reach)
        for wait in _AGAIN_SECONDS:
            self._loop.call_later(wait, lambda: self._add_own(reach))

    def _add_own(self, reach):
        if self._own_reach is not Reach.ALL:
            self._own_reach = reach
        self._flush_soon()

    def _flush_soon(self):
        if self._flush_timer is None:
            self._flush_timer = self._loop.call_later(_LEAST_GAP_SECONDS, self._flush)

    def _flush(self):
        self._flush_timer = None
        news, self._news = list(self._news.values()), {}
        own_reach, self._own_reach = self._own_reach, Reach.NOBODY
        if own_reach is not Reach.NOBODY:
            news.append((self.next_status(), own_reach))
        now = self._loop.now()
        near = self._members(self._domain, lambda view: view.is_gone(now))
        self._send_news(near, False, [item for item, _ in news])
        for_all = [item for item, reach in news if reach is Reach.ALL]
        for domain in self._directory.domains:
            if for_all and domain != self._domain:
                self._send_news(self._choose_forwarding(domain, now), True, for_all)

    def _choose_forwarding(self, domain, now):
        sound = self._members(domain, lambda view: view.is_silent(now))
        members = sound or self._members(domain, lambda view: view.is_gone(now))
        return self._random.sample(members, min(len(members), _FORWARDING_MEMBERS))

    def _members(self, domain, is_left_out):
        directory = self._directory
        addresses = directory.in_domain(domain)
        return [address for address in addresses if not is_left_out(directory.view(address))]

    def _send_news(self, addresses, must_forward, items):
        for first in range(0, len(items), _ITEMS_PER_DATAGRAM):
            data = encode(MemberUpdates(must_forward, tuple(items[first : first + _ITEMS_PER_DATAGRAM])))
            self._send_to_each(addresses, data)

    def _has_changed(self, status):
        told = self._told
        if told is None or _pushed_standing(status) != _pushed_standing(told):
            return True
        low, high = sorted((status.slowness, told.slowness))
        if high >= low * _SLOWNESS_STEP:
            return True
        load, told_load = status.running + status.queued, told.running + told.queued
        return abs(load - told_load) >= _LOAD_STEP and max(load, told_load) * 2 >= status.limit

    def _push_change(self):
        self._pending = None
        if self._is_pushing:
            self._push(must=False)

    def _push(self, must):
        now = self._loop.now()
        before, whole_before = self._told, self._whole_at
        data = self._encode(now)
        is_whole = self._whole_at != whole_before
        # What everyone must know goes out whatever the budgets say: a sign of life, the names, a
        # target that leaves, a new configuration.
        urgent = must or is_whole or _pushed_standing(before) != _pushed_standing(self._told)
        near, far = self._split_addresses(now)
        if urgent or self._near_budget.spend(len(near), now):
            self._send_to_each(near, data)
        if urgent or self._far_budget.spend(len(far), now):
            self._send_to_each(far, data)
            self._all_told_at = now

    def _split_addresses(self, now):
        near, far = [], []
        for address in self._directory.addresses:
            view = self._directory.view(address)
            if view is not None and not view.is_gone(now):
                (near if view.status.domain == self._domain else far).append(address)
        return near, far

    def _send_to_each(self, addresses, data):
        for address in addresses:
            self._send_to(address, data)

    def _encode(self, now):
        told, status = self._told, self.next_status()
        self._told, self._told_at = status, now
        is_due = now - self._whole_at >= _WHOLE_SECONDS
        if told is None or is_due or not is_short_form_sufficient(status, told):
            self._whole_at = now
            return encode(status)
        return encode_short_status(status)


def _draw_chance():
    return secrets.randbits(RANDOM_BITS)


def _standing(status):
    return status.accepting, status.instance, status.crashes, status.lacks_store_access


def _pushed_standing(status):
    versions = status.config_version, status.evacuation_version
    return *_standing(status), *versions, status.limit
