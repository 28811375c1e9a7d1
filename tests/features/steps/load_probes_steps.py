"""Steps that probe simulated hosts on a fake clock."""

import random

from behave import given, then, when

from camphorshelf_core.directory import HostDirectory
from camphorshelf_core.loadprobes import choose_probes, is_sufficient, put_unanswered_last
from camphorshelf_core.placement import rank_targets
from camphorshelf_relay.prober import Prober
from standins.fakes import FakeLoop
from standins.hosts import make_status, make_view

_SLOW_HOST_RATIO = 0.25
_SLOWNESS = 4.0
_MEAN_STATE_SECONDS = 0.3
_WORK_SECONDS = 0.16
_OBJECTIVE_SECONDS = 0.5


class _NoisyHosts:
    """Hosts whose speed changes every 300 ms on average."""

    def __init__(self, count, seed):
        self._random = random.Random(seed)
        self.now = 0.0
        self.slowness = [self._draw_slowness() for _ in range(count)]
        self.views = [
            make_view(make_status(f"h{one}", push_interval_s=0.0), -random.random())
            for one in range(count)
        ]

    def _draw_slowness(self):
        return _SLOWNESS if self._random.random() < _SLOW_HOST_RATIO else 1.0

    def advance(self, seconds):
        self.now += seconds
        for index, view in enumerate(self.views):
            if self._random.random() < seconds / _MEAN_STATE_SECONDS:
                self.slowness[index] = self._draw_slowness()
            if self.now - view.heard_at >= 1.0:
                self.update_status(index)

    def update_status(self, index):
        view = self.views[index]
        status = view.status._replace(
            sequence=view.status.sequence + 1, slowness=self.slowness[index]
        )
        view.apply(status, self.now)

    def rank(self):
        return rank_targets(self.views, _WORK_SECONDS, self.now, "a", _OBJECTIVE_SECONDS)

    def is_slow(self, address):
        return self.slowness[int(address[1:])] > 1.0


def _choose_host(hosts, rng, probes):
    candidates, probed = hosts.rank(), set()
    while probes and (addresses := choose_probes(candidates, probed, rng)):
        probed.update(addresses)
        for address in addresses:
            hosts.update_status(int(address[1:]))
        candidates = hosts.rank()
        if len(probed) > 3:
            break
    return put_unanswered_last(candidates, probed)[0].address


def _slow_request_ratio(hosts, count, probes):
    rng, slow_requests = random.Random(2), 0
    for _ in range(count):
        hosts.advance(0.01)
        slow_requests += hosts.is_slow(_choose_host(hosts, rng, probes))
    return slow_requests / count


@given("{count:d} hosts of one service that slow down at random and report once a second")
def give_noisy_hosts(context, count):
    context.make_hosts = lambda: _NoisyHosts(count, seed=1)


@when("{count:d} requests are sent by the last status")
def send_by_last_status(context, count):
    context.slow_without_probes = _slow_request_ratio(context.make_hosts(), count, probes=False)


@when("{count:d} requests are sent after probing")
def send_after_probing(context, count):
    context.slow_with_probes = _slow_request_ratio(context.make_hosts(), count, probes=True)


@then("more than {percent:d} of 100 went to a slow host by the last status")
def check_without_probes(context, percent):
    assert context.slow_without_probes > percent / 100, context.slow_without_probes


@then("fewer than {percent:d} of 100 went to a slow host after probing")
def check_with_probes(context, percent):
    assert context.slow_with_probes < percent / 100, context.slow_with_probes


@given("{count:d} hosts of one service, all idle and last heard {when}")
def give_idle_hosts(context, count, when):
    heard_at = 0.0 if when == "just now" else -1.0
    views = [
        make_view(make_status(f"h{one}", push_interval_s=0.0), heard_at) for one in range(count)
    ]
    context.views = views
    context.candidates = rank_targets(views, _WORK_SECONDS, 0.0, "a", _OBJECTIVE_SECONDS)


@when("they are ranked for work that takes no time")
def rank_without_work(context):
    context.candidates = rank_targets(context.views, 0.0, 0.0, "a", 0.0)


@then("all {count:d} are candidates")
def check_candidates(context, count):
    assert len(context.candidates) == count, context.candidates


@when("{count:d} entry nodes each choose hosts to probe")
def choose_probed_hosts(context, count):
    context.asked = set()
    for seed in range(count):
        context.asked.update(choose_probes(context.candidates, (), random.Random(seed)))


@then("more than {count:d} hosts are probed")
def check_spread(context, count):
    assert len(context.asked) > count, context.asked


@then("no host is probed")
def check_no_probes(context):
    assert choose_probes(context.candidates, (), random.Random(1)) == []


