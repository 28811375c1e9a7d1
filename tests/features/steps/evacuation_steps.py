"""Steps that evacuate failure domains, on fake stores, streams and clocks."""

import json
import random
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.directory import HostDirectory
from camphorshelf_core.errors import Ran
from camphorshelf_core.instances import Heartbeat
from camphorshelf_core.jobs import LatePolicy
from camphorshelf_core.messages import (
    ConfigReplyMessage,
    RelayRefusedMessage,
    RelayAnswerMessage,
    RelayMessage,
    decode,
    encode,
)
from camphorshelf_core.routes import ServiceTerms
from camphorshelf_platform.headers import DIALECT
from camphorshelf_relay import targetlink
from camphorshelf_relay.configkeeper import ConfigKeeper
from camphorshelf_relay.crashes import CrashWatch
from camphorshelf_relay.gate import Gate
from camphorshelf_relay.router import Router
from camphorshelf_relay.storeport import StoredRow, StoreRows
from camphorshelf_relay.target import Target
from standins.fakes import FakeLoop, FakeStream
from standins.hosts import make_status
from standins.relayparts import READERS, SETTINGS
from standins.relays import make_document

_ROW_VALUE = b"{}"


class _Log:
    def notable(self, event, **fields):
        """Take no note."""

    routine = notable


class _Peers:
    def __init__(self):
        self.directory = HostDirectory()
        self.calls = []

    def link(self, address):
        return SimpleNamespace(call=lambda message, on_done: self.calls.append((message, on_done)))

    def tell(self):
        """Nobody is there."""


def _make_keeper():
    keeper = ConfigKeeper(FakeLoop(), SETTINGS, None, _Peers(), READERS, random.Random(1), _Log())
    keeper.table_name, keeper.row_key = "op", "config"
    return keeper


def _show(keeper, version, domains, value=_ROW_VALUE):
    rows = [StoredRow(f"evacuate/{domain}", value, version) for domain in domains]
    keeper._on_read(StoreRows(tuple(rows), version=version))


def _known(keeper):
    return sorted(keeper.evacuations.held.domains)


@given('a node in failure domain "{domain}"')
@given('a node in failure domain "{domain}" that has just been started')
def give_node(context, domain):
    assert domain == SETTINGS.domain
    context.keeper = _make_keeper()


@when('the store shows at version {version:d} that "{domain}" is evacuated')
def show_one(context, version, domain):
    _show(context.keeper, version, [domain])


@when('the store shows at version {version:d} that "{domain}" is evacuated by a row of bad bytes')
def show_bad(context, version, domain):
    _show(context.keeper, version, [domain], b"\xff\x00{")


@when('the store shows at version {version:d} that "{domain}" and "" are evacuated')
def show_nameless(context, version, domain):
    _show(context.keeper, version, [domain, ""])


@when("the store shows at version {version:d} that nothing is evacuated")
def show_none(context, version):
    _show(context.keeper, version, [])


@then('it knows that "{domain}" is evacuated')
def check_one(context, domain):
    assert _known(context.keeper) == [domain], _known(context.keeper)


@then('it knows that "{first}" and "{second}" are evacuated')
def check_two(context, first, second):
    assert _known(context.keeper) == [first, second], _known(context.keeper)


@then("it knows that nothing is evacuated")
def check_none(context):
    assert _known(context.keeper) == [], _known(context.keeper)


@then("it tells others of version {version:d}")
def check_told(context, version):
    assert context.keeper.evacuations.held.changed_at == version


@given(
    "another node to which the store has shown at version {version:d} that "
    '"{first}" and "{second}" are evacuated'
)
def give_other_two(context, version, first, second):
    context.other = _make_keeper()
    _show(context.other, version, [first, second])


@given(
    'another node to which the store has shown at version {version:d} that "{domain}" is evacuated'
)
def give_other(context, version, domain):
    context.other = _make_keeper()
    _show(context.other, version, [domain])


