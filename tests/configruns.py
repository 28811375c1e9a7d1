"""Random runs of planning, confirming and distributing configurations, with faults.

Three nodes in three failure domains share a fake clock, platform and network. Answers are taken
at the moment of asking and delivered at any later one, also after a freeze.
"""

from fakeplatform import FakePlatform, Fault, run_to_end
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from camphorshelf_core.config import (
    EMPTY_BODY,
    EMPTY_HEAD,
    decode_document,
    decode_head,
    sha256_hex,
)
from camphorshelf_core.confirm import (
    CONFIG_PARTITION,
    HEAD_KEY,
    ConfirmResult,
    ReadObject,
    StoredPlan,
    body_key,
    confirm_steps,
    plan_key,
    plan_steps,
)
from camphorshelf_core.errors import Code
from camphorshelf_core.intents import OwnerUpdate, TargetUpdate
from camphorshelf_core.plans import decode_plan
from camphorshelf_core.settings import ConfigurationSettings
from camphorshelf_core.teams import Operator
from camphorshelf_core.versions import PEERS, PLATFORM, LocalVersion, PeerVersion

_SETTINGS = ConfigurationSettings()
_OPERATOR = Operator("flock", ("counter",))
_NODES = st.integers(0, 2)
_FAULTS = st.sampled_from(Fault)


class Host:
    """The version that a node holds, and the one at the start of its epoch."""

    def __init__(self, name, now):
        self.name = name
        self.held = LocalVersion(_SETTINGS, now)
        self.frozen = False
        self.stopped_at = now
        self.seen_version = 0
        self.floors = {}


