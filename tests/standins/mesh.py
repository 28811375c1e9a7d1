"""Many members of a roster in one process, on a fake clock and a fake network."""

import random
from collections import deque

from camphorshelf_core.membership import Membership
from camphorshelf_core.messages import decode
from camphorshelf_core.roster import Announcement, Member, MemberState
from camphorshelf_core.settings import RosterSettings

_TICK_SECONDS = 0.1


class Mesh:
    """Members ``m0`` to ``mN`` whose datagrams arrive without delay, are lost or are cut off.

    ``seen`` holds the members that each member was notified of, and ``heard`` when each member
    received each entry, by topic and key.
    """

    def __init__(self, count, seed, loss=0.0, domains=3, settings=None):
        self._random = random.Random(seed)
        self._loss = loss
        self._settings = settings or RosterSettings()
        self._domains = domains
        self._frozen = set()
        self._reachable = lambda source, target: True
        self._generation = 0
        self.now = 0.0
        self.sent = {}
        self.sent_bytes = {}
        self.members = {}
        self.heard = {}
        self.seen = {}
        for index in range(count):
            self.start(f"m{index}")

    def start(self, name):
        """Start a member, or replace it by a new generation at the same address."""
        self._generation += 1
        own = Member(
            node=name,
            generation=self._generation,
            revision=0,
            state=MemberState.ALIVE,
            incarnation=f"{name}-{self._generation}",
            address=name,
            failure_domain=f"fd-{int(name[1:]) % self._domains}",
            target=Announcement(f"service-{int(name[1:]) % 230}", "127.0.0.1:1", 10),
        )
        self.heard[name] = {}
        self.seen[name] = {}
        self.sent.setdefault(name, 0)
        self.sent_bytes.setdefault(name, 0)
        self._frozen.discard(name)
        self.members[name] = Membership(
            own,
            self._settings,
            random.Random(f"{name}-{self._generation}"),
            self.now,
            lambda old, new: self.seen[name].__setitem__(new.node, new),
            lambda entry: self.heard[name].__setitem__((entry.topic, entry.key), self.now),
        )

    def join(self, name, through):
        """Let a started member load a snapshot of another member and ping it."""
        snapshot = self.members[through].make_snapshot(0)
        self.deliver(name, self.members[name].load_snapshot(snapshot, self.now))
        self.deliver(name, self.members[name].ping_address(through, self.now))

    def join_all(self):
        """Let all members load a snapshot that lists all members."""
        first = self.members["m0"]
        for member in self.members.values():
            first.load_snapshot(member.make_snapshot(0), self.now)
        snapshot = first.make_snapshot(0)
        for member in self.members.values():
            member.load_snapshot(snapshot, self.now)

    def freeze(self, name):
        """Stop a member, as SIGSTOP or a failed host does."""
        self._frozen.add(name)

    def wake(self, name):
        """Resume a frozen member."""
        self._frozen.discard(name)

    def cut(self, reachable):
        """Set the function that tells whether datagrams of a source reach a target."""
        self._reachable = reachable

    def run(self, seconds, until=None):
        """Advance the clock.

        :param seconds: for how long at most.
        :param until: a condition that ends the run early; None for none.
        :return: the seconds that passed.
        :raises TimeoutError: when the condition does not hold in time.
        """
        end = self.now + seconds
        started_at = self.now
        while self.now < end:
            if until is not None and until():
                return self.now - started_at
            self.now += _TICK_SECONDS
            for name, member in list(self.members.items()):
                if name not in self._frozen:
                    self.deliver(name, member.tick(self.now))
        if until is not None and not until():
            raise TimeoutError(f"the condition did not hold within {seconds} s")
        return seconds

    def deliver(self, source, datagrams):
        """Deliver datagrams to their members, and the datagrams that they send in reply."""
        queue = deque((source, datagram) for datagram in datagrams)
        while queue:
            source, datagram = queue.popleft()
            self.sent[source] += 1
            self.sent_bytes[source] += len(datagram.data)
            target = datagram.address
            if target not in self.members or target in self._frozen:
                continue
            if not self._reachable(source, target) or self._random.random() < self._loss:
                continue
            message = decode(datagram.data)
            replies = self.members[target].receive(message, source, self.now)
            queue.extend((target, reply) for reply in replies)

    def state(self, viewer, name):
        """Return the state that one member assigns to another; None if it does not know it."""
        member = self.members[viewer].replica.member(name)
        return None if member is None else member.state

    def views(self, name):
        """Return the set of states that the other members, unless frozen, assign to a member."""
        return {
            self.state(viewer, name)
            for viewer in self.members
            if viewer != name and viewer not in self._frozen
        }
