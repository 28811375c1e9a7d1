"""Steps that simulate the failure detectors of a fleet of nodes."""

from time import time_ns
from unittest.mock import patch

from behave import given, then, when

from camphorshelf_core.hostdatagrams import MemberUpdates, encode
from standins.fleet import Fleet

_START_SECONDS = 3.0
_HOUR_NANOSECONDS = 3600 * 10**9
_STEP_SECONDS = 0.1
_SECOND = 1.0


@given("a fleet of {count:d} hosts that all know each other")
def start_fleet(context, count, loss=0.0):
    context.fleet = Fleet(count, loss=loss)
    context.fleet.run(_START_SECONDS)
    _check_alive(context.fleet)
    context.fleet.reset_counts()
    context.max_datagrams = 0


@given("a fleet of {count:d} hosts that all know each other, where 3 of 100 datagrams are lost")
def start_lossy_fleet(context, count):
    start_fleet(context, count, loss=0.03)


def _pass_time(context, seconds):
    end = context.fleet.loop.now() + seconds
    while context.fleet.loop.now() < end - 1e-6:
        context.fleet.reset_counts()
        context.fleet.run(min(_SECOND, end - context.fleet.loop.now()))
        context.max_datagrams = max(context.max_datagrams, *context.fleet.datagrams.values())


@when("{seconds:d} seconds without failures pass")
def pass_without_failures(context, seconds):
    context.seconds = seconds
    context.fleet.run(seconds)


@then("each node has sent at most {datagrams:d} datagrams and {size:d} bytes a second")
def check_traffic(context, datagrams, size):
    fleet = context.fleet
    assert max(fleet.datagrams.values()) <= datagrams * context.seconds, fleet.datagrams
    assert fleet.bytes <= size * context.seconds * len(fleet.hosts), fleet.bytes


@then("no host was suspected")
def check_no_suspicion(context):
    suspected = sum(host.peers.counts["suspected"] for host in context.fleet.up())
    assert suspected == 0, suspected


@when("{seconds:d} seconds without failures pass for one host")
def pass_for_one(context, seconds):
    detector = context.fleet.hosts[0].peers._detector
    context.ticks, tick = 0, detector.tick

    def count_tick(now):
        context.ticks += 1
        return tick(now)

    detector.tick = count_tick
    context.fleet.run(seconds)


@then("it has ticked at most {count:d} times")
def check_ticks(context, count):
    assert context.ticks <= count, context.ticks


@when("a silent host is probed out of turn, each time a hundredth of a second later in the period")
def probe_out_of_turn(context):
    fleet = context.fleet
    peers, silent = fleet.hosts[0].peers, fleet.hosts[1].address
    context.waits = []
    fleet.is_cut = lambda source, target: silent in (source.address, target.address)
    for hundredth in range(20):
        fleet.run(_SECOND + hundredth / 100)
        view = peers.directory.view(silent)
        view.suspected_at, view.heard_at = None, fleet.loop.now()
        peers._detector.record_contact(silent)
        context.waits.append(_wait_for_second_probe(fleet, peers, silent))


def _wait_for_second_probe(fleet, peers, address):
    sent, send = [], peers._send_to

    def record(target, data):
        if target == address:
            sent.append(fleet.loop.now())
        send(target, data)

    peers._send_to = record
    peers._probe(address)
    fleet.run(0.5)
    peers._send_to = send
    return sent[1] - sent[0]


@then("it was probed again within {seconds:g} s each time")
def check_second_probes(context, seconds):
    assert max(context.waits) <= seconds, context.waits


@when("one host is killed and {seconds:g} s pass")
def kill_one(context, seconds):
    context.dead = [0]
    context.fleet.kill(context.dead)
    _pass_time(context, seconds)


@when("half of the hosts are killed and {seconds:g} s pass")
def kill_half(context, seconds):
    context.dead = range(0, len(context.fleet.hosts), 2)
    context.fleet.kill(context.dead)
    _pass_time(context, seconds)


def _count_live_views_of_dead(context):
    fleet = context.fleet
    dead = {fleet.hosts[number].address for number in context.dead}
    return sum(len(dead & fleet.live_views(host)) for host in fleet.up())


@then("no host considers a dead one alive")
def check_none_alive(context):
    assert _count_live_views_of_dead(context) == 0, _count_live_views_of_dead(context)


@then("at most {count:d} in 1000 views of a dead host still shows it as alive")
def check_few_alive(context, count):
    views = len(context.dead) * len(context.fleet.up())
    assert _count_live_views_of_dead(context) * 1000 <= count * views, _count_live_views_of_dead(
        context
    )


