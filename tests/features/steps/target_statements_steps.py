"""Steps that deliver responses and heartbeats of a target to its node and to an entry node."""

from behave import given, then, when

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.calls import Response
from camphorshelf_core.instances import Heartbeat
from camphorshelf_core.jobs import Job, JobState, LatePolicy
from camphorshelf_core.leavinginstances import LeavingInstances
from camphorshelf_core.routes import ServiceSettings
from camphorshelf_platform.headers import HEADER_CODEC
from camphorshelf_relay.target import Target
from camphorshelf_relay.targetconnection import Origin, TargetResponse
from standins.fakes import FakeLoop
from standins.hosts import make_status
from standins.relayparts import SETTINGS

_DEADLINE_SECONDS = 2.0


class _ListLog:
    def __init__(self):
        self.lines = []

    def notable(self, event, **fields):
        """Keep the line."""
        self.lines.append((event, fields))


def _send_heartbeat(context, instance, started_ms, sequence):
    heartbeat = Heartbeat(instance, started_ms, sequence, "counter", "127.0.0.1:1", 9, False, 0.0)
    assert context.subject.handle_heartbeat(heartbeat)


@given('a target whose process "{instance}" runs')
def running_target(context, instance):
    context.loop, context.log = FakeLoop(), _ListLog()
    context.admission = AdmissionQueue()
    context.subject = Target(context.loop, SETTINGS, HEADER_CODEC, context.admission, context.log)
    context.subject.configure(ServiceSettings(None))
    _send_heartbeat(context, instance, 1000, 1)
    assert context.subject.accepting


@given("a request was sent to it")
def send_request(context):
    context.process = context.subject.record.process
    context.sent_at = context.loop.now()
    context.loop.advance(0.1)


@when('"{instance}" replaces it')
def replace(context, instance):
    _send_heartbeat(context, instance, 2000, 1)


@when('"{instance}" restarts under the same id')
def restart(context, instance):
    _send_heartbeat(context, instance, 3000, 1)


@when("it sends a heartbeat that is ready")
def send_ready(context):
    _send_heartbeat(context, context.subject.record.instance, 1000, 2)


def _parse(text):
    headers = [part.partition(": ")[::2] for part in text.split(", ")]
    headers = [(name.encode(), value.encode()) for name, value in headers]
    return HEADER_CODEC.parse_target(200, headers)


@given('the request\'s response says "{text}"')
@when('the request\'s response says "{text}"')
def respond(context, text):
    context.subject.record_response(_parse(text), context.process, context.sent_at)


@when('the response to a later request says "{text}"')
def respond_later(context, text):
    context.loop.advance(0.1)
    send_request(context)
    respond(context, text)


@when('its health response says "{text}"')
def respond_to_probe(context, text):
    origin = Origin("length", reused=False, skipped=0)
    result = TargetResponse(Response(200, (), b""), _parse(text), origin)
    context.subject._on_probe_response(result)


@then("no rate limit applies")
def check_no_limit(context):
    assert context.subject.rate_limit_per_s is None


@then("the rate limit is {per_s}")
def check_limit(context, per_s):
    assert str(context.subject.rate_limit_per_s) == per_s, context.subject.rate_limit_per_s


@then("the target accepts requests")
def check_accepting(context):
    assert context.subject.accepting


@then("the target accepts no requests")
def check_not_accepting(context):
    assert not context.subject.accepting


@then('the log has {lines:d} line "{event}" and the counter stands at {count:d}')
def check_invalid(context, lines, event, count):
    assert sum(name == event for name, _ in context.log.lines) == lines, context.log.lines
    assert context.subject.invalid_header_counts["rate_limit"] == count


@given('a target whose process "{instance}" runs, with a full queue of work that lasts {work:f} s')
def queued_target(context, instance, work):
    running_target(context, instance)
    context.jobs = []
    now = context.loop.now()
    while True:
        policy = LatePolicy.QUEUE_HELD
        job = Job(2, now + 0.5, now + _DEADLINE_SECONDS, work, policy, lambda: None, lambda _: None)
        if not context.admission.offer(job, now).admitted:
            break
        context.jobs.append(job)
    assert context.admission.queued >= 4, context.admission.queued


@then("each queued request starts within its deadline at {per_s:d} request a second")
def check_queue(context, per_s):
    queued = [job for job in context.jobs if job.state is JobState.QUEUED]
    assert 0 < len(queued) <= _DEADLINE_SECONDS * per_s, len(queued)
    wait_s = context.admission.start_limits.wait_s(context.loop.now(), len(queued) - 1)
    assert wait_s <= _DEADLINE_SECONDS, wait_s


@given('an entry node that has passed on a response of "{instance}" that says that it leaves')
def remember(context, instance):
    context.leaving = LeavingInstances()
    context.moment = 100.0
    context.status = make_status("h", instance=instance, incarnation="k", sequence=7)
    assert context.leaving.record(context.status, context.moment)


def _is_excluded(context, **changes):
    return context.leaving.is_leaving(context.status._replace(**changes), context.moment)


@then('it sends nothing to "{instance}" of the same status')
def check_same_status(context, instance):
    assert _is_excluded(context, instance=instance)


@then("it follows a later status of the same node")
def check_later_status(context):
    assert not _is_excluded(context, sequence=8)


@then('it sends nothing to "{instance}" of a restarted node')
def check_restarted(context, instance):
    assert _is_excluded(context, instance=instance, incarnation="m", sequence=1)


@then('it sends requests to "{instance}" of a restarted node')
def check_other(context, instance):
    assert not _is_excluded(context, instance=instance, incarnation="m", sequence=1)


@when("{seconds:d} s have passed")
def pass_time(context, seconds):
    context.moment += seconds
