"""Steps about the polls of a fake store by configuration synchronizers, on a simulated clock."""

import json
import random
from types import SimpleNamespace

from behave import given, then, when

from camphorshelf_core.directory import HostDirectory
from camphorshelf_core.messages import ConfigRequestMessage
from camphorshelf_core.routes import RoutingConfig
from camphorshelf_core.storepollers import POLLER_COUNT, is_poller
from camphorshelf_relay.announcer import AnnouncementScope
from camphorshelf_relay.configsync import ConfigSynchronizer
from camphorshelf_relay.storeport import FailureKind, StoredRow, StoreFailure, StoreRows
from standins.fakes import FakeLoop
from standins.hosts import make_status
from standins.relayparts import READERS
from standins.relays import make_document

_ANSWER_SECONDS = 0.004


class _FakeStore:
    """A store without rows that records when it is read.

    It answers after a short delay; with ``answers`` false the test calls ``pending`` itself.
    """

    def __init__(self, loop):
        self._loop = loop
        self.answers = True
        self.reads = []
        self.pending = None

    def read(self, _table, on_done):
        self.reads.append(self._loop.now())
        self.pending = on_done
        if self.answers:
            self._loop.call_later(_ANSWER_SECONDS, lambda: on_done(StoreRows(())))


class _FakeSettings:
    name = "a"
    domain = "d0"
    contact_limit_s = 2.0


class _FakePeers:
    def __init__(self):
        self.directory = HostDirectory()
        self.announcements = []
        self.fetched = []

    def link(self, address):
        """Return a link that records each fetch from a host and never answers."""
        return SimpleNamespace(call=lambda message, on_done: self.fetched.append(address))

    def announce_changes(self):
        self.announcements.append(True)


class _FakeLog:
    def __init__(self):
        self.events = []

    def notable(self, event, **fields):
        self.events.append(event)


@given("a store without rows, on {count:d} seeds")
def empty_store(context, count):
    context.stores = []
    context.loops = []
    for seed in range(count):
        loop = FakeLoop()
        store = _FakeStore(loop)
        rng = random.Random(seed)
        context.peers = _FakePeers()
        synchronizer = ConfigSynchronizer(
            loop, _FakeSettings(), store, context.peers, READERS, rng, _FakeLog()
        )
        synchronizer.start("op", "config")
        context.synchronizer = synchronizer
        context.loops.append(loop)
        context.stores.append(store)


@when("each node polls for {seconds:d} s")
def poll_on(context, seconds):
    for loop in context.loops:
        loop.advance(seconds)


@then("no two polls of a node are more than {most:f} s apart")
def check_poll_gaps(context, most):
    for store in context.stores:
        gaps = [later - at for at, later in zip(store.reads, store.reads[1:], strict=False)]
        assert len(gaps) > 10 and max(gaps) <= most, max(gaps, default=None)


@then("no node polls more than {count:d} times")
def check_few_polls(context, count):
    for store in context.stores:
        assert len(store.reads) <= count, len(store.reads)


@when("the store refuses the node's next poll")
def refuse_poll(context):
    assert not context.synchronizer.lacks_store_access
    context.stores[0].answers = False
    context.loops[0].advance(1.05)
    context.stores[0].pending(StoreFailure(FailureKind.UNAVAILABLE, "refused"))


@when("the store does not answer its next poll for {seconds:f} s")
def leave_unanswered(context, seconds):
    context.stores[0].answers = False
    before = len(context.stores[0].reads)
    while len(context.stores[0].reads) == before:
        context.loops[0].advance(0.01)
    context.loops[0].advance(seconds)


@then("the node announces that it lacks store access")
def check_announced(context):
    assert context.synchronizer.lacks_store_access
    assert context.peers.announcements


@given("{count:d} other hosts without store access, and a configuration in force")
def others_without_access(context, count):
    loop = FakeLoop()
    store, peers = _FakeStore(loop), _FakePeers()
    store.answers = False
    synchronizer = ConfigSynchronizer(
        loop, _FakeSettings(), store, peers, None, random.Random(1), _FakeLog()
    )
    for number in range(count):
        peers.directory.apply_status(make_status(f"h{number}", lacks_store_access=True), 1_000.0)
    synchronizer.config = RoutingConfig(1, (), {}, None)
    context.loop, context.store, context.synchronizer, context.peers = (
        loop,
        store,
        synchronizer,
        peers,
    )
    synchronizer.start("op", "config")


@when("the store refuses every poll for {seconds:d} s")
def refuse_all(context, seconds):
    for _ in range(seconds * 100):
        context.loop.advance(0.01)
        for view in context.peers.directory.views():
            view.heard_at = context.loop.now()
        on_done, context.store.pending = context.store.pending, None
        if on_done is not None:
            on_done(StoreFailure(FailureKind.UNAVAILABLE, "refused"))


@then("the node has polled at most {count:d} times, and at least {least:d} times")
def check_poll_count(context, count, least):
    assert least <= len(context.store.reads) <= count, len(context.store.reads)


