"""Steps that run members which ping each other over a fake network."""

import random
from zlib import crc32

from behave import given, then, when

from camphorshelf_core.messages import PingMessage
from camphorshelf_core.replica import BUCKETS
from camphorshelf_core.roster import MemberState
from camphorshelf_core.settings import RosterSettings
from standins.mesh import Mesh

_ALIVE = {MemberState.ALIVE}
_DEAD = {MemberState.DEAD}
_RANDOM_SEEDS = range(100, 120)


def _make_joined_mesh(count, seed, loss):
    mesh = Mesh(count, seed, loss)
    mesh.join_all()
    mesh.run(3)
    return mesh


@given("a mesh of {count:d} members with seed {seed:d} that loses {loss:d} of 100 datagrams")
def make_mesh(context, count, seed, loss):
    context.mesh = _make_joined_mesh(count, seed, loss / 100)


@given("a mesh of {count:d} members with seed {seed:d} and a budget of {rate:d} bytes a second")
def make_mesh_with_budget(context, count, seed, rate):
    context.settings = RosterSettings(bytes_per_second=rate, burst_bytes=8_000)
    context.mesh = Mesh(count, seed, settings=context.settings)
    context.mesh.join_all()


@given("random restarts, freezes, cuts and losses over 20 fixed seeds")
def run_random_faults(context):
    context.meshes = [_run_random_faults(seed) for seed in _RANDOM_SEEDS]


def _run_random_faults(seed):
    rng = random.Random(seed)
    mesh = _make_joined_mesh(12, seed, 0.05)
    for _ in range(12):
        name = f"m{rng.randrange(12)}"
        rng.choice((_restart, _freeze, _isolate, _restore))(mesh, name)
        mesh.run(rng.uniform(0.5, 15))
    _restore(mesh, None)
    return mesh


def _restart(mesh, name):
    mesh.start(name)
    others = [other for other in mesh.members if other != name]
    mesh.join(name, others[0])


def _freeze(mesh, name):
    mesh.freeze(name)


def _isolate(mesh, name):
    mesh.cut(lambda source, target: name not in (source, target))


def _restore(mesh, _name):
    mesh.cut(lambda source, target: True)
    for member in mesh.members:
        mesh.wake(member)


@when("member {name} publishes version {version:d} of {topic} {key}")
def publish(context, name, version, topic, key):
    mesh = context.mesh
    mesh.deliver(name, mesh.members[name].publish(topic, key, version, [version], mesh.now))


@when("member {name} freezes")
def freeze(context, name):
    context.mesh.freeze(name)


@when("member {name} freezes until some member suspects it")
def freeze_until_suspected(context, name):
    mesh = context.mesh
    mesh.freeze(name)
    mesh.run(30, until=lambda: MemberState.SUSPECT in mesh.views(name))


@when("member {name} resumes")
def resume(context, name):
    context.mesh.wake(name)


@when("member {name} is cut off from all others for {seconds:d} seconds")
def cut_off(context, name, seconds):
    context.mesh.cut(lambda source, target: name not in (source, target))
    context.mesh.run(seconds)


@when("the {count:d} members from m0 on are cut off from the rest for {seconds:d} seconds")
def partition(context, count, seconds):
    context.partition = {f"m{index}" for index in range(count)}
    context.mesh.cut(lambda one, other: (one in context.partition) == (other in context.partition))
    context.mesh.run(seconds)


@when("the cut ends")
def end_cut(context):
    context.mesh.cut(lambda source, target: True)


@when("every third member freezes")
def freeze_domain(context):
    context.frozen = [f"m{index}" for index in range(0, len(context.mesh.members), 3)]
    for name in context.frozen:
        context.mesh.freeze(name)


@when("member {name} is replaced")
def replace(context, name):
    mesh = context.mesh
    context.old_record = mesh.members[name].own
    mesh.start(name)
    mesh.join(name, next(other for other in mesh.members if other != name))


