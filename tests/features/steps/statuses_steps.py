"""Steps that encode and decode status messages, and deliver them in various orders."""

import cbor2
from behave import given, then, when

from camphorshelf_core.directory import HostDirectory
from camphorshelf_core.failuredetector import Suspicion
from camphorshelf_core.hostdatagrams import (
    Addresses,
    AddressesRequest,
    Greeting,
    MemberUpdates,
    ProbeRequest,
    StatusRequest,
    UnresolvedShortStatus,
    decode,
    encode,
    encode_short_status,
)
from camphorshelf_core.hosts import (
    RANDOM_BITS,
    HostStatus,
    HostView,
    make_incarnation,
    make_newer_incarnation,
    push_interval_seconds,
)
from standins.hosts import make_status

_ADDRESS = "10.1.0.11:8624"
_STATUS = make_status(
    "side-south-a-1", address=_ADDRESS, incarnation="0a1b2c3d4e5f", sequence=10, domain="south-a"
)
_DATAGRAMS = {
    "no bytes": b"",
    "random bytes": b"\xff\x13\x99\x00",
    "a number": cbor2.dumps(7),
    "a list too short": cbor2.dumps([0, "a"]),
    "a list of texts": cbor2.dumps([0, *("x" for _ in _STATUS)]),
    "a bad address": cbor2.dumps([0, *_STATUS._replace(address="nowhere")]),
    "bad crash counts": cbor2.dumps([0, *_STATUS._replace(crashes=(("a", "b"),))]),
}


def _deliver(context, data):
    if not hasattr(context, "directory"):
        context.directory = HostDirectory()

    def find_status(incarnation):
        view = context.directory.view(_ADDRESS)
        held = view and view.status
        return held if held and held.incarnation == incarnation else None

    status = decode(data, find_status)
    if isinstance(status, HostStatus):
        context.directory.apply_status(status, 1.0)
    return status


def _stored_status(context):
    return context.directory.view(_ADDRESS).status


@given("the full status of a host was received")
def full_status_received(context):
    _deliver(context, encode(_STATUS))


@when("it sends a short status with {running:d} running and slowness {slowness:f}")
def short_status_sent(context, running, slowness):
    changed = _STATUS._replace(sequence=11, running=running, slowness=slowness)
    _deliver(context, encode_short_status(changed))


@then("its status has {running:d} running, slowness {slowness:f} and the same names as before")
def check_short(context, running, slowness):
    expected = _STATUS._replace(sequence=11, running=running, slowness=slowness)
    assert _stored_status(context) == expected, _stored_status(context)


@then("the short status has at most {most:d} bytes and a quarter of those of the full one")
def check_size(context, most):
    short, whole = len(encode_short_status(_STATUS)), len(encode(_STATUS))
    assert short <= most and short * 4 <= whole + 20, (short, whole)


@when("its next process sends a short status first")
def next_short(context):
    next_status = _STATUS._replace(incarnation="ffffffffffff", sequence=1)
    context.status = _deliver(context, encode_short_status(next_status))


@when("a datagram of {content} arrives")
def bytes_arrive(context, content):
    context.status = _deliver(context, _DATAGRAMS[content])


@then("no status is taken from it")
def nothing_stored(context):
    assert context.status in (None, UnresolvedShortStatus()), context.status


@when("a later one and then an earlier one arrive")
def out_of_order(context):
    _deliver(context, encode(_STATUS._replace(sequence=12, running=6)))
    _deliver(context, encode(_STATUS._replace(sequence=11, running=1)))


@then("the later one is stored")
def later_stored(context):
    assert _stored_status(context).running == 6


@when("the status of its next process is received, and then a late one of the previous process")
def late_of_previous(context):
    _deliver(context, encode(_STATUS._replace(incarnation="ffffffffffff", sequence=1)))
    _deliver(context, encode(_STATUS._replace(sequence=99)))


@then("the status of the next process is stored")
def next_stored(context):
    assert _stored_status(context).incarnation == "ffffffffffff"


@then("an incarnation is greater than one that was made a microsecond earlier")
def check_made(context):
    all_random_bits = 0, 1, 2**RANDOM_BITS - 1
    for at in (0, 63, 1_780_000_000_000_000, 2**52 - 2):
        earlier = [make_incarnation(at, random_bits) for random_bits in all_random_bits]
        later = [make_incarnation(at + 1, random_bits) for random_bits in all_random_bits]
        assert max(earlier) < min(later), (earlier, later)
        assert {len(one) for one in earlier + later} == {len(_STATUS.incarnation)}


@then("one made newer than another is greater, and two made newer than the same one differ")
def check_newer(context):
    other = make_incarnation(1_780_000_000_000_000, 5)
    newer = [
        make_newer_incarnation(other, random_bits) for random_bits in (0, 1, 2**RANDOM_BITS - 1)
    ]
    assert min(newer) > other and len(set(newer)) == len(newer), newer


@given("a status is pushed to {hosts:d} others")
def others(context, hosts):
    context.others = hosts


@then("a host is not silent until the second push after its last one")
def not_silent_between(context):
    interval_s = push_interval_seconds(context.others)
    view = HostView()
    view.apply(_STATUS._replace(push_interval_s=interval_s), 0.0)
    assert not view.is_silent(interval_s * 2.25)


@when("a short status refers to another revision of its names")
def other_revision(context):
    context.status = _deliver(
        context, encode_short_status(_STATUS._replace(sequence=11, revision=2))
    )


@then("the full status has to be requested")
def must_request(context):
    assert context.status == UnresolvedShortStatus(), context.status


_MESSAGES = {
    "status request": StatusRequest("0a1b2c3d4e5f", 3, True),
    "greeting": Greeting(_STATUS),
    "member updates": MemberUpdates(True, (_STATUS, Suspicion(_ADDRESS, "0a1b2c3d4e5f"))),
    "probe request": ProbeRequest(_ADDRESS),
    "addresses request": AddressesRequest(),
    "addresses": Addresses(2, (_ADDRESS, "10.1.0.12:8624")),
}


@then('the message "{kind}" is decoded as it was encoded')
def same_message(context, kind):
    assert decode(encode(_MESSAGES[kind]), lambda incarnation: None) == _MESSAGES[kind]