@given(
    "another node to which the store has shown at version {version:d} that "
    'nothing is evacuated after "{domain}"'
)
def give_other_after(context, version, domain):
    give_other(context, version - 1, domain)
    _show(context.other, version, [])


@when("the node hears the other one's status")
def hear_other(context):
    keeper, other = context.keeper, context.other
    version = other.evacuations.held.changed_at
    status = make_status("h2", config_version=0, evacuation_version=version)
    keeper._peers.directory.apply_status(status, keeper._loop.now())
    keeper.hear(keeper._peers.directory.view("h2"))


@then("it fetches what the other one knows")
def check_fetch(context):
    ((message, on_done),) = context.keeper._peers.calls
    answers = []
    context.other.answer_peer(message, answers.append)
    on_done(decode(encode(answers[0])))


@then("it fetches nothing")
def check_no_fetch(context):
    assert not context.keeper._peers.calls


@when('another node sends it its configuration and that "{domain}" is evacuated')
def send_both(context, domain):
    other = _make_keeper()
    _show(other, 10, [domain])
    document = make_document(7, {"/a/": {"service": "counter", "timeout_s": 1.0}})
    other._take_rows((StoredRow("config", _dump(document)),))
    keeper, context.known = context.keeper, []
    keeper.on_change(lambda config: context.known.append(_known(keeper)))
    answers = []
    other.answer_peer(SimpleNamespace(version=0), answers.append)
    assert isinstance(answers[0], ConfigReplyMessage)
    keeper._on_reply(answers[0], None)
    context.domain = domain


@then("it knew of the evacuation when its configuration came into force")
def check_order(context):
    assert context.known == [[context.domain]], context.known


class _Streams:
    """Connections to a target that open after a time, and answer when the test says so."""

    def __init__(self, loop, opening_s):
        self._loop = loop
        self._opening_s = opening_s
        self.opened = []

    def dial(self, _loop, _address):
        stream = FakeStream()
        self.opened.append(stream)
        self._loop.call_later(self._opening_s, lambda: stream.closed or stream.on_connect())
        return stream


def _make_gate(context, opening_s=0.001):
    loop = context.loop = FakeLoop()
    context.streams = _Streams(loop, opening_s)
    patch = mock.patch.object(targetlink, "dial", context.streams.dial)
    patch.start()
    context.add_cleanup(patch.stop)
    admission = AdmissionQueue()
    context.target = Target(loop, SETTINGS, DIALECT, admission, _Log())
    crashes = CrashWatch(loop, "a", _Log())
    context.gate = Gate(loop, SETTINGS, DIALECT, admission, context.target, crashes, _Log())
    # Without a health path it is not probed, so that only requests open connections.
    context.target.configure(ServiceTerms(""))
    context.target._probe.configure(None, may_be_cold=False)
    context.target.beat(Heartbeat("i-1", 1, 1, "counter", "127.0.0.1:1", 9, False, 0.0))
    context.answers = []


def _let_in(context, name, left_s=5.0):
    message = RelayMessage(
        call_id=0,
        sent_at=0.0,
        service="counter",
        idempotent=True,
        priority=1,
        objective_s=1.0,
        remaining_s=left_s,
        work_s=0.1,
        late_policy=int(LatePolicy.REJECT),
        request_id=name,
        caller_service="x",
        method="GET",
        path=b"/a/",
        headers=(),
        body=b"",
    )
    context.gate.run(message, lambda answer: context.answers.append((name, answer)))
    context.loop.advance(0.01)


def _sent(context):
    return [stream for stream in context.streams.opened if stream.sent]


@given("a target that takes work and runs {count:d} requests with {slots:d} slots")
def give_running(context, count, slots):
    _make_gate(context)
    for number in range(count):
        _let_in(context, f"run-{number}")
    assert context.gate.admission.running == count
    assert context.gate.admission.slots == slots


@given("{count:d} more requests are queued")
def queue_more(context, count):
    for number in range(count):
        _let_in(context, f"queued-{number}")
    assert context.gate.admission.queued == count
    context.queued = count


@given("a target that takes work whose connections open after {seconds:f} s")
def give_slow_opening(context, seconds):
    _make_gate(context, seconds)


