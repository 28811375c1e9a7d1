"""Random runs of quotas: kills, restarts, freezes, partitions, lost and late datagrams, limits."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from soak.quotas_world import World

HOSTS = 10
_HOSTS = st.integers(0, HOSTS - 1)
_SECONDS = st.sampled_from([0.3, 1.0, 2.5, 5.0])
# In multiples of the rate.
_LOADS = st.sampled_from([0.5, 0.95, 2.0, 8.0])


class QuotasMachine(RuleBasedStateMachine):
    """In no window do more requests run than the rule allows, whatever fails."""

    steps = 0

    def __init__(self):
        super().__init__()
        self.world = None

    @initialize(
        rate=st.sampled_from([1.0, 5.0, 30.0, 200.0]),
        burst=st.sampled_from([0.0, 10.0]),
        seed=st.integers(0, 1_000),
        hosts=st.sampled_from([3, HOSTS]),
    )
    def begin(self, rate, burst, seed, hosts):
        self.hosts = hosts
        self.world = World(hosts, rate, burst, seed)

    @rule(load=_LOADS, seconds=_SECONDS)
    def load_all(self, load, seconds):
        """Offer requests at all hosts."""
        self._offer(load, seconds, lambda at_s: self.world.chance.randrange(self.hosts))

    @rule(load=_LOADS, seconds=_SECONDS, number=_HOSTS)
    def load_one(self, load, seconds, number):
        """Offer all requests at one host."""
        self._offer(load, seconds, lambda at_s: number)

    @rule(load=_LOADS, seconds=_SECONDS, interval_s=st.sampled_from([0.1, 0.4, 1.2]))
    def load_jumping(self, load, seconds, interval_s):
        """Offer the requests at one host after the other."""
        self._offer(load, seconds, lambda at_s: int(at_s / interval_s) * 7)

    @rule(load=_LOADS, seconds=_SECONDS)
    def load_owner(self, load, seconds):
        """Offer half of the requests at the owner."""
        owner = self.world.owner()
        self._offer(load, seconds, lambda at_s: self.world.chance.choice([owner, owner + 1]))

    @rule(number=_HOSTS)
    def kill(self, number):
        self.world.kill([number % self.hosts])

    @rule()
    def kill_owner(self):
        self.world.kill([self.world.owner()])

    @rule(number=_HOSTS)
    def restart(self, number):
        self.world.start(number % self.hosts)

    @rule(number=_HOSTS, is_frozen=st.booleans())
    def freeze(self, number, is_frozen):
        self.world.freeze(number % self.hosts, is_frozen)

    @rule(is_frozen=st.booleans())
    def freeze_owner(self, is_frozen):
        self.world.freeze(self.world.owner(), is_frozen)

    @rule(size=st.integers(0, HOSTS // 2))
    def split(self, size):
        """Cut some hosts off from the others; none to end the partition."""
        self.world.split(range(min(size, self.hosts // 2)))

    @rule()
    def cut_owner(self):
        self.world.split([self.world.owner()])

    @rule(loss=st.sampled_from([0.0, 0.05, 0.3]), late=st.sampled_from([0.0, 0.1]))
    def disturb(self, loss, late):
        """Lose and delay datagrams from now on."""
        self.world.loss, self.world.late = loss, late

    @rule(part=st.sampled_from([0.5, 2.0]))
    def change_limit(self, part):
        self.world.change_limit(part)

    def teardown(self):
        if self.world is not None:
            self.world.check_bound()

    def _offer(self, load, seconds, choose):
        type(self).steps += 1
        rate = self.world.organisation.rate_per_s
        self.world.offer(seconds, load * rate, lambda at_s: choose(at_s) % self.hosts)
