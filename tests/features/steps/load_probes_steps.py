"""Steps that ask hosts which the test makes up, on a clock of its own."""

import random

from behave import given, then, when

from camphorshelf_core.directory import HostDirectory
from camphorshelf_core.loadprobes import choose_probes, is_sufficient, put_unanswered_last
from camphorshelf_core.placement import rank
from camphorshelf_relay.prober import Prober
from standins.fakes import FakeLoop
from standins.hosts import make_status, make_view

_SLOW_SHARE = 0.25
_SLOWNESS = 4.0
_STATE_SECONDS = 0.3
_WORK_SECONDS = 0.16
_OBJECTIVE_SECONDS = 0.5


class _NoisyHosts:
    """Hosts whose speed changes every 300 ms on average."""

    def __init__(self, count, seed):
        self._random = random.Random(seed)
        self.now = 0.0
        self.slowness = [self._draw() for _ in range(count)]
        self.views = [
            make_view(make_status(f"h{one}", push_interval_s=0.0), -random.random())
            for one in range(count)
        ]

    def _draw(self):
        return _SLOWNESS if self._random.random() < _SLOW_SHARE else 1.0

    def advance(self, seconds):
        self.now += seconds
        for index, view in enumerate(self.views):
            if self._random.random() < seconds / _STATE_SECONDS:
                self.slowness[index] = self._draw()
            if self.now - view.heard_at >= 1.0:
                self.hear(index)

    def hear(self, index):
        view = self.views[index]
        status = view.status._replace(
            sequence=view.status.sequence + 1, slowness=self.slowness[index]
        )
        view.apply(status, self.now)

    def rank(self):
        return rank(self.views, _WORK_SECONDS, self.now, "a", _OBJECTIVE_SECONDS)

    def is_slow(self, address):
        return self.slowness[int(address[1:])] > 1.0


def _choose(hosts, chance, asks):
    candidates, asked = hosts.rank(), set()
    while asks and (addresses := choose_probes(candidates, asked, chance)):
        asked.update(addresses)
        for address in addresses:
            hosts.hear(int(address[1:]))
        candidates = hosts.rank()
        if len(asked) > 3:
            break
    return put_unanswered_last(candidates, asked)[0].address


def _share_of_slow(hosts, count, asks):
    chance, slow = random.Random(2), 0
    for _ in range(count):
        hosts.advance(0.01)
        slow += hosts.is_slow(_choose(hosts, chance, asks))
    return slow / count


@given("{count:d} hosts of one service that slow down at random, heard once a second")
def noisy_hosts(context, count):
    context.make = lambda: _NoisyHosts(count, seed=1)


@when("{count:d} requests are sent by what was heard last")
def send_by_memory(context, count):
    context.by_memory = _share_of_slow(context.make(), count, asks=False)


@when("{count:d} requests are sent after asking")
def send_after_asking(context, count):
    context.by_asking = _share_of_slow(context.make(), count, asks=True)


@then("more than {percent:d} of 100 went to a slow host by what was heard")
def check_memory(context, percent):
    assert context.by_memory > percent / 100, context.by_memory


@then("fewer than {percent:d} of 100 went to a slow host after asking")
def check_asking(context, percent):
    assert context.by_asking < percent / 100, context.by_asking


@given("{count:d} hosts of one service, all idle and heard {when}")
def idle_hosts(context, count, when):
    heard_at = 0.0 if when == "just now" else -1.0
    views = [make_view(make_status(f"h{one}", push_interval_s=0.0), heard_at) for one in range(count)]
    context.views = views
    context.candidates = rank(views, _WORK_SECONDS, 0.0, "a", _OBJECTIVE_SECONDS)


@when("they are ranked for work that takes no time")
def rank_no_work(context):
    context.candidates = rank(context.views, 0.0, 0.0, "a", 0.0)


@then("all {count:d} are candidates")
def check_candidates(context, count):
    assert len(context.candidates) == count, context.candidates


@when("{count:d} entry nodes each choose whom to ask")
def many_choose(context, count):
    context.asked = set()
    for seed in range(count):
        context.asked.update(choose_probes(context.candidates, (), random.Random(seed)))