@when("these are started again and {seconds:g} s pass")
def restart(context, seconds):
    context.max_datagrams = 0
    for number in context.dead:
        context.fleet.start(number)
    _pass_time(context, seconds)


def _check_alive(fleet, min_share=1.0):
    alive = reached = 0
    for host in fleet.up():
        others = [one for one in fleet.up() if one is not host and not fleet.is_cut(host, one)]
        live = fleet.live_views(host)
        reached += len(others)
        alive += sum(one.address in live for one in others)
    assert alive >= min_share * reached, (alive, reached)


@then("every host considers every other alive, except for {count:d} in 1000")
@then("every host considers every other reachable host alive, except for {count:d} in 1000")
def check_all_alive(context, count):
    _check_alive(context.fleet, 1 - count / 1000)


@then("no node has sent more than {count:d} datagrams in a second")
def check_max_datagrams(context, count):
    assert context.max_datagrams <= count, context.max_datagrams


@when("{count:d} hosts are cut off from all others for {seconds:g} s")
def cut_off(context, count, seconds):
    context.cut_off_ips = {context.fleet.hosts[number].ip for number in range(count)}
    context.fleet.is_cut = lambda source, target: bool({source.ip, target.ip} & context.cut_off_ips)
    _pass_time(context, seconds)


@then("no connected host considers a partitioned one alive")
def check_cut_off(context):
    fleet = context.fleet
    cut_off_addresses = {host.address for host in fleet.up() if host.ip in context.cut_off_ips}
    for host in fleet.up():
        if host.ip not in context.cut_off_ips:
            assert not cut_off_addresses & fleet.live_views(host), host.address


@when("the partition ends and {seconds:g} s pass")
def end_partition(context, seconds):
    context.fleet.is_cut = lambda source, target: False
    _pass_time(context, seconds)


@when("failure domains {one} and {other} do not reach each other for {seconds:g} s")
def cut_domains(context, one, other, seconds):
    context.fleet.is_cut = lambda source, target: {source.domain, target.domain} == {one, other}
    _pass_time(context, seconds)


@when("a target stops accepting requests and {seconds:g} s pass")
def stop_target(context, seconds):
    context.tested_host = context.fleet.hosts[0]
    context.tested_host.status = context.tested_host.status._replace(accepting=False)
    context.tested_host.peers.announce_changes()
    _pass_time(context, seconds)


@then("every host knows that it accepts none")
def check_known(context):
    address = context.tested_host.address
    for host in context.fleet.up():
        if host is not context.tested_host:
            assert not host.peers.directory.view(address).status.accepting, host.address


@when("one host restarts without the store's rows and {seconds:g} s pass")
def restart_without_rows(context, seconds):
    context.fleet.kill([0])
    _pass_time(context, 1.0)
    context.tested_host = context.fleet.start(0, with_roster=False)
    _pass_time(context, seconds)


@then("it considers every other host alive")
def check_joined(context):
    live = context.fleet.live_views(context.tested_host)
    assert len(live) == len(context.fleet.hosts) - 1, len(live)


@when(
    "two hosts restart, and an update about the first one's old process reaches the second one late"
)
def deliver_old_update(context):
    fleet = context.fleet
    old = fleet.hosts[0].peers._announcer.next_status()
    fleet.kill([0, 1])
    _pass_time(context, 1.0)
    context.tested_host, context.observer = fleet.start(0), fleet.start(1)
    _pass_time(context, 2.0)
    context.observer.peers.receive(encode(MemberUpdates(False, (old,))), fleet.hosts[2].ip)


@then("the second one considers the first one's new process alive all the time for {seconds:d} s")
def check_always_alive(context, seconds):
    for _ in range(round(seconds / _STEP_SECONDS)):
        _check_incarnation(context.observer, context.tested_host)
        assert context.tested_host.address in context.fleet.live_views(context.observer)
        context.fleet.run(_STEP_SECONDS)


def _check_incarnation(observer, host):
    view = observer.peers.directory.view(host.address)
    assert view.status.incarnation == host.peers._announcer.incarnation, view.status


@when("a host is replaced by one whose clock is behind by an hour, and {seconds:g} s pass")
def replace_with_clock_behind(context, seconds):
    past_ns = time_ns() - _HOUR_NANOSECONDS
    with patch("camphorshelf_relay.announcer.time_ns", lambda: past_ns):
        context.tested_host = context.fleet.start(0)
    _pass_time(context, seconds)


@then("every host knows its new process")
def check_all_know(context):
    for observer in context.fleet.up():
        if observer is not context.tested_host:
            _check_incarnation(observer, context.tested_host)
