"""Steps that let one node watch a store on a clock of the test's own."""

import random

from behave import given, then, when

from camphorshelf_core.hosts import HostDirectory
from camphorshelf_core.watchers import is_served
from camphorshelf_relay.configkeeper import ConfigKeeper
from camphorshelf_relay.storeport import StoreFailure, StoreRows, Trouble
from standins.fakes import FakeLoop

_ANSWER_SECONDS = 0.004


class _SilentStore:
    """A store whose watches end without rows; notes when it is read."""

    def __init__(self, loop):
        self._loop = loop
        self.reads = []

    def read(self, _table, on_done):
        self.reads.append(self._loop.now())
        self._loop.call_later(_ANSWER_SECONDS, lambda: on_done(StoreRows((), 1)))

    def watch(self, _table, _after, wait_s, on_done):
        self.broken_off = on_done
        self._loop.call_later(wait_s + _ANSWER_SECONDS, lambda: on_done(StoreRows((), 1)))


class _Settings:
    name = "a"


class _Peers:
    directory = HostDirectory()


class _Log:
    def notable(self, event, **fields):
        """Take no note."""


@given("watches that report nothing, on {count:d} seeds")
def silent_watches(context, count):
    context.stores = []
    context.loops = []
    for seed in range(count):
        loop = FakeLoop()
        store = _SilentStore(loop)
        chance = random.Random(seed)
        keeper = ConfigKeeper(loop, _Settings(), store, _Peers(), None, chance, _Log())
        keeper.start("op", "config")
        context.keeper = keeper
        context.loops.append(loop)
        context.stores.append(store)


@when("each node watches for {seconds:d} s")
def watch(context, seconds):
    for loop in context.loops:
        loop.advance(seconds)


@then("no two reads of a node are more than {most:f} s apart")
def close_reads(context, most):
    for store in context.stores:
        gaps = [later - at for at, later in zip(store.reads, store.reads[1:], strict=False)]
        assert len(gaps) > 10 and max(gaps) <= most, max(gaps, default=None)


@when("the store breaks off the next call")
def break_off(context):
    assert is_served(context.keeper.store_age_s)
    context.stores[0].broken_off(StoreFailure(Trouble.NO_ANSWER, "the connection was lost"))


@then("the node tells the others that the store does not answer it")
def tells(context):
    assert not is_served(context.keeper.store_age_s)
