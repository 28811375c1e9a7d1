"""Steps that let one node read a store on a clock of the test's own."""

import random

from behave import given, then, when

from camphorshelf_core.hosts import HostDirectory
from camphorshelf_core.routes import RoutingConfig
from camphorshelf_core.watchers import is_served
from camphorshelf_relay.configkeeper import ConfigKeeper
from camphorshelf_relay.storeport import StoreFailure, StoreRows, Trouble
from standins.fakes import FakeLoop
from standins.hosts import make_status

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


class _Peers:
    def __init__(self):
        self.directory = HostDirectory()
        self.told_at = []

    def tell(self):
        self.told_at.append(True)


class _Log:
    def notable(self, event, **fields):
        """Take no note."""


@given("a store without rows, on {count:d} seeds")
def empty_store(context, count):
    context.stores = []
    context.loops = []
    for seed in range(count):
        loop = FakeLoop()
        store = _SilentStore(loop)
        chance = random.Random(seed)
        context.peers = _Peers()
        keeper = ConfigKeeper(loop, _Settings(), store, context.peers, None, chance, _Log())
        keeper.start("op", "config")
        context.keeper = keeper
        context.loops.append(loop)
        context.stores.append(store)


@when("each node reads for {seconds:d} s")
def read_on(context, seconds):
    for loop in context.loops:
        loop.advance(seconds)


@then("no two reads of a node are more than {most:f} s apart")
def close_reads(context, most):
    for store in context.stores:
        gaps = [later - at for at, later in zip(store.reads, store.reads[1:], strict=False)]
        assert len(gaps) > 10 and max(gaps) <= most, max(gaps, default=None)


@then("no node reads more than {count:d} times")
def few_reads(context, count):
    for store in context.stores:
        assert len(store.reads) <= count, len(store.reads)


@when("the store turns the node away at its next read")
def turn_away(context):
    assert is_served(context.keeper.store_age_s)
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
    assert not is_served(context.keeper.store_age_s)
    assert context.peers.told_at


@given("{count:d} other hosts that the store turns away, and a configuration in force")
def others_turned_away(context, count):
    loop = FakeLoop()
    store, peers = _SilentStore(loop), _Peers()
    store.answers = False
    keeper = ConfigKeeper(loop, _Settings(), store, peers, None, random.Random(1), _Log())
    for number in range(count):
        peers.directory.take(make_status(f"h{number}", store_age_s=-1.0), 1_000.0)
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