@then("more than {count:d} hosts are asked")
def check_spread(context, count):
    assert len(context.asked) > count, context.asked


@then("no host is asked")
def check_none(context):
    assert choose_probes(context.candidates, (), random.Random(1)) == []


@given("three hosts that are asked")
def three_asked(context):
    context.loop = FakeLoop()
    context.directory = HostDirectory()
    context.names = ["h0", "h1", "h2"]
    for name in context.names:
        context.directory.apply_status(
            make_status(name, slowness=4.0, push_interval_s=0.0), context.loop.now() - 1.0
        )
    context.sent = []
    context.prober = Prober(
        context.loop, context.directory, lambda address: _probe(context, address)
    )
    context.started_at = context.loop.now()
    context.done = []
    _ask(context)


def _probe(context, address):
    context.sent.append(address)
    view = context.directory.view(address)
    if view.probed_at is None:
        view.probed_at = context.loop.now()


def _ask(context):
    context.prober.probe(
        context.names,
        lambda view: is_sufficient(view, "a", context.loop.now()),
        lambda: context.done.append(context.loop.now()),
    )


def _answer(context, names, **changes):
    for name in names:
        status = context.directory.view(name).status
        changed = status._replace(sequence=status.sequence + 1, **changes)
        context.directory.apply_status(changed, context.loop.now())
        context.prober.note_heard(name)


@when("all three answer after {milliseconds:d} ms")
def all_answer(context, milliseconds):
    context.loop.advance(milliseconds / 1000)
    _answer(context, context.names)


@when("all but one answer after {milliseconds:d} ms")
def two_answer(context, milliseconds):
    context.loop.advance(milliseconds / 1000)
    _answer(context, context.names[1:])
    context.loop.advance(0.05)


@then("the choice went on after {milliseconds:d} ms")
def went_on(context, milliseconds):
    (done_at,) = context.done
    assert abs(done_at - context.started_at - milliseconds / 1000) < 1e-6, done_at


def _ranked(context):
    now = context.loop.now()
    views = list(context.directory.views())
    ranked = rank(views, _WORK_SECONDS, now, "a", _OBJECTIVE_SECONDS)
    return [one.address for one in ranked]


@then("{seconds:f} s later the silent host is ranked last")
def silent_last(context, seconds):
    context.loop.advance(seconds)
    assert _ranked(context)[-1] == "h0", _ranked(context)


@then("once it is heard it is not")
def heard_again(context):
    _answer(context, ["h0"])
    assert _ranked(context)[0] == "h0", _ranked(context)


@when("one of them answers after {milliseconds:d} ms that it is fast and has room")
def fast_answer(context, milliseconds):
    context.loop.advance(milliseconds / 1000)
    _answer(context, ["h1"], slowness=1.0)
    context.loop.advance(0.05)


@when("one of them answers after {milliseconds:d} ms that it is fast and full")
def full_answer(context, milliseconds):
    context.loop.advance(milliseconds / 1000)
    _answer(context, ["h1"], slowness=1.0, running=7)
    context.loop.advance(0.05)


@when("they are asked again within {milliseconds:d} ms")
def asked_again(context, milliseconds):
    context.loop.advance(milliseconds / 1000)
    _ask(context)


@then("{count:d} questions were sent")
def sent_exactly(context, count):
    assert len(context.sent) == count, context.sent


@then("both choices go on when all three answer")
def both_go_on(context):
    _answer(context, context.names)
    assert len(context.done) == 2


@when("{count:d} further choices ask three hosts within a second, each answered at once")
def many_choices(context, count):
    _answer(context, context.names)
    for _ in range(count):
        context.loop.advance(1 / count)
        _ask(context)
        _answer(context, context.names)
    context.loop.advance(0.1)
    context.choices = count + 1


@then("at most {count:d} questions were sent")
def sent_at_most(context, count):
    assert len(context.sent) <= count, len(context.sent)


@then("every choice went on")
def all_went_on(context):
    assert len(context.done) == context.choices, len(context.done)