@when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    context.mesh.run(seconds)


@when("the old process of {name} receives the record of its successor")
def receive_successor_record(context, name):
    mesh = context.mesh
    context.old = mesh.members[name]
    mesh.start(name)
    mesh.join(name, "m0")
    context.old.load_snapshot(mesh.members["m0"].make_snapshot(0), mesh.now)


@when("member {name} restarts with a clock that went back")
def restart_with_old_clock(context, name):
    mesh = context.mesh
    mesh._generation = -5
    mesh.start(name)
    mesh.join(name, "m0")


@when("member {name} leaves")
def leave(context, name):
    mesh = context.mesh
    mesh.deliver(name, mesh.members[name].leave(mesh.now))
    # The member keeps running for a while to finish what is in flight.
    mesh.run(5)
    mesh.freeze(name)


@when("{count:d} members are replaced within 2 seconds")
def replace_many(context, count):
    mesh = context.mesh
    context.before = dict(mesh.sent_bytes)
    context.since = mesh.now
    for index in range(count):
        mesh.start(f"m{index}")
        mesh.join(f"m{index}", f"m{count + index % 20}")
        mesh.run(0.1)


@when("every member publishes {count:d} entries at once")
def publish_many(context, count):
    mesh = context.mesh
    context.before = dict(mesh.sent_bytes)
    context.since = mesh.now
    for name, member in mesh.members.items():
        for number in range(count):
            value = [name, "x" * 100]
            mesh.deliver(name, member.publish("facts", f"{name}-{number}", 1, value, mesh.now))


@when("member {name} is pinged {count:d} times at once")
def flood_with_pings(context, name, count):
    mesh = context.mesh
    context.before = dict(mesh.sent_bytes)
    context.since = mesh.now
    for sequence in range(count):
        ping = PingMessage(sequence, "m0", 0, (), (), ())
        mesh.deliver(name, mesh.members[name].receive(ping, "m0", mesh.now))


@when("m1 suspects m2 and pings it, and m2 pings m3 who suspects it too")
def suspect_and_ping(context):
    mesh = context.mesh
    context.revisions = []
    for viewer, pinger, pinged in (("m1", "m1", "m2"), ("m3", "m2", "m3")):
        member = mesh.members[viewer]
        suspect = mesh.members["m2"].own._replace(state=MemberState.SUSPECT)
        member._merge_member(suspect, mesh.now, spread=False)
        before = mesh.members["m2"].own.revision
        # Keep m2's bucket out of this ping's digests, or the repair would send the report as well.
        mesh.members[pinger]._next_bucket = (crc32(b"m/m2") + 1) % BUCKETS
        address = mesh.members[pinger].replica.member(pinged).address
        mesh.members[pinger]._send_ping(address, mesh.now, pinged)
        mesh.deliver(pinger, mesh.members[pinger]._outbox.pop_datagrams()[:1])
        context.revisions.append((before, mesh.members["m2"].own.revision))


@then("m2 has refuted each report")
def check_refuted(context):
    assert all(after == before + 1 for before, after in context.revisions), context.revisions


@then("every member holds all {count:d} entries within {seconds:d} seconds")
def check_entries(context, count, seconds):
    mesh = context.mesh
    mesh.run(seconds, until=lambda: all(len(heard) == count for heard in mesh.heard.values()))


@then("every member has received version {version:d} of {topic} {key} within {seconds:d} seconds")
def check_heard(context, version, topic, key, seconds):
    mesh = context.mesh
    mesh.run(seconds, until=lambda: all((topic, key) in heard for heard in mesh.heard.values()))


@then("every member holds version {version:d} of {topic} {key} after {seconds:d} seconds")
def check_version(context, version, topic, key, seconds):
    context.mesh.run(seconds)
    for member in context.mesh.members.values():
        assert member.replica.entry(topic, key).version == version


