"""Steps that let one node read a store on a clock of the test's own."""

import json
import random
from types import SimpleNamespace

from behave import given, then, when

from camphorshelf_core.directory import HostDirectory
from camphorshelf_core.messages import ConfigRequestMessage
from camphorshelf_core.routes import RoutingConfig
from camphorshelf_core.storepollers import POLLER_COUNT, is_poller
from camphorshelf_relay.announcer import Reach
from camphorshelf_relay.configkeeper import ConfigKeeper
from camphorshelf_relay.storeport import StoredRow, StoreFailure, StoreRows, Trouble
from standins.fakes import FakeLoop
from standins.hosts import make_status
from standins.relayparts import READERS
from standins.relays import make_document

_ANSWER_SECONDS = 0.004


class _SilentStore:
    """A store without rows; notes when it is read, and answers unless told otherwise."""

    def __init__(self, loop):
        self._loop = loop
        self.answers = True
        self.reads = []
        self.waiting = None

    def read(self, _table, on_done):
        self.reads.append(self._loop.now())
        self.waiting = on_done
        if self.answers:
            self._loop.call_later(_ANSWER_SECONDS, lambda: on_done(StoreRows(())))


class _Settings:
    name = "a"
    domain = "d0"


class _Peers:
    def __init__(self):
        self.directory = HostDirectory()
        self.told_at = []
        self.fetched = []

    def link(self, address):
        """Count what is fetched from a host; it never answers."""
        return SimpleNamespace(call=lambda message, on_done: self.fetched.append(address))

    def tell(self):
        self.told_at.append(True)


class _Log:
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
        store = _SilentStore(loop)
        chance = random.Random(seed)
        context.peers = _Peers()
        keeper = ConfigKeeper(loop, _Settings(), store, context.peers, READERS, chance, _Log())
        keeper.start("op", "config")
        context.keeper = keeper
        context.loops.append(loop)
        context.stores.append(store)


@when("each node reads for {seconds:d} s")
def read_on(context, seconds):
    for loop in context.loops:
        loop.advance(seconds)


@then("no two polls of a node are more than {most:f} s apart")
def close_reads(context, most):
    for store in context.stores:
        gaps = [later - at for at, later in zip(store.reads, store.reads[1:], strict=False)]
        assert len(gaps) > 10 and max(gaps) <= most, max(gaps, default=None)


@then("no node reads more than {count:d} times")
def few_reads(context, count):
    for store in context.stores:
        assert len(store.reads) <= count, len(store.reads)


@when("the store refuses the node's next poll")
def refuse_poll(context):
    assert not context.keeper.lacks_store_access
    context.stores[0].answers = False
    context.loops[0].advance(1.05)
    context.stores[0].waiting(StoreFailure(Trouble.UNAVAILABLE, "refused"))


@when("the store says nothing to its next read for {seconds:f} s")
def say_nothing(context, seconds):
    context.stores[0].answers = False
    before = len(context.stores[0].reads)
    while len(context.stores[0].reads) == before:
        context.loops[0].advance(0.01)
    context.loops[0].advance(seconds)


@then("the node tells the others that the store does not answer it")
def tells(context):
    assert context.keeper.lacks_store_access
    assert context.peers.told_at


@given("{count:d} other hosts without store access, and a configuration in force")
def others_without_access(context, count):
    loop = FakeLoop()
    store, peers = _SilentStore(loop), _Peers()
    store.answers = False
    keeper = ConfigKeeper(loop, _Settings(), store, peers, None, random.Random(1), _Log())
    for number in range(count):
        peers.directory.apply_status(make_status(f"h{number}", lacks_store_access=True), 1_000.0)
    keeper.config = RoutingConfig(1, (), {}, None)
    context.loop, context.store, context.keeper, context.peers = loop, store, keeper, peers
    keeper.start("op", "config")


@when("the store refuses every read for {seconds:d} s")
def refuse_all(context, seconds):
    for _ in range(seconds * 100):
        context.loop.advance(0.01)
        for view in context.peers.directory.views():
            view.heard_at = context.loop.now()
        on_done, context.store.waiting = context.store.waiting, None
        if on_done is not None:
            on_done(StoreFailure(Trouble.UNAVAILABLE, "refused"))


@then("the node has read at most {count:d} times, and at least {least:d} times")
def reads_between(context, count, least):
    assert least <= len(context.store.reads) <= count, len(context.store.reads)


def _make_keeper():
    loop = FakeLoop()
    log = _Log()
    chance = random.Random(1)
    store = _SilentStore(loop)
    keeper = ConfigKeeper(loop, _Settings(), store, _Peers(), READERS, chance, log)
    return keeper, log


