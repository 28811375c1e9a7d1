"""Six hosts on a simulated network that delays, reorders, loses, duplicates and holds datagrams.

Before and after each datagram and each wait, the state that each host holds about each address is
compared.
"""

import random
from collections import Counter
from contextlib import ExitStack
from unittest.mock import patch

from camphorshelf_core.directory import FORGOTTEN_SECONDS
from camphorshelf_core.failuredetector import Suspicion
from camphorshelf_core.hostdatagrams import MemberUpdates, decode
from standins.fleet import Fleet

HOSTS = 6
_DOMAINS = 3
_LOSS = 0.05
_DUPLICATION = 0.1
_LATE = 0.15
_LATE_SECONDS = 4.0
_ONE_WAY_SECONDS = 0.0014
_JUST_HEARD_SECONDS = 0.5
_NANOSECONDS = 10**9
_START_SECONDS = 3.0
# Time for all hosts to find each other again after the last loss and network cut.
_CALM_SECONDS = 10.0
# The longest time between two checks of the hosts' states.
_CHECK_SECONDS = 0.1

_CHANCE = random.Random()


def patch_fleet():
    """Make hosts probe each other as in a large fleet, with reproducible incarnations.

    :return: the context manager that patches the code.
    """
    stack = ExitStack()
    for name in ("_PUSH_MAX_HOSTS", "_PUSH_RESUME_MAX_HOSTS"):
        stack.enter_context(patch(f"camphorshelf_core.hosts.{name}", 1))
    draw = patch("camphorshelf_relay.announcer._draw_random_bits", lambda: _CHANCE.getrandbits(20))
    stack.enter_context(draw)
    return stack