@given("three hosts that are probed")
def probe_three_hosts(context):
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
    _probe_hosts(context)


def _probe(context, address):
    context.sent.append(address)
    view = context.directory.view(address)
    if view.probed_at is None:
        view.probed_at = context.loop.now()


def _probe_hosts(context):
    context.prober.probe(
        context.names,
        lambda view: is_sufficient(view, "a", context.loop.now()),
        lambda: context.done.append(context.loop.now()),
    )


def _deliver_answers(context, names, **changes):
    for name in names:
        status = context.directory.view(name).status
        changed = status._replace(sequence=status.sequence + 1, **changes)
        context.directory.apply_status(changed, context.loop.now())
        context.prober.record_contact(name)


@when("all three answer after {milliseconds:d} ms")
def answer_all(context, milliseconds):
    context.loop.advance(milliseconds / 1000)
    _deliver_answers(context, context.names)


@when("all but one answer after {milliseconds:d} ms")
def answer_all_but_one(context, milliseconds):
    context.loop.advance(milliseconds / 1000)
    _deliver_answers(context, context.names[1:])
    context.loop.advance(0.05)


@then("the choice continued after {milliseconds:d} ms")
def check_continued(context, milliseconds):
    (done_at,) = context.done
    assert abs(done_at - context.started_at - milliseconds / 1000) < 1e-6, done_at


def _rank_addresses(context):
    now = context.loop.now()
    views = list(context.directory.views())
    ranked = rank_targets(views, _WORK_SECONDS, now, "a", _OBJECTIVE_SECONDS)
    return [one.address for one in ranked]


@then("{seconds:f} s later the silent host is ranked last")
def check_silent_last(context, seconds):
    context.loop.advance(seconds)
    assert _rank_addresses(context)[-1] == "h0", _rank_addresses(context)


@then("once it answers it is ranked first")
def check_first_after_answer(context):
    _deliver_answers(context, ["h0"])
    assert _rank_addresses(context)[0] == "h0", _rank_addresses(context)


@when("one of them answers after {milliseconds:d} ms that it is fast and has room")
def answer_fast(context, milliseconds):
    context.loop.advance(milliseconds / 1000)
    _deliver_answers(context, ["h1"], slowness=1.0)
    context.loop.advance(0.05)


@when("one of them answers after {milliseconds:d} ms that it is fast and full")
def answer_full(context, milliseconds):
    context.loop.advance(milliseconds / 1000)
    _deliver_answers(context, ["h1"], slowness=1.0, running=7)
    context.loop.advance(0.05)


@when("they are probed again within {milliseconds:d} ms")
def probe_again(context, milliseconds):
    context.loop.advance(milliseconds / 1000)
    _probe_hosts(context)


@then("{count:d} probes were sent")
def check_probes_sent(context, count):
    assert len(context.sent) == count, context.sent


@then("both choices continue when all three answer")
def check_both_continue(context):
    _deliver_answers(context, context.names)
    assert len(context.done) == 2


@when("{count:d} further choices probe three hosts within a second, each answered at once")
def probe_repeatedly(context, count):
    _deliver_answers(context, context.names)
    for _ in range(count):
        context.loop.advance(1 / count)
        _probe_hosts(context)
        _deliver_answers(context, context.names)
    context.loop.advance(0.1)
    context.choices = count + 1


@then("at most {count:d} probes were sent")
def check_max_probes(context, count):
    assert len(context.sent) <= count, len(context.sent)


@then("every choice continued")
def check_all_continued(context):
    assert len(context.done) == context.choices, len(context.done)


@given("{count:d} hosts of one service with {slots:d} slots, of which half are taken")
def hosts_with_few_slots(context, count, slots):
    context.random = random.Random(5)
    context.slots, context.count = slots, count


@when("{count:d} requests are each sent after probing")
def send_after_probing(context, count):
    context.sent = count
    context.without_slot = sum(not _finds_free_slot(context) for _ in range(count))


@then("fewer than {most:d} in 100 met no free slot")
def check_without_slot(context, most):
    assert context.without_slot * 100 < most * context.sent, context.without_slot


def _finds_free_slot(context):
    draw, now = context.random, 1.0
    running = [sum(draw.random() < 0.5 for _ in range(context.slots)) for _ in range(context.count)]
    views = [
        make_view(make_status(f"h{one}", push_interval_s=0.0, limit=context.slots), 0.0)
        for one in range(context.count)
    ]
    draw.shuffle(views)
    candidates = rank_targets(views, _WORK_SECONDS, now, "", _OBJECTIVE_SECONDS)
    probed = choose_probes(candidates, set(), draw, has_few_slots=True)
    by_address = {view.status.address: index for index, view in enumerate(views)}
    return any(running[by_address[address]] < context.slots for address in probed)
