"""Steps about finding peers through the platform."""

import random
from collections import Counter

from behave import given, then, when
from returns.result import Success

from camphorshelf_core.join import (
    CONTACT_ROWS,
    poll_seconds,
    random_row_key,
    retry_seconds,
    row_key,
)
from camphorshelf_core.roster import Member, MemberState, pack_member
from camphorshelf_core.settings import ListenSettings, PlatformSettings, Settings
from camphorshelf_node.gossip import Gossip
from camphorshelf_node.join import PARTITION, Join
from standins.fakes import FakeLoop


class FakeTable:
    """The part of the platform's client that Join uses, backed by a dict."""

    def __init__(self):
        self.rows = {}
        self.deleted = []

    def put(self, partition, key, data, on_done):
        self.rows[key] = data
        on_done(True)

    def get(self, partition, key, on_done):
        on_done(Success(self.rows.get(key)))

    def query(self, partition, on_done, limit=None, start_after=None):
        on_done(dict(sorted(self.rows.items())[:limit]))

    def delete_if_same(self, partition, key, data, on_done):
        self.deleted.append(key)
        assert self.rows.pop(key) == data


class FakeLog:
    """A log that discards every line."""

    def info(self, text):
        """Discard the line."""


def make_member(name, state=MemberState.ALIVE):
    return Member(name, 1, 0, state, f"{name}-1", "127.0.0.1:1", "fd-a", None)


@then("{members:d} members read between {least:f} and {most:f} pages a second in total")
def check_pages(context, members, least, most):
    rng = random.Random(members)
    pages = sum(1 / poll_seconds(members, rng) for _ in range(members))
    assert least <= pages <= most, pages


@when("{count:d} nodes schedule their next attempt after {failures:d} failures")
def schedule_attempts(context, count, failures):
    rng = random.Random(5)
    context.waits = [retry_seconds(failures, rng) for _ in range(count)]


@then("no second of the next minute has more than {most:d} of them")
def check_spread_out(context, most):
    seconds = Counter(int(wait) for wait in context.waits)
    assert max(seconds.values()) <= most, seconds


@given('a node that knows "alive", and "dead" as dead for 700 seconds, and "fresh" for 10')
def make_node(context):
    address = "127.0.0.1:1"
    listening = ListenSettings(address, address, address)
    settings = Settings("own", "fd-a", listening, PlatformSettings(address, address))
    context.loop, context.fake_table, context.pinged = FakeLoop(), FakeTable(), []
    gossip = Gossip(context.loop, settings, "own-1")
    gossip.ping_address = context.pinged.append
    now = context.loop.now()
    replica = gossip.membership.replica
    replica.merge_member(make_member("alive"), now)
    replica.merge_member(make_member("dead", MemberState.DEAD), now - 700)
    replica.merge_member(make_member("fresh", MemberState.DEAD), now - 10)
    context.join = Join(context.loop, settings, gossip, context.fake_table, FakeLog())
    context.join.write_row()


@when("it polls rows of alive, dead, fresh and unknown")
def poll_rows(context):
    for name in ("alive", "dead", "fresh", "unknown"):
        row = make_member(name)._replace(address=name)
        context.fake_table.put(PARTITION, row_key(name), pack_member(row), lambda outcome: None)
    context.join._poll()


@when("its own row vanishes and it polls")
def lose_own_row(context):
    context.fake_table.rows.clear()
    context.join._poll()


@when("it polls a malformed row")
def poll_malformed_row(context):
    context.fake_table.rows[row_key("odd")] = b"\xff\xff nonsense"
    context.join._poll()


@then("only the row of dead was deleted")
def check_deleted(context):
    assert context.fake_table.deleted == [row_key("dead")]


@then("it has pinged fresh and unknown")
def check_pinged(context):
    assert sorted(context.pinged) == ["fresh", "unknown"], context.pinged


@then("its own row is there again")
def check_own_row(context):
    assert row_key("own") in context.fake_table.rows


@then("nothing was deleted and nothing failed")
def check_nothing_deleted(context):
    assert context.fake_table.deleted == []


@given("{count:d} rows of nodes with names in sequence")
def make_rows(context, count):
    context.keys = sorted(row_key(f"host-{number}") for number in range(count))


@then("{pages:d} pages of 16 rows from random keys hold no row more than {most:d} times")
def check_even(context, pages, most):
    rng = random.Random(9)
    seen = Counter()
    for _ in range(pages):
        start = random_row_key(rng)
        after = [key for key in context.keys if key > start]
        seen.update((after + context.keys)[:CONTACT_ROWS])
    assert max(seen.values()) <= most, max(seen.values())
