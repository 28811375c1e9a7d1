"""Steps about fleets whose pollers fail, on a fake clock and with real processes."""

import random
import signal
import time

from behave import given, then, when

from camphorshelf_core.hostdatagrams import ContactReport, encode
from camphorshelf_core.storepollers import POLLER_COUNT
from standins.configfleet import ConfigFleet, choose_lost, rank_names
from standins.relays import make_document

_WARM_UP_SECONDS = 6.0
_MAX_DELAY_SECONDS = 2.0
_WAIT_SECONDS = 6.0
_STEP_SECONDS = 0.05
_LOSSES = 4


@given("{hosts:d} hosts that may miss a change for {limit_s:g} s")
def plan_fleet(context, hosts, limit_s):
    context.make_fleet = lambda seed: _start(hosts, limit_s, 0.0, seed)
    context.delays = []
    context.calls = []


@given("an outage of the store of {outage_s:g} s that has ended {since_s:g} s ago")
def plan_outage(context, outage_s, since_s):
    make_fleet = context.make_fleet

    def make(seed):
        fleet = make_fleet(seed)
        fleet.is_store_down = True
        fleet.run(outage_s)
        fleet.is_store_down = False
        fleet.run(since_s)
        return fleet

    context.make_fleet = make


@given(
    "{hosts:d} hosts that may miss a change for {limit_s:g} s, and lose {loss:g} of 100 datagrams"
)
def plan_lossy_fleet(context, hosts, limit_s, loss):
    plan_fleet(context, hosts, limit_s)
    context.make_fleet = lambda seed: _start(hosts, limit_s, loss / 100, seed)


@when(
    "{which} lose power on each of {seeds:d} seeds, and the configuration changes up to 2 s later"
)
def lose_power(context, which, seeds):
    _lose_power(context, which, seeds, lambda fleet: fleet.change())


@when("{which} lose power on each of {seeds:d} seeds, and a domain is evacuated up to 2 s later")
def lose_power_at_evacuation(context, which, seeds):
    _lose_power(context, which, seeds, lambda fleet: fleet.evacuate(("d1",)))


def _lose_power(context, which, seeds, change):
    for seed in range(seeds):
        fleet, rng = context.make_fleet(seed), random.Random(seed)
        fleet.run(rng.random())
        fleet.kill(choose_lost(fleet, which, seed))
        lost_at = fleet.loop.now()
        # The first change comes at the same moment as the loss.
        fleet.run(rng.uniform(0.0, _MAX_DELAY_SECONDS) if seed else 0.0)
        context.delays.append(_measure(fleet, change(fleet)))
        context.calls.append(sum(lost_at < at <= lost_at + 5.0 for at, _ in fleet.reads))


@when(
    "all but one lose power in an outage of {outage_s:g} s, and the configuration changes"
    " {after_s:g} s after its end"
)
def lose_power_in_outage(context, outage_s, after_s):
    for seed in range(_LOSSES):
        fleet = context.make_fleet(seed)
        fleet.is_store_down = True
        fleet.run(outage_s / 2)
        fleet.kill(choose_lost(fleet, "all but one", seed))
        fleet.run(outage_s / 2)
        fleet.is_store_down = False
        fleet.run(after_s)
        context.delays.append(_measure(fleet, fleet.change()))


@when("a host gets the report of a contact of now, with evacuations that it doesn't know")
def report_evacuations(context):
    context.fleet = context.make_fleet(1)
    host = context.host = context.fleet.hosts[context.fleet.rank_numbers()[-1]]
    context.contact_at = host.sync.find_contact_at()
    unknown = host.sync.evacuations.current.as_of + 1
    report = ContactReport(False, host.sync.version, 0, unknown)
    host.peers.receive(encode(report), "10.9.9.9")


@then("its last contact is older")
def check_contact(context):
    contact_at = context.host.sync.find_contact_at()
    assert contact_at == context.contact_at < context.fleet.loop.now(), contact_at


@when("the hosts that poll lose power again and again, while the configuration changes")
def lose_takers(context):
    _lose_takers(context, range(_LOSSES))


@when(
    "the hosts that poll lose power again and again on seed {seed:d}, while the configuration"
    " changes"
)
def lose_takers_on_seed(context, seed):
    _lose_takers(context, [seed])


