"""Steps that start the store controllers of several nodes together, on a fake clock."""

import itertools
import random
from types import SimpleNamespace

import cbor2
from behave import given, then, when

from camphorshelf_core.directory import HostDirectory
from camphorshelf_relay.configsync import ConfigSynchronizer
from camphorshelf_relay.discovery import TABLE, Discovery
from camphorshelf_relay.settings import Endpoint
from camphorshelf_relay.storeport import StoredRow, StoreRows
from standins.fakes import FakeLoop
from standins.fleet import Fleet
from standins.relayparts import READERS

_ANSWER_SECONDS = 0.004


class _Store:
    """Rows of several tables; a call takes effect after half of its answer time."""

    def __init__(self, loop):
        self._loop = loop
        self.rows = {TABLE: {}, "op": {}}
        self.calls = {TABLE: 0, "op": 0}

    def _carry_out(self, table, action, on_done):
        self.calls[table] += 1

        def run():
            result = action()
            self._loop.call_later(_ANSWER_SECONDS / 2, lambda: on_done(result))

        self._loop.call_later(_ANSWER_SECONDS / 2, run)

    def read(self, table, on_done):
        def action():
            return StoreRows(tuple(StoredRow(*row) for row in sorted(self.rows[table].items())))

        self._carry_out(table, action, on_done)

    def put(self, table, key, value, on_done):
        def action():
            self.rows[table][key] = value
            return StoreRows(())

        self._carry_out(table, action, on_done)


class _Peers:
    has_all_addresses = False

    def __init__(self):
        self.directory = HostDirectory()
        self.learned = set()

    def add_addresses(self, addresses):
        self.learned.update(addresses)

    def announce_changes(self):
        """Do nothing; this fake has no peers to notify."""


class _Log:
    def notable(self, event, **fields):
        """Ignore the event."""


class _Host:
    def __init__(self, context, number, is_first_start, port=8624):
        loop, store = context.loop, context.store
        self.name = f"host-{number}"
        self.address = f"10.0.0.{number + 1}:{port}"
        settings = SimpleNamespace(
            name=self.name,
            is_first_start=is_first_start,
            contact_limit_s=2.0,
            addresses=SimpleNamespace(links=Endpoint(f"10.0.0.{number + 1}", port)),
        )
        self.peers = _Peers()
        rng = random.Random(number)
        self.config = ConfigSynchronizer(loop, settings, store, self.peers, READERS, rng, _Log())
        self.discovery = Discovery(loop, settings, store, self.peers, rng, _Log())

    def start(self):
        self.discovery.start()


def _start(context, numbers, is_first_start, **options):
    hosts = [_Host(context, number, is_first_start, **options) for number in numbers]
    for host in hosts:
        host.start()
    context.hosts += hosts


@given("{count:d} hosts that start together for the first time")
def start_hosts(context, count):
    context.loop, context.hosts = FakeLoop(), []
    context.store = _Store(context.loop)
    _start(context, range(count), is_first_start=True)


@given("a running system of {count:d} hosts")
def give_running_system(context, count):
    start_hosts(context, count)
    context.loop.advance(1.0)
    context.store.calls[TABLE] = 0


@when("{seconds:g} s passes")
@when("{seconds:g} s pass")
@when("the others receive nothing, and {seconds:g} s pass")
def pass_time(context, seconds):
    context.loop.advance(seconds)


@when("{count:d} new hosts start together and {seconds:g} s passes")
def start_new_hosts(context, count, seconds):
    first = len(context.hosts)
    _start(context, range(first, first + count), is_first_start=False)
    context.loop.advance(seconds)


@when("{count:d} of its hosts restart and {seconds:g} s passes")
def restart_hosts(context, count, seconds):
    _start(context, range(count), is_first_start=False)
    context.loop.advance(seconds)


@when("a host restarts at another address and {seconds:g} s passes")
def restart_at_new_address(context, seconds):
    _start(context, [3], is_first_start=False, port=9999)
    context.loop.advance(seconds)


@then("its row holds the new address")
def check_row(context):
    host = context.hosts[-1]
    assert cbor2.loads(context.store.rows[TABLE][host.name]) == host.address


@then("of any two hosts at least one has found the other")
def check_all_found(context):
    for one, other in itertools.combinations(context.hosts, 2):
        assert other.address in one.peers.learned or one.address in other.peers.learned


@then("the store took {count:d} calls for the hosts' rows")
def check_row_calls(context, count):
    assert context.store.calls[TABLE] == count, context.store.calls


@given("{count:d} hosts of a system that lost power, with a configuration in the store")
def restart_after_power_loss(context, count):
    give_running_system(context, count)
    context.hosts = []
    hosts = [_Host(context, number, is_first_start=False) for number in range(count)]
    for host in hosts:
        host.discovery.on_done = host.config.start_if_default_poller
        host.config.start("op", "config")
        host.start()
    context.hosts = hosts


@then("{count:d} of them have read the configuration")
def check_config_reads(context, count):
    assert context.store.calls["op"] == count, context.store.calls


@given("{count:d} hosts whose nodes start together for the first time and lose 3 of 100 datagrams")
def start_fleet(context, count):
    context.fleet = Fleet(0, loss=0.03)
    context.store = _Store(context.fleet.loop)
    for number in range(count):
        host = context.fleet.start(number, with_roster=False)
        Discovery(
            context.fleet.loop, host.settings, context.store, host.peers, host.rng, _Log()
        ).start()


@when("their nodes run for {seconds:g} s")
def run_fleet(context, seconds):
    context.fleet.run(seconds)


@then("every node has found every other")
def check_every_node_found(context):
    for host in context.fleet.up():
        live = context.fleet.live_views(host)
        assert len(live) >= len(context.fleet.hosts) - 2, len(live)
        assert host.peers.directory.size == len(context.fleet.hosts) - 1


@then("the store took at most {count:d} calls for the hosts' rows")
def check_max_row_calls(context, count):
    assert context.store.calls[TABLE] <= count, context.store.calls