def _make_synchronizer():
    loop = FakeLoop()
    log = _FakeLog()
    rng = random.Random(1)
    store = _FakeStore(loop)
    synchronizer = ConfigSynchronizer(loop, _FakeSettings(), store, _FakePeers(), READERS, rng, log)
    return synchronizer, log


_DOMAINS = {"another domain": "d1", "its own domain": "d0"}


@then("it does not announce that it lacks store access")
def check_not_announced(context):
    assert not context.synchronizer.lacks_store_access


@when("it learns of a newer version at a host of {domain} whose status {forwarding}")
def learn_version(context, domain, forwarding):
    directory = context.synchronizer._peers.directory
    status = make_status("h1", domain=_DOMAINS[domain], config_version=8, push_interval_s=0.0)
    directory.apply_status(status, context.synchronizer._loop.now())
    context.synchronizer.on_peer_status(directory.view("h1"), forwarding == "the node forwards")


@then("it has fetched {count:d} times at once and {later:d} times after {seconds:g} s")
def check_fetched(context, count, later, seconds):
    fetched = context.synchronizer._peers.fetched
    assert len(fetched) == count, fetched
    context.synchronizer._loop.advance(seconds)
    assert len(fetched) == later, fetched


@given("a node that has a document of {count:d} routes")
def with_document(context, count):
    rng = random.Random(7)
    routes = {f"/{rng.getrandbits(40):x}/": {"service": "counter"} for _ in range(count)}
    usual = {"kind": "idempotent", "timeout_s": 1.0, "attempts": 2}
    document = make_document(7, {prefix: {**usual, **spec} for prefix, spec in routes.items()})
    context.document = json.dumps(document).encode()
    context.routes = count
    context.synchronizer, _ = _make_synchronizer()
    context.synchronizer.table_name, context.synchronizer.row_key = "op", "config"
    context.synchronizer._apply_rows((StoredRow("config", context.document),))
    assert context.synchronizer.version == 7


def _request_config(context):
    answers = []
    context.synchronizer.answer_peer(ConfigRequestMessage(0, 0), answers.append)
    return answers[0]


@when("another node requests its configuration")
def ask_peer(context):
    context.answer = _request_config(context)
    context.other, context.log = _make_synchronizer()
    context.other._on_reply(context.answer, AnnouncementScope.NOBODY)


@when("another node is sent all but the last {count:d} bytes of its answer")
def truncate_answer(context, count):
    answer = _request_config(context)
    context.other, context.log = _make_synchronizer()
    context.other._on_reply(
        answer._replace(packed=answer.packed[:-count]), AnnouncementScope.NOBODY
    )


@then("the answer has less than a fifth of the document's bytes")
def check_answer_size(context):
    assert len(context.answer.packed) * 5 < len(context.document)


@then("the other node has the same version with all routes")
def check_other_version(context):
    assert context.other.version == 7
    assert len(context.other.config.routes) == context.routes


@then("the other node has no configuration and has logged why")
def check_refused(context):
    assert context.other.config is None
    assert context.log.events == ["config_refused"], context.log.events


@given("{count:d} nodes of a fleet of {size:d} in which {without_access:d} have lost store access")
def start_fleet(context, count, size, without_access):
    context.fleet = []
    names = [f"h{number}" for number in range(size)]
    ranked = sorted(names, key=_rank_key(names))
    for number, name in enumerate(ranked[without_access : without_access + count]):
        loop = FakeLoop()
        store, peers = _FakeStore(loop), _FakePeers()
        store.answers = False
        settings = SimpleNamespace(name=name, domain="d0", contact_limit_s=2.0)
        rng = random.Random(number)
        synchronizer = ConfigSynchronizer(loop, settings, store, peers, READERS, rng, _FakeLog())
        synchronizer.config = RoutingConfig(1, (), {}, None)
        for other in names:
            if other != name:
                status = make_status(
                    other, lacks_store_access=other in ranked[:without_access], push_interval_s=0.0
                )
                peers.directory.apply_status(status, loop.now())
        synchronizer.start("op", "config")
        context.fleet.append((loop, store))


def _rank_key(names):
    """Return a sort key that ranks names in the order in which pollers are chosen."""

    def count(name):
        others = [(other, False) for other in names if other != name]
        # With POLLER_COUNT copies of one other name, the name polls only if it ranks before it.
        return sum(not is_poller(name, [other] * POLLER_COUNT) for other in others)

    return count


@when("the store refuses every poll of these nodes for {seconds:d} s")
def refuse_fleet(context, seconds):
    for loop, store in context.fleet:
        for _ in range(seconds * 100):
            loop.advance(0.01)
            on_done, store.pending = store.pending, None
            if on_done is not None:
                on_done(StoreFailure(FailureKind.UNAVAILABLE, "refused"))


@then("they have polled at most {most:d} times and at least once")
def check_fleet_reads(context, most):
    reads = sum(len(store.reads) for _, store in context.fleet)
    assert 1 <= reads <= most, reads