class World(Fleet):
    """The hosts, with checks of the state that they hold about each other."""

    def __init__(self, seed, is_clock_behind=False):
        _CHANCE.seed(seed)
        self._is_clock_behind = is_clock_behind
        self._chance = random.Random(seed)
        self._starts = Counter()
        self._orders = {}
        self._known = {}
        self._is_calm = True
        self._cut = set()
        self._held_ips = set()
        self._held = []
        super().__init__(HOSTS, _DOMAINS, seed=seed)
        self.run(_START_SECONDS)
        self.check_calm()
        self._is_calm = False

    def start(self, number, with_roster=True):
        """Start the next process of a host; its clock may be behind that of the one before."""
        order = -self._starts[number] if self._is_clock_behind else self._starts[number]
        self._starts[number] += 1
        now_ns = int((self.loop.now() + order) * _NANOSECONDS)
        if self._is_clock_behind:
            now_ns = int((1_000 + order) * _NANOSECONDS)
        with patch("camphorshelf_relay.announcer.time_ns", lambda: now_ns):
            return super().start(number, with_roster)

    def leave(self, number):
        """Let a host announce that it accepts no new work, for the rest of its process."""
        host = self.hosts[number]
        host.status = host.status._replace(accepting=False)
        host.peers.announce_changes()

    def cut(self, number):
        """Disconnect a host from the network, or reconnect it."""
        self._cut ^= {self.hosts[number].ip}

    def hold(self, number):
        """Hold all datagrams to and from a host, as if it were frozen, or release them."""
        self._held_ips ^= {self.hosts[number].ip}
        self._release()

    def wait(self, seconds):
        """Advance the fake clock and check the hosts along the way."""
        end = self.loop.now() + seconds
        while self.loop.now() < end - 1e-6:
            self.run(min(_CHECK_SECONDS, end - self.loop.now()))
            self.check()

    def outlast(self):
        """Release held datagrams, and keep network cuts until the hosts cut off are forgotten."""
        self._held_ips.clear()
        self._release()
        self.run(FORGOTTEN_SECONDS * 1.2)
        self.check()

    def calm(self):
        """End all faults, and check that running hosts then hold only each other as live."""
        self._cut.clear()
        self._held_ips.clear()
        self._release()
        self._is_calm = True
        self.run(_CALM_SECONDS)
        self.check_calm()
        self._is_calm = False

    def send(self, source, data, ip):
        """Deliver a datagram with random delay, loss and duplication."""
        if not source.is_up:
            return
        order = self._starts[self._number(source)]
        self._orders.setdefault(source.peers._announcer.incarnation, order)
        for delay in self._delays():
            self.loop.call_later(delay, lambda: self._arrive(source.ip, data, ip))

    def check(self):
        """Compare the states that all hosts hold with those at the previous check."""
        for host in self.up():
            self._check_host(host, ())

    def check_calm(self):
        """Check that each running host holds exactly the other running hosts as live."""
        up = {host.address: host for host in self.up()}
        for host in up.values():
            live = self.live_views(host)
            assert live == up.keys() - {host.address}, (host.address, live, up.keys())
            for address in live:
                held = host.peers.directory.view(address).status
                assert held.incarnation == up[address].peers._announcer.incarnation, held
                assert held.accepting == up[address].status.accepting, held

    def _number(self, host):
        return next(number for number, one in self.hosts.items() if one.ip == host.ip)

    def _delays(self):
        if self._is_calm:
            return [_ONE_WAY_SECONDS]
        if self._chance.random() < _LOSS:
            return []
        copies = 2 if self._chance.random() < _DUPLICATION else 1
        return [self._draw_delay() for _ in range(copies)]

    def _draw_delay(self):
        if self._chance.random() < _LATE:
            return self._chance.uniform(_ONE_WAY_SECONDS, _LATE_SECONDS)
        return _ONE_WAY_SECONDS

    def _arrive(self, source_ip, data, ip):
        target = self._by_ip[ip]
        if {source_ip, ip} & self._held_ips:
            self._held.append((source_ip, data, ip))
        elif target.is_up and not {source_ip, ip} & self._cut:
            self._check_host(target, ())
            target.peers.receive(data, source_ip)
            self._check_host(target, _list_suspected(data))

    def _release(self):
        held, self._held = self._held, []
        for source_ip, data, ip in held:
            self._arrive(source_ip, data, ip)

    def _check_host(self, host, suspected):
        directory = host.peers.directory
        known = self._known.setdefault(host, {})
        for address in {*known, *directory.addresses}:
            view = directory.view(address)
            held = None if view is None else _HeldState(view, self._order(view.status))
            if held is not None and address in known:
                held.check_after(known[address], suspected)
            known[address] = held
            if held is None:
                del known[address]

    def _order(self, status):
        if self._is_clock_behind:
            return status.incarnation, status.sequence
        return self._orders[status.incarnation], status.sequence


class _HeldState:
    """The state that a host holds about an address at one moment."""

    __slots__ = ("order", "incarnation", "accepting", "heard_at", "suspected_at")

    def __init__(self, view, order):
        self.order = order
        self.incarnation = view.status.incarnation
        self.accepting = view.status.accepting
        self.heard_at = view.heard_at
        self.suspected_at = view.suspected_at

    def check_after(self, before, suspected):
        """Check that the state has changed only in permitted ways.

        :param before: the state at the previous check.
        :param suspected: the incarnations that the datagram received since then suspects.
        :return: None.
        """
        assert self.order >= before.order, "an older status has replaced a newer one"
        if self.incarnation == before.incarnation:
            assert (
                before.accepting or not self.accepting
            ), "a process that was leaving accepts work again"
        is_newer = self.order > before.order
        if before.suspected_at is not None and self.suspected_at is None:
            assert is_newer, "a suspicion has ended without a newer status"
        if is_newer and before.suspected_at is not None:
            assert (
                self.suspected_at != before.suspected_at
            ), "a newer status has not ended the suspicion"
        if self.suspected_at is not None and before.suspected_at is None:
            assert (
                self.suspected_at - self.heard_at >= _JUST_HEARD_SECONDS
            ), "suspected although it was just heard from"
            assert (
                not suspected or self.incarnation in suspected
            ), "suspected by a suspicion of another incarnation"


def _list_suspected(data):
    message = decode(data, lambda incarnation: None)
    if not isinstance(message, MemberUpdates):
        return ()
    return tuple(item.incarnation for item in message.items if isinstance(item, Suspicion))