class ConfigRuns(RuleBasedStateMachine):
    """Operators race, nodes are suspended and restarted and the platform fails."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.truth = {0: EMPTY_HEAD}
        self.platform = FakePlatform(self._note_swap)
        self.hosts = [Host(f"n{number}", self.now) for number in range(3)]
        self.plans = []
        self.confirms = []
        self.in_flight = []
        self.lost = set()
        for host in self.hosts:
            self._begin_epoch(host)

    @initialize()
    def own_the_service(self):
        """Set the owner of the service by a plan and its confirmation."""
        self._plan(OwnerUpdate("counter", "flock"))
        end = run_to_end(confirm_steps(self.plans[0], _OPERATOR), self.platform)
        assert isinstance(end, ConfirmResult), end

    @rule(name=st.sampled_from(["a", "b"]), weight=st.integers(0, 100))
    def plan(self, name, weight):
        """Make a plan based on the newest version."""
        self._plan(TargetUpdate("counter", name, weight=weight))

    @rule(weight=st.integers(0, 100), place=st.integers(0, 6), fault=_FAULTS)
    def change(self, weight, place, fault):
        """Plan and confirm at once; one answer may be lost."""
        faults = [Fault.NONE] * place + [fault]
        known = len(self.plans)
        self._plan(TargetUpdate("counter", "a", weight=weight))
        if len(self.plans) > known:
            digest = self.plans[-1]
            self._check_end(
                digest, run_to_end(confirm_steps(digest, _OPERATOR), self.platform, faults)
            )

    @precondition(lambda self: self.plans)
    @rule(data=st.data())
    def begin_confirm(self, data):
        """Confirm one of the plans, for the first time or again."""
        digest = data.draw(st.sampled_from(self.plans))
        self.confirms.append([digest, confirm_steps(digest, _OPERATOR), None])

    @precondition(lambda self: self.confirms)
    @rule(data=st.data(), fault=_FAULTS)
    def step_confirm(self, data, fault):
        """Carry out one operation of one confirm, interleaved with those of others."""
        self._step(data.draw(st.integers(0, len(self.confirms) - 1)), fault)

    @precondition(lambda self: self.confirms)
    @rule(data=st.data(), faults=st.lists(_FAULTS, max_size=8))
    def finish_confirm(self, data, faults):
        """Carry out all remaining operations of one confirm, so that runs make progress."""
        index = data.draw(st.integers(0, len(self.confirms) - 1))
        for fault in (*faults, *(Fault.NONE for _ in range(24))):
            if not self._step(index, fault):
                return

    @precondition(lambda self: self.platform.late)
    @rule()
    def land_late_write(self):
        """Apply a write long after its caller has stopped waiting for the answer."""
        self.platform.land()

    @rule()
    def switch_platform(self):
        """Start or end an outage."""
        self.platform.down = not self.platform.down

    @rule(number=_NODES, prompt=st.booleans())
    def ask_platform(self, number, prompt):
        """Let a node request the head row; the answer may be delayed."""
        host = self.hosts[number]
        if host.frozen:
            return
        head = None if self.platform.down else self._head()
        epoch = host.held.epoch
        self._send(host, lambda: host.held.on_head(epoch, head, self.now), prompt)

    @rule(number=_NODES)
    def catch_up(self, number):
        """Let a node read the head row and its body from the platform."""
        host, head = self.hosts[number], self._head()
        if host.frozen or self.platform.down:
            return
        host.held.on_head(host.held.epoch, head, self.now)
        host.held.install(self._read_body(head), head.digest, self.now)

    @rule(number=_NODES, other=_NODES, prompt=st.booleans())
    def ask_peer(self, number, other, prompt):
        """Let a node request a peer's version and body; the answer may be delayed."""
        host, peer = self.hosts[number], self.hosts[other]
        if host is peer or host.frozen or peer.frozen:
            return
        held, epoch, body = peer.held, host.held.epoch, peer.held.body
        proved = held.find_refusal(self.now) is None
        answer = PeerVersion(peer.name, f"fd-{other}", held.version, held.digest, proved)

        def deliver():
            host.held.install(body, answer.digest, self.now)
            host.held.on_peer(epoch, answer, self.now)

        self._send(host, deliver, prompt)

    @rule(number=_NODES, data=st.data(), corrupt=st.booleans())
    def fetch(self, number, data, corrupt):
        """Deliver a body from the object store, which may be old or damaged."""
        host = self.hosts[number]
        head = self.truth[data.draw(st.integers(1, len(self.truth) - 1))]
        if host.frozen:
            return
        body = self._read_body(head)
        if corrupt:
            body = body.replace(b"flock", b"clock")
        host.held.install(body, head.digest, self.now)

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data())
    def deliver(self, data):
        """Deliver one of the delayed answers, in any order."""
        host, act = self.in_flight.pop(data.draw(st.integers(0, len(self.in_flight) - 1)))
        if host in self.hosts and not host.frozen:
            act()

    @rule(number=_NODES)
    def freeze(self, number):
        """Suspend a process or resume it; a call may be the first event that it then handles."""
        host = self.hosts[number]
        host.frozen = not host.frozen
        if host.frozen:
            host.stopped_at = self.now
            return
        if self.now - host.stopped_at > 2 * _SETTINGS.freeze_ms / 1000:
            assert host.held.find_refusal(self.now) is not None
        self._run(host)

    @rule(number=_NODES)
    def restart(self, number):
        """Replace a host, which loses its state."""
        host = Host(f"n{number}", self.now)
        self.hosts[number] = host
        self._begin_epoch(host)

    @rule(seconds=st.sampled_from([0.2, 1.0, 8.0]))
    def pass_time(self, seconds):
        """Advance the clock in small steps."""
        for _ in range(round(seconds / 0.2)):
            self.now += 0.2
            for host in self.hosts:
                self._run(host)

    @invariant()
    def calls_meet_no_older_version(self):
        """Deliver a call to each running node."""
        for host in self.hosts:
            if not host.frozen:
                self._check_call(host)

    @invariant()
    def held_versions_are_confirmed_ones(self):
        """No node holds a body that was not confirmed, or one that is older than before."""
        for host in self.hosts:
            held = host.held
            assert held.digest == self.truth[held.version].digest
            assert sha256_hex(held.body) == held.digest
            assert held.version >= host.seen_version
            assert held.violations == 0
            host.seen_version = held.version

    @invariant()
    def lost_plans_stay_out(self):
        """A plan that was refused as CONFLICT never comes into force."""
        assert not self.lost & {head.plan for head in self.truth.values()}

    def _run(self, host):
        if not host.frozen and host.held.record_activity(self.now, True):
            self._begin_epoch(host)

    def _check_call(self, host):
        proof = host.held.proved_by
        if host.held.find_refusal(self.now) is None:
            assert host.held.version >= host.floors[proof], (host.name, proof, host.floors)

    def _begin_epoch(self, host):
        """Record the lowest version that a proof of this epoch may show."""
        others = [one.held for one in self.hosts if one is not host]
        proved = [held.version for held in others if held.find_refusal(self.now) is None]
        host.floors = {PLATFORM: self._head().version, PEERS: max(proved, default=0)}

    def _head(self):
        row = self.platform.row(CONFIG_PARTITION, HEAD_KEY)
        return decode_head(row[0] if row else None)

    def _note_swap(self, operation):
        if operation.partition == CONFIG_PARTITION:
            head = decode_head(operation.data)
            assert head.version not in self.truth
            body = decode_document(self.platform._apply(ReadObject(body_key(head.digest))))
            assert body.recent[:1] == () or body.recent[0].digest in self._digests()
            assert head.plan not in {one.plan for one in self.truth.values()}
            plan = decode_plan(self.platform._apply(ReadObject(plan_key(head.plan))))
            assert plan.base == head.version - 1
            self.truth[head.version] = head

    def _digests(self):
        return {head.digest for head in self.truth.values()}

    def _plan(self, wish):
        end = run_to_end(plan_steps((wish,), _OPERATOR, {}, int(self.now)), self.platform)
        if isinstance(end, StoredPlan) and end.digest not in self.plans:
            self.plans.append(end.digest)

    def _step(self, index, fault):
        digest, steps, operation = self.confirms[index]
        try:
            outcome = None if operation is None else self.platform.run(operation, fault)
            self.confirms[index][2] = steps.send(outcome)
        except StopIteration as end:
            del self.confirms[index]
            self._check_end(digest, end.value)
            return False
        return True

    def _check_end(self, digest, end):
        if isinstance(end, ConfirmResult):
            assert self.truth[end.version].plan == digest
            assert decode_document(end.body).version == end.head.version >= end.version
        elif end.code is Code.CONFLICT:
            self.lost.add(digest)
        else:
            assert end.code in (Code.PLATFORM_DOWN, Code.CONFIRM_UNKNOWN), end

    def _read_body(self, head):
        return self.platform._apply(ReadObject(body_key(head.digest))) or EMPTY_BODY

    def _send(self, host, act, prompt):
        if prompt:
            act()
        else:
            self.in_flight.append((host, act))