@when("a request is let in")
def let_one_in(context):
    _let_in(context, "late")
    assert context.gate.admission.running == 1


@when("its failure domain is evacuated")
def evacuate(context):
    context.target.evacuate(True)


@when("the evacuation is taken back")
def take_back(context):
    context.target.evacuate(False)


@when("the target's connections have had {seconds:f} s")
def pass_time(context, seconds):
    context.loop.advance(seconds)


@then("it takes no work, and what is offered is declined as not run")
def check_takes_none(context):
    assert not context.target.accepting
    _let_in(context, "offered")
    name, answer = context.answers[-1]
    assert name == "offered" and isinstance(answer, RelayRefusedMessage)
    assert answer.ran == Ran.NOT_RUN.value


@then("the {count:d} requests run to their end")
def check_run_on(context, count):
    for number, stream in enumerate(_sent(context)):
        _answer(stream, f"run-{number}")
    context.loop.advance(0.01)
    relayed = [answer for _, answer in context.answers if isinstance(answer, RelayAnswerMessage)]
    assert len(relayed) == count, context.answers


@then("it takes work")
def check_takes(context):
    assert context.target.accepting


@when("{count:d} of the requests that run ends")
def end_some(context, count):
    for number, stream in enumerate(_sent(context)[:count]):
        _answer(stream, f"run-{number}")
    context.loop.advance(0.01)


@then("the queued requests were declined as not run and none of them was sent")
def check_queue_declined(context):
    declined = {name for name, answer in context.answers if isinstance(answer, RelayRefusedMessage)}
    assert declined == {f"queued-{number}" for number in range(context.queued)}, declined
    _check_never_sent(context, "queued")


@then("the request was declined as not run and never sent")
def check_late_declined(context):
    ((name, answer),) = context.answers
    assert isinstance(answer, RelayRefusedMessage) and answer.ran == Ran.NOT_RUN.value
    _check_never_sent(context, name)


@when("its node ends within {seconds:f} s")
def end_node(context, seconds):
    context.gate.end_work_by(context.loop.now() + seconds)


@then("a request whose caller waits for {seconds:f} s is let in")
def check_let_in(context, seconds):
    before = context.gate.admission.running
    _let_in(context, "short", seconds)
    assert context.gate.admission.running == before + 1


@then("a request whose caller waits for {seconds:f} s is declined as not run")
def check_declined(context, seconds):
    _let_in(context, "long", seconds)
    name, answer = context.answers[-1]
    assert name == "long" and answer.ran == Ran.NOT_RUN.value
    _check_never_sent(context, "long")


@given('an entry node that has heard of targets in "{first}" and "{second}"')
def give_entry(context, first, second):
    context.keeper = _make_keeper()
    loop, peers = context.keeper._loop, context.keeper._peers
    for domain in (first, second):
        for number in range(3):
            status = make_status(f"{domain}:{number}", domain=domain)
            peers.directory.apply_status(status, loop.now())
    settings = SETTINGS._replace(service="desk")
    context.router = Router(
        loop, settings, DIALECT, context.keeper, peers, None, None, random.Random(1), _Log()
    )
    assert len(context.router.views("counter")) == 6


@when('the entry node knows that "{first}" and "{second}" are evacuated')
def entry_knows_two(context, first, second):
    _show(context.keeper, 11, [first, second])


@when('the entry node knows that "{domain}" is evacuated')
def entry_knows(context, domain):
    _show(context.keeper, 10, [domain])


@then('it chooses among the targets in "{domain}" only')
def check_views(context, domain):
    domains = [view.status.domain for view in context.router.views("counter")]
    assert domains == [domain] * 3, domains


@then("it finds no target")
def check_no_views(context):
    assert context.router.views("counter") == []


def _answer(stream, name):
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n"
    stream.on_data(head.encode() + b"\r\n")


def _check_never_sent(context, name):
    assert not any(name.encode() in stream.sent for stream in context.streams.opened)


def _dump(document):
    return json.dumps(document).encode()
