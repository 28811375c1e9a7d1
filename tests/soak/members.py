"""Random runs of membership: restarts, leaves, partitions, suspensions, delayed datagrams."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from soak.members_world import HOSTS, World

_HOSTS = st.integers(0, HOSTS - 1)
_SECONDS = st.sampled_from([0.05, 0.3, 1.0, 2.5])


class MembersMachine(RuleBasedStateMachine):
    """What a host knows of others never gets older; without faults, all hosts know all others."""

    is_clock_behind = False
    steps = 0

    def __init__(self):
        super().__init__()
        self.world = None

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed):
        self.world = World(seed, self.is_clock_behind)

    @rule(number=_HOSTS)
    def restart(self, number):
        self._count()
        self.world.start(number)

    @rule(first=_HOSTS, other=_HOSTS, seconds=_SECONDS)
    def restart_both(self, first, other, seconds):
        """Restart a host twice, the second time before it has heard of its first predecessor."""
        self._count()
        self.world.leave(first)
        self.world.hold((first + 1) % HOSTS)
        self.world.wait(seconds)
        self.world.start(first)
        self.world.start(other)
        self.world.wait(seconds)
        self.world.hold((first + 1) % HOSTS)

    @rule(number=_HOSTS)
    def kill(self, number):
        self._count()
        self.world.kill([number])

    @rule(number=_HOSTS, seconds=st.sampled_from([0.7, 1.0, 1.5]))
    def restart_suspected(self, number, seconds):
        """Suspect the old process; some hosts hear of it after the new process's status."""
        self._count()
        self.world.kill([number])
        self.world.wait(seconds)
        self.world.start(number)
        self.world.wait(seconds)

    @rule(number=_HOSTS)
    def leave(self, number):
        self._count()
        self.world.leave(number)

    @rule(number=_HOSTS)
    def cut(self, number):
        self._count()
        self.world.cut(number)

    @rule(number=_HOSTS)
    def hold(self, number):
        self._count()
        self.world.hold(number)

    @rule(seconds=_SECONDS)
    def wait(self, seconds):
        self._count()
        self.world.wait(seconds)

    # Less frequent than the other rules, because it takes long.
    @rule(number=_HOSTS, dice=st.integers(0, 5))
    def outlast(self, number, dice):
        if dice == 0:
            self._count()
            self.world.cut(number)
            self.world.outlast()

    def teardown(self):
        if self.world is not None:
            self.world.calm()

    def _count(self):
        type(self).steps += 1


class BehindMachine(MembersMachine):
    """Each process of a host starts with a clock that is behind its predecessor's."""

    is_clock_behind = True
    steps = 0
