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
    RelayAnswerMessage,
    RelayMessage,
    RelayRefusedMessage,
    decode,
    encode,
)
from camphorshelf_core.routes import ServiceSettings
from camphorshelf_platform.headers import HEADER_CODEC
from camphorshelf_relay import targetpool
from camphorshelf_relay.admissioncontroller import AdmissionController
from camphorshelf_relay.configsync import ConfigSynchronizer
from camphorshelf_relay.crashes import CrashTracker
from camphorshelf_relay.router import Router
from camphorshelf_relay.storeport import StoredRow, StoreRows
from camphorshelf_relay.target import Target
from standins.fakes import FakeLoop, FakeStream
from standins.hosts import make_status
from standins.relayparts import READERS, SETTINGS
from standins.relays import make_document

_ROW_VALUE = b"{}"


class _FakeLog:
    def notable(self, event, **fields):
        """Ignore the event."""

    routine = notable


class _FakePeers:
    def __init__(self):
        self.directory = HostDirectory()
        self.calls = []

    def link(self, address):
        return SimpleNamespace(call=lambda message, on_done: self.calls.append((message, on_done)))

    def announce_changes(self):
        """Do nothing: there are no peers."""


def _make_synchronizer():
    synchronizer = ConfigSynchronizer(
        FakeLoop(), SETTINGS, None, _FakePeers(), READERS, random.Random(1), _FakeLog()
    )
    synchronizer.table_name, synchronizer.row_key = "op", "config"
    return synchronizer


def _show(synchronizer, version, domains, value=_ROW_VALUE):
    rows = [StoredRow(f"evacuate/{domain}", value, version) for domain in domains]
    synchronizer._on_read(StoreRows(tuple(rows), version=version))


def _known_domains(synchronizer):
    return sorted(synchronizer.evacuations.current.domains)


@given('a node in failure domain "{domain}"')
@given('a node in failure domain "{domain}" that has just been started')
def give_node(context, domain):
    assert domain == SETTINGS.domain
    context.synchronizer = _make_synchronizer()


@when('the store shows at version {version:d} that "{domain}" is evacuated')
def show_one(context, version, domain):
    _show(context.synchronizer, version, [domain])


@when(
    'the store shows at version {version:d} that "{domain}" is evacuated by a row with an invalid '
    "value"
)
def show_invalid(context, version, domain):
    _show(context.synchronizer, version, [domain], b"\xff\x00{")


@when('the store shows at version {version:d} that "{domain}" and "" are evacuated')
def show_unnamed(context, version, domain):
    _show(context.synchronizer, version, [domain, ""])


@when("the store shows at version {version:d} that nothing is evacuated")
def show_none(context, version):
    _show(context.synchronizer, version, [])


@then('it knows that "{domain}" is evacuated')
def check_one(context, domain):
    assert _known_domains(context.synchronizer) == [domain], _known_domains(context.synchronizer)


@then('it knows that "{first}" and "{second}" are evacuated')
def check_two(context, first, second):
    assert _known_domains(context.synchronizer) == [first, second], _known_domains(
        context.synchronizer
    )


@then("it knows that nothing is evacuated")
def check_none(context):
    assert _known_domains(context.synchronizer) == [], _known_domains(context.synchronizer)


@then("it announces version {version:d}")
def check_announced(context, version):
    assert context.synchronizer.evacuations.current.changed_at == version


@given(
    "another node to which the store has shown at version {version:d} that "
    '"{first}" and "{second}" are evacuated'
)
def give_other_two(context, version, first, second):
    context.other = _make_synchronizer()
    _show(context.other, version, [first, second])


@given(
    'another node to which the store has shown at version {version:d} that "{domain}" is evacuated'
)
def give_other(context, version, domain):
    context.other = _make_synchronizer()
    _show(context.other, version, [domain])


@given(
    "another node to which the store has shown at version {version:d} that "
    'nothing is evacuated after "{domain}"'
)
def give_other_after(context, version, domain):
    give_other(context, version - 1, domain)
    _show(context.other, version, [])