def _lose_takers(context, seeds):
    for seed in seeds:
        fleet, rng = context.make_fleet(seed), random.Random(seed)
        changed_at = None
        for number in range(_LOSSES):
            recent = {name for at, name in fleet.reads if at > fleet.loop.now() - 1.0}
            polling = [key for key, one in fleet.hosts.items() if one.settings.name in recent]
            if len(fleet.up()) <= len(polling) + 1:
                break
            fleet.kill(polling)
            if number == 1:
                changed_at = fleet.change()
            reads = len(fleet.reads)
            # The next loss comes before anybody has read the change, or just after the first read.
            while len(fleet.reads) == reads and rng.random() > 0.02:
                fleet.run(_STEP_SECONDS)
        context.delays.append(_measure(fleet, changed_at))


def _measure(fleet, changed_at):
    while fleet.lagging() and fleet.loop.now() < changed_at + _WAIT_SECONDS:
        fleet.run(_STEP_SECONDS)
    return fleet.loop.now() - changed_at


@then("each change is in force at all others within {limit_s:g} s")
def check_delays(context, limit_s):
    assert context.delays and max(context.delays) <= limit_s, context.delays


@when("{seconds:g} s pass without a change")
def wait_calmly(context, seconds):
    context.fleet = context.make_fleet(1)
    context.fleet.reads.clear()
    context.fleet.run(seconds)


@when("the store {state} for {seconds:g} s")
def fail_store(context, state, seconds, seed=1):
    fleet = context.fleet = context.make_fleet(seed)
    fleet.reads.clear()
    fleet.is_store_down = state == "refuses all"
    fleet.is_store_silent = state == "answers nothing"
    fleet.run(seconds)


@when("the store {state} for {seconds:g} s on seed {seed:d}")
def fail_store_on_seed(context, state, seconds, seed):
    fail_store(context, state, seconds, seed)


@then("the store took at most {most:d} reads")
def check_reads(context, most):
    assert len(context.fleet.reads) <= most, len(context.fleet.reads)


@then("at most {most:d} reads were made in the 5 s after the loss")
def check_reads_after_loss(context, most):
    assert max(context.calls) <= most, context.calls


def _start(hosts, limit_s, loss, seed):
    fleet = ConfigFleet(hosts, limit_s, loss, seed)
    fleet.run(_WARM_UP_SECONDS)
    assert not fleet.lagging(), fleet.lagging()
    return fleet


@given('requests to "{prefix}" go to targets of "{service}", at all hosts')
def route_requests(context, prefix, service):
    context.relays.configure(_make_document(8, prefix, service))
    context.relays.wait_until(
        lambda: all(_is_run_by(context, name, prefix, service) for name in context.relays.names)
    )
    # Longer than a host takes to be heard of by all others and to take over a poll.
    time.sleep(_WARM_UP_SECONDS / 2)


@when('the hosts that poll lose power, and "{prefix}" moves to "{service}" {seconds:g} s later')
def lose_pollers(context, prefix, service, seconds):
    relays = context.relays
    lost = rank_names(relays.names)[:POLLER_COUNT]
    context.left = [name for name in relays.names if name not in lost]
    for name in lost:
        relays.signal(f"node-{name}", signal.SIGKILL)
        relays.signal(f"target-{name}", signal.SIGKILL)
    time.sleep(seconds)
    relays.configure(_make_document(9, prefix, service))
    context.changed_at = time.time()


@then('within {seconds:g} s each other host sends "{prefix}" to "{service}"')
def check_moved(context, seconds, prefix, service):
    context.relays.wait_until(
        lambda: all(_is_run_by(context, name, prefix, service) for name in context.left),
        context.changed_at + seconds - time.time(),
    )


def _make_document(version, prefix, service):
    return make_document(version, {prefix: {"service": service, "kind": "idempotent"}})


def _is_run_by(context, name, prefix, service):
    try:
        response = context.relays.send(name, "GET", f"{prefix}x")
    except (OSError, EOFError):
        return False
    ran_by = response.body.split()[:1]
    return response.status == 200 and context.relays.service(ran_by[0].decode()) == service
