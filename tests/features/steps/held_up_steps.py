"""Steps that deliver requests with a delay over one link."""

from behave import given, then, when

from camphorshelf_core.messages import RelayMessage
from camphorshelf_relay.listeners import make_relay_handler
from standins.fakes import FakeLoop


class _FakeAdmissionController:
    def __init__(self):
        self.submitted = []

    def submit(self, message, reply):
        self.submitted.append(message)


@given("a link whose sender's clock is {seconds:d} s {direction}")
def give_link(context, seconds, direction):
    context.loop = FakeLoop()
    context.offset = seconds if direction == "ahead" else -seconds
    context.admission_controller, context.replies = _FakeAdmissionController(), []
    context.handle = make_relay_handler(context.loop, context.admission_controller, None)


@when("a request with {left:f} s left arrives with a delay of {delay:f} s")
def deliver_request(context, left, delay):
    sent_at = context.loop.now() + context.offset
    context.loop.advance(0.003 + delay)
    message = RelayMessage(
        call_id=1,
        sent_at=sent_at,
        service="counter",
        idempotent=True,
        priority=1,
        objective_s=left,
        remaining_s=left,
        work_s=0.1,
        late_policy=1,
        request_id="r1",
        caller_service="orders",
        method="GET",
        path=b"/",
        headers=(),
        body=b"",
    )
    context.handle(message, context.replies.append)


@then("the first runs with {left:f} s left")
def check_first_runs(context, left):
    assert (
        abs(context.admission_controller.submitted[0].remaining_s - left) < 0.01
    ), context.admission_controller.submitted


@then("the second runs with {left:f} s left")
def check_second_runs(context, left):
    assert (
        abs(context.admission_controller.submitted[1].remaining_s - left) < 0.01
    ), context.admission_controller.submitted


@then("the second is declined as not run")
def check_second_declined(context):
    assert len(context.admission_controller.submitted) == 1
    assert [reply.ran for reply in context.replies] == ["NOT_RUN"], context.replies