@when("the node receives the other one's status")
def receive_status(context):
    synchronizer, other = context.synchronizer, context.other
    version = other.evacuations.current.changed_at
    status = make_status("h2", config_version=0, evacuation_version=version)
    synchronizer._peers.directory.apply_status(status, synchronizer._loop.now())
    synchronizer.on_peer_status(synchronizer._peers.directory.view("h2"))


@then("it fetches the other one's evacuations")
def check_fetch(context):
    ((message, on_done),) = context.synchronizer._peers.calls
    answers = []
    context.other.answer_peer(message, answers.append)
    on_done(decode(encode(answers[0])))


@then("it fetches nothing")
def check_no_fetch(context):
    assert not context.synchronizer._peers.calls


@when('another node sends it its configuration and that "{domain}" is evacuated')
def send_both(context, domain):
    other = _make_synchronizer()
    _show(other, 10, [domain])
    document = make_document(7, {"/a/": {"service": "counter", "timeout_s": 1.0}})
    other._apply_rows((StoredRow("config", _dump(document)),))
    synchronizer, context.known_domains = context.synchronizer, []
    synchronizer.on_change(
        lambda config: context.known_domains.append(_known_domains(synchronizer))
    )
    answers = []
    other.answer_peer(SimpleNamespace(version=0), answers.append)
    assert isinstance(answers[0], ConfigReplyMessage)
    synchronizer._on_reply(answers[0], None)
    context.domain = domain


@then("it knew of the evacuation when its configuration came into force")
def check_known_first(context):
    assert context.known_domains == [[context.domain]], context.known_domains


class _FakeStreams:
    """Fake connections to a target that open after a delay; the test feeds their answers."""

    def __init__(self, loop, open_delay_s):
        self._loop = loop
        self._open_delay_s = open_delay_s
        self.opened = []

    def dial(self, _loop, _address):
        stream = FakeStream()
        self.opened.append(stream)
        self._loop.call_later(self._open_delay_s, lambda: stream.closed or stream.on_connect())
        return stream


def _make_admission_controller(context, open_delay_s=0.001):
    loop = context.loop = FakeLoop()
    context.streams = _FakeStreams(loop, open_delay_s)
    patch = mock.patch.object(targetpool, "dial", context.streams.dial)
    patch.start()
    context.add_cleanup(patch.stop)
    admission = AdmissionQueue()
    context.target = Target(loop, SETTINGS, HEADER_CODEC, admission, _FakeLog())
    crashes = CrashTracker(loop, "a", _FakeLog())
    context.admission_controller = AdmissionController(
        loop, SETTINGS, HEADER_CODEC, admission, context.target, crashes, _FakeLog()
    )
    # Without a health path the target is not probed, so that only requests open connections.
    context.target.configure(ServiceSettings(""))
    context.target._probe.configure(None, may_be_cold=False)
    context.target.handle_heartbeat(Heartbeat("i-1", 1, 1, "counter", "127.0.0.1:1", 9, False, 0.0))
    context.answers = []


def _submit(context, name, left_s=5.0):
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
    context.admission_controller.submit(
        message, lambda answer: context.answers.append((name, answer))
    )
    context.loop.advance(0.01)


def _written_streams(context):
    return [stream for stream in context.streams.opened if stream.sent]


@given("a target that accepts requests and runs {count:d} requests with {slots:d} slots")
def give_running(context, count, slots):
    _make_admission_controller(context)
    for number in range(count):
        _submit(context, f"run-{number}")
    assert context.admission_controller.admission.running == count
    assert context.admission_controller.admission.slots == slots


@given("{count:d} more requests are queued")
def queue_more(context, count):
    for number in range(count):
        _submit(context, f"queued-{number}")
    assert context.admission_controller.admission.queued == count
    context.queued = count


@given("a target that accepts requests whose connections open after {seconds:f} s")
def give_slow_connections(context, seconds):
    _make_admission_controller(context, seconds)


@when("a request is admitted")
def admit_one(context):
    _submit(context, "late")
    assert context.admission_controller.admission.running == 1


