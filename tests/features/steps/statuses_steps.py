"""Steps that encode statuses, and deliver them in some order."""

import cbor2
from behave import given, then, when

from camphorshelf_core.directory import HostDirectory
from camphorshelf_core.failuredetector import Suspicion
from camphorshelf_core.hosts import (
    RANDOM_BITS,
    HostStatus,
    HostView,
    make_incarnation,
    make_newer_incarnation,
    push_interval_seconds,
)
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
from standins.hosts import make_status

_ADDRESS = "10.1.0.11:8624"
_USUAL = make_status(
    "side-south-a-1", address=_ADDRESS, incarnation="0a1b2c3d4e5f", sequence=10, domain="south-a"
)
_BYTES = {
    "no bytes": b"",
    "random bytes": b"\xff\x13\x99\x00",
    "a number": cbor2.dumps(7),
    "a list too short": cbor2.dumps([0, "a"]),
    "a list of texts": cbor2.dumps([0, *("x" for _ in _USUAL)]),
    "a bad address": cbor2.dumps([0, *_USUAL._replace(address="nowhere")]),
    "bad crash counts": cbor2.dumps([0, *_USUAL._replace(crashes=(("a", "b"),))]),
}


def _deliver(context, data):
    if not hasattr(context, "directory"):
        context.directory = HostDirectory()

    def find(incarnation):
        view = context.directory.view(_ADDRESS)
        held = view and view.status
        return held if held and held.incarnation == incarnation else None

    status = decode(data, find)
    if isinstance(status, HostStatus):
        context.directory.apply_status(status, 1.0)
    return status


def _held(context):
    return context.directory.view(_ADDRESS).status


@given("the whole status of a host was heard")
def heard(context):
    _deliver(context, encode(_USUAL))


@when("it sends the short form of a status with {running:d} running and slowness {slowness:f}")
def short_form(context, running, slowness):
    changed = _USUAL._replace(sequence=11, running=running, slowness=slowness)
    _deliver(context, encode_short_status(changed))


@then("{running:d} running and slowness {slowness:f} are held of it, and its names as before")
def check_short(context, running, slowness):
    expected = _USUAL._replace(sequence=11, running=running, slowness=slowness)
    assert _held(context) == expected, _held(context)


@then("the short form is at most {most:d} bytes and a quarter of the whole one")
def check_size(context, most):
    short, whole = len(encode_short_status(_USUAL)), len(encode(_USUAL))
    assert short <= most and short * 4 <= whole + 20, (short, whole)


@when("its next process sends the short form first")
def next_short(context):
    next_one = _USUAL._replace(incarnation="ffffffffffff", sequence=1)
    context.status = _deliver(context, encode_short_status(next_one))


@when("a datagram of {content} arrives")
def bytes_arrive(context, content):
    context.status = _deliver(context, _BYTES[content])


@then("nothing of it is held")
def nothing_held(context):
    assert context.status in (None, UnresolvedShortStatus()), context.status


@when("a later one and then an earlier one arrive")
def out_of_order(context):
    _deliver(context, encode(_USUAL._replace(sequence=12, running=6)))
    _deliver(context, encode(_USUAL._replace(sequence=11, running=1)))


@then("the later one is held")
def later_held(context):
    assert _held(context).running == 6


@when("its next process is heard and then a late status of the one before")
def late_of_before(context):
    _deliver(context, encode(_USUAL._replace(incarnation="ffffffffffff", sequence=1)))
    _deliver(context, encode(_USUAL._replace(sequence=99)))


@then("the next process is held")
def next_held(context):
    assert _held(context).incarnation == "ffffffffffff"


@then("an incarnation is greater than one that was drawn a microsecond earlier")
def check_drawn(context):
    chances = 0, 1, 2**RANDOM_BITS - 1
    for at in (0, 63, 1_780_000_000_000_000, 2**52 - 2):
        earlier = [make_incarnation(at, chance) for chance in chances]
        later = [make_incarnation(at + 1, chance) for chance in chances]
        assert max(earlier) < min(later), (earlier, later)
        assert {len(one) for one in earlier + later} == {len(_USUAL.incarnation)}


@then("one that outbids another is greater, and two that outbid the same one differ")
def check_outbid(context):
    other = make_incarnation(1_780_000_000_000_000, 5)
    outbid = [make_newer_incarnation(other, chance) for chance in (0, 1, 2**RANDOM_BITS - 1)]
    assert min(outbid) > other and len(set(outbid)) == len(outbid), outbid


@given("{hosts:d} others are told")
def others(context, hosts):
    context.others = hosts


@then("a host that repeats its status is not silent until the next one but one")
def heard_between(context):
    repeat_s = push_interval_seconds(context.others)
    view = HostView()
    view.apply(_USUAL._replace(push_interval_s=repeat_s), 0.0)
    assert not view.is_silent(repeat_s * 2.25)


@when("another revision of its names is told in the short form")
def other_revision(context):
    context.status = _deliver(context, encode_short_status(_USUAL._replace(sequence=11, revision=2)))


@then("the whole form has to be asked for")
def must_ask(context):
    assert context.status == UnresolvedShortStatus(), context.status


_MESSAGES = {
    "probe": StatusRequest("0a1b2c3d4e5f", 3, True),
    "greeting": Greeting(_USUAL),
    "news": MemberUpdates(True, (_USUAL, Suspicion(_ADDRESS, "0a1b2c3d4e5f"))),
    "probe request": ProbeRequest(_ADDRESS),
    "addresses request": AddressesRequest(),
    "addresses": Addresses(2, (_ADDRESS, "10.1.0.12:8624")),
}


@then("a {kind} is read as it was written")
def same_message(context, kind):
    assert decode(encode(_MESSAGES[kind]), lambda incarnation: None) == _MESSAGES[kind]