@then("some member suspects {name} within {seconds:d} seconds, and none considered it dead before")
def check_suspected(context, name, seconds):
    mesh = context.mesh
    mesh.run(seconds, until=lambda: MemberState.SUSPECT in mesh.views(name))
    assert MemberState.DEAD not in mesh.views(name)


@then("every member considers {name} dead within {seconds:d} seconds")
def check_dead(context, name, seconds):
    mesh = context.mesh
    mesh.run(seconds, until=lambda: mesh.views(name) == _DEAD)


@then("every member considers {name} alive within {seconds:d} seconds")
def check_alive(context, name, seconds):
    mesh = context.mesh
    mesh.run(seconds, until=lambda: mesh.views(name) == _ALIVE)


@then("{name} considers no more than {count:d} members dead")
def check_few_dead(context, name, count):
    members = context.mesh.members[name].replica.members()
    dead = [member.node for member in members if member.state == MemberState.DEAD]
    assert len(dead) <= count, dead


@then("all members consider each other alive within {seconds:d} seconds")
def check_all_alive(context, seconds):
    mesh = context.mesh
    mesh.run(seconds, until=lambda: _all_alive(mesh))


def _all_alive(mesh):
    return all(mesh.views(name) == _ALIVE for name in mesh.members)


@then("the members of the larger partition consider the {count:d} members dead")
def check_partition_dead(context, count):
    mesh = context.mesh
    for viewer in set(mesh.members) - context.partition:
        assert all(mesh.state(viewer, name) == MemberState.DEAD for name in context.partition)
    assert len(context.partition) == count


@then("the live members consider all frozen ones dead within {seconds:d} seconds, and no live one")
def check_domain_dead(context, seconds):
    mesh = context.mesh
    mesh.run(seconds, until=lambda: all(mesh.views(name) == _DEAD for name in context.frozen))
    live = set(mesh.members) - set(context.frozen)
    assert all(MemberState.DEAD not in mesh.views(name) for name in live)


@then("every member holds the new incarnation of {name} within {seconds:d} seconds")
def check_incarnation(context, name, seconds):
    mesh = context.mesh

    def all_know():
        new = mesh.members[name].own
        return all(member.replica.member(name) == new for member in mesh.members.values())

    mesh.run(seconds, until=all_know)


@then("a record of the old incarnation changes nothing")
def check_old_record(context):
    mesh = context.mesh
    old = context.old_record._replace(revision=1_000)
    viewer = mesh.members["m0"]
    held = viewer.replica.member(old.node)
    viewer._merge_member(old, mesh.now)
    assert viewer.replica.member(old.node) == held
    assert held.incarnation != old.incarnation


@then("the old process knows that it was superseded")
def check_superseded(context):
    assert context.old.superseded


@then("every member knows that {name} left within {seconds:d} seconds")
def check_left(context, name, seconds):
    mesh = context.mesh
    mesh.run(seconds, until=lambda: mesh.views(name) == {MemberState.LEFT})


@then("no member has sent more than its budget over {seconds:d} seconds")
def check_budget(context, seconds):
    mesh = context.mesh
    mesh.run(seconds)
    settings = getattr(context, "settings", RosterSettings())
    allowed = settings.burst_bytes + settings.bytes_per_second * (mesh.now - context.since)
    for name in mesh.members:
        # A replaced process starts with a full token bucket of its own.
        limit = allowed + (settings.burst_bytes if name in _replaced(context) else 0)
        assert mesh.sent_bytes[name] - context.before[name] <= limit


def _replaced(context):
    return {name for name, member in context.mesh.members.items() if member.own.generation > 40}


@then("in each run the members agree on who is alive once the faults end")
def check_agreement(context):
    for seed, mesh in zip(_RANDOM_SEEDS, context.meshes, strict=True):
        try:
            mesh.run(400, until=lambda mesh=mesh: _all_alive(mesh))
        except TimeoutError as error:
            views = {name: mesh.views(name) for name in mesh.members}
            raise AssertionError(f"seed {seed}: {views}") from error
