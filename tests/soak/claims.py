"""Random runs of the claim books: callers, loss, delay, reordering, kills and pauses."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from camphorshelf_core.claimrecords import ClaimKey
from camphorshelf_core.claims import ClaimBook
from soak.claims_world import World

_NODES = st.integers(0, 2)
_KEYS = st.sampled_from([ClaimKey("orders", "k1"), ClaimKey("orders", "k2")])
_DIGESTS = st.sampled_from([b"one", b"one", b"one", b"two"])
_CHOICES = st.sampled_from(["apply", "answer", "answer", "lose", "drop"])


class ClaimsMachine(RuleBasedStateMachine):
    """Callers send and resend; a target may run each key at most once."""

    book_class = ClaimBook
    steps = 0

    def __init__(self):
        super().__init__()
        self.world = World(self.book_class)

    @rule(node=_NODES, key=_KEYS, digest=_DIGESTS, vouch=st.booleans())
    def submit(self, node, key, digest, vouch):
        self.world.submit(node, key, digest, vouch)

    # Most steps move something on; without the repetition nearly all runs would be of
    # requests that are never worked on.
    @rule(which=st.integers(0, 30), choice=_CHOICES)
    def step(self, which, choice):
        self._step(which, choice)

    @rule(which=st.integers(0, 30), choice=_CHOICES)
    def step_again(self, which, choice):
        self._step(which, choice)

    @rule(choices=st.lists(_CHOICES, min_size=2, max_size=6))
    def step_oldest(self, choices):
        for choice in choices:
            self._step(0, choice)

    @rule(choices=st.lists(_CHOICES, min_size=2, max_size=6))
    def step_newest(self, choices):
        for choice in choices:
            self._step(-1, choice)

    @rule(node=_NODES, token=st.integers(0, 10))
    def leave(self, node, token):
        self.world.leave(node, token)

    @rule(node=_NODES)
    def kill(self, node):
        self.world.kill(node)

    @rule(node=_NODES)
    def pause(self, node):
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