_DOMAINS = {"another domain": "d1", "its own domain": "d0"}


@then("it does not say that it lacks store access")
def not_denied(context):
    assert not context.keeper.lacks_store_access


@when("it hears of a newer version at a host of {domain} that {forwarding}")
def hears_version(context, domain, forwarding):
    directory = context.keeper._peers.directory
    status = make_status("h1", domain=_DOMAINS[domain], config_version=8, push_interval_s=0.0)
    directory.apply_status(status, context.keeper._loop.now())
    context.keeper.hear(directory.view("h1"), forwarding == "it hands on itself")


@then("it has fetched {count:d} times at once and {later:d} times after {seconds:g} s")
def check_fetched(context, count, later, seconds):
    fetched = context.keeper._peers.fetched
    assert len(fetched) == count, fetched
    context.keeper._loop.advance(seconds)
    assert len(fetched) == later, fetched


@given("a node that has a document of {count:d} routes")
def with_document(context, count):
    chance = random.Random(7)
    routes = {f"/{chance.getrandbits(40):x}/": {"service": "counter"} for _ in range(count)}
    usual = {"kind": "idempotent", "timeout_s": 1.0, "attempts": 2}
    document = make_document(7, {prefix: {**usual, **spec} for prefix, spec in routes.items()})
    context.document = json.dumps(document).encode()
    context.routes = count
    context.keeper, _ = _make_keeper()
    context.keeper.table_name, context.keeper.row_key = "op", "config"
    context.keeper._take_rows((StoredRow("config", context.document),))
    assert context.keeper.version == 7


def _ask(context):
    answers = []
    context.keeper.answer_peer(ConfigRequestMessage(0, 0), answers.append)
    return answers[0]


@when("another node asks it for its configuration")
def ask_peer(context):
    context.answer = _ask(context)
    context.other, context.log = _make_keeper()
    context.other._on_reply(context.answer, Reach.NOBODY)


@when("another node is sent all but the last {count:d} bytes of its answer")
def cut_answer(context, count):
    answer = _ask(context)
    context.other, context.log = _make_keeper()
    context.other._on_reply(answer._replace(packed=answer.packed[:-count]), Reach.NOBODY)


@then("the answer has less than a fifth of the document's bytes")
def answer_is_small(context):
    assert len(context.answer.packed) * 5 < len(context.document)


@then("the other node has the same version with all routes")
def other_has_it(context):
    assert context.other.version == 7
    assert len(context.other.config.routes) == context.routes


@then("the other node has no configuration and has logged why")
def refused(context):
    assert context.other.config is None
    assert context.log.events == ["config_refused"], context.log.events


@given("{count:d} nodes of a fleet of {size:d} in which {denied:d} have lost their store access")
def fleet_in_outage(context, count, size, denied):
    context.fleet = []
    names = [f"h{number}" for number in range(size)]
    ranked = sorted(names, key=_count_lower(names))
    for number, name in enumerate(ranked[denied : denied + count]):
        loop = FakeLoop()
        store, peers = _SilentStore(loop), _Peers()
        store.answers = False
        settings = SimpleNamespace(name=name, domain="d0")
        chance = random.Random(number)
        keeper = ConfigKeeper(loop, settings, store, peers, READERS, chance, _Log())
        keeper.config = RoutingConfig(1, (), {}, None)
        for other in names:
            if other != name:
                status = make_status(
                    other, lacks_store_access=other in ranked[:denied], push_interval_s=0.0
                )
                peers.directory.apply_status(status, loop.now())
        keeper.start("op", "config")
        context.fleet.append((loop, store))


def _count_lower(names):
    """Order names as the readers of the store are chosen."""

    def count(name):
        others = [(other, False) for other in names if other != name]
        # A name has as many before it as can be left in until it no longer reads.
        return sum(not is_poller(name, [other] * POLLER_COUNT) for other in others)

    return count


@when("the store refuses every read of theirs for {seconds:d} s")
def refuse_fleet(context, seconds):
    for loop, store in context.fleet:
        for _ in range(seconds * 100):
            loop.advance(0.01)
            on_done, store.waiting = store.waiting, None
            if on_done is not None:
                on_done(StoreFailure(Trouble.UNAVAILABLE, "refused"))


@then("they have read at most {most:d} times and at least once")
def check_fleet_reads(context, most):
    reads = sum(len(store.reads) for _, store in context.fleet)
    assert 1 <= reads <= most, reads