@when("its failure domain is evacuated")
def evacuate(context):
    context.target.set_evacuated(True)


@when("the evacuation is ended")
def end_evacuation(context):
    context.target.set_evacuated(False)


@when("{seconds:f} s pass for the target's connections")
def pass_time(context, seconds):
    context.loop.advance(seconds)


@then("it accepts no requests, and an offered one is declined as not run")
def check_not_accepting(context):
    assert not context.target.accepting
    _submit(context, "offered")
    name, answer = context.answers[-1]
    assert name == "offered" and isinstance(answer, RelayRefusedMessage)
    assert answer.ran == Ran.NOT_RUN.value


@then("the {count:d} running requests are completed")
def check_completed(context, count):
    for number, stream in enumerate(_written_streams(context)):
        _answer(stream, f"run-{number}")
    context.loop.advance(0.01)
    relayed = [answer for _, answer in context.answers if isinstance(answer, RelayAnswerMessage)]
    assert len(relayed) == count, context.answers


@then("it accepts requests")
def check_accepting(context):
    assert context.target.accepting


@when("{count:d} of the running requests ends")
def end_some(context, count):
    for number, stream in enumerate(_written_streams(context)[:count]):
        _answer(stream, f"run-{number}")
    context.loop.advance(0.01)


@then("the queued requests were declined as not run and none of them was sent")
def check_queue_declined(context):
    declined = {name for name, answer in context.answers if isinstance(answer, RelayRefusedMessage)}
    assert declined == {f"queued-{number}" for number in range(context.queued)}, declined
    _check_never_sent(context, "queued")


@then("the request was declined as not run and never sent")
def check_unsent_declined(context):
    ((name, answer),) = context.answers
    assert isinstance(answer, RelayRefusedMessage) and answer.ran == Ran.NOT_RUN.value
    _check_never_sent(context, name)


@when("its node shuts down in {seconds:f} s")
def shut_down_node(context, seconds):
    context.admission_controller.set_shutdown_time(context.loop.now() + seconds)


@then("a request whose caller waits for {seconds:f} s is admitted")
def check_admitted(context, seconds):
    before = context.admission_controller.admission.running
    _submit(context, "short", seconds)
    assert context.admission_controller.admission.running == before + 1


@then("a request whose caller waits for {seconds:f} s is declined as not run")
def check_declined(context, seconds):
    _submit(context, "long", seconds)
    name, answer = context.answers[-1]
    assert name == "long" and answer.ran == Ran.NOT_RUN.value
    _check_never_sent(context, "long")


@given('an entry node that knows of targets in "{first}" and "{second}"')
def give_entry(context, first, second):
    context.synchronizer = _make_synchronizer()
    loop, peers = context.synchronizer._loop, context.synchronizer._peers
    for domain in (first, second):
        for number in range(3):
            status = make_status(f"{domain}:{number}", domain=domain)
            peers.directory.apply_status(status, loop.now())
    settings = SETTINGS._replace(service="desk")
    context.router = Router(
        loop,
        settings,
        HEADER_CODEC,
        context.synchronizer,
        peers,
        None,
        None,
        random.Random(1),
        _FakeLog(),
    )
    assert len(context.router.list_targets("counter")) == 6


@when('the entry node knows that "{first}" and "{second}" are evacuated')
def entry_knows_two(context, first, second):
    _show(context.synchronizer, 11, [first, second])


@when('the entry node knows that "{domain}" is evacuated')
def entry_knows(context, domain):
    _show(context.synchronizer, 10, [domain])


@then('it chooses among the targets in "{domain}" only')
def check_targets(context, domain):
    domains = [view.status.domain for view in context.router.list_targets("counter")]
    assert domains == [domain] * 3, domains


@then("it finds no target")
def check_no_targets(context):
    assert context.router.list_targets("counter") == []


def _answer(stream, name):
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n"
    stream.on_data(head.encode() + b"\r\n")


def _check_never_sent(context, name):
    assert not any(name.encode() in stream.sent for stream in context.streams.opened)


def _dump(document):
    return json.dumps(document).encode()
