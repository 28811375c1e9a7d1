"""Random runs of claim trackers with message loss, delay and reordering, kills and pauses."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from camphorshelf_core.claimactions import RunCall
from camphorshelf_core.claimrecords import ClaimKey
from camphorshelf_core.claims import ClaimTracker
from soak.claims_world import World

_NODES = st.integers(0, 2)
_KEYS = st.sampled_from([ClaimKey("orders", "k1"), ClaimKey("orders", "k2")])
_DIGESTS = st.sampled_from([b"one", b"one", b"one", b"two"])
_CHOICES = st.sampled_from(["apply", "answer", "answer", "lose", "drop"])


class ClaimsMachine(RuleBasedStateMachine):
    """Callers send calls and retries; a target may run each key at most once."""

    book_class = ClaimTracker
    steps = 0

    def __init__(self):
        super().__init__()
        self.world = World(self.book_class)

    @rule(node=_NODES, key=_KEYS, digest=_DIGESTS, vouch=st.booleans())
    def submit(self, node, key, digest, vouch):
        self.world.submit(node, key, digest, vouch)

    # A call needs a dozen steps in order to run, which single random steps hardly ever reach. So
    # most rules let one call proceed to a random point before something else happens.
    @rule(node=_NODES, key=_KEYS, vouch=st.booleans(), steps=st.integers(0, 6))
    def submit_and_advance(self, node, key, vouch, steps):
        self.world.submit(node, key, b"one", vouch)
        self.world.advance(steps)

    @rule(steps=st.integers(1, 6))
    def advance(self, steps):
        self.world.advance(steps)

    @rule(which=st.integers(0, 10), choice=_CHOICES)
    def step(self, which, choice):
        self._step(which, choice)

    @rule(which=st.integers(0, 10))
    def finish(self, which):
        self._step(which, "apply")
        self._step(which, "answer")

    @rule(choices=st.lists(_CHOICES, min_size=1, max_size=4))
    def step_newest(self, choices):
        for choice in choices:
            self._step(-1, choice)

    @rule(node=_NODES, token=st.integers(0, 10))
    def leave(self, node, token):
        self.world.leave(node, token)

    @rule()
    def leave_last(self):
        if self.world.last_sent is not None:
            self.world.leave(*self.world.last_sent)

    @rule(node=_NODES, key=_KEYS)
    def die_running(self, node, key):
        """Kill an owner while its call runs, which random steps hardly ever reach."""
        world = self.world
        world.submit(node, key, b"one", False)
        world.advance(1)
        if world.pending and isinstance(world.pending[-1].action, RunCall):
            world.step(world.pending[-1], "apply")
            world.kill(node)

    # Less frequent than the other rules, or no run would make progress.
    @rule(node=_NODES, dice=st.integers(0, 4))
    def kill(self, node, dice):
        if dice == 0:
            self.world.kill(node)

    @rule(node=_NODES, dice=st.integers(0, 2))
    def pause(self, node, dice):
        if dice == 0 or self.world.processes[node].is_paused:
            self.world.pause(node)

    @rule(seconds=st.sampled_from([0.1, 11.0]))
    def wait(self, seconds):
        self.world.now += seconds

    @invariant()
    def check(self):
        ClaimsMachine.steps += 1
        self.world.check()

    def _step(self, which, choice):
        pending = self.world.pending
        if pending:
            self.world.step(pending[which % len(pending)], choice)
