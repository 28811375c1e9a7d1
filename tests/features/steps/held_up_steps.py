"""Steps that deliver requests late over one link."""

from behave import given, then, when

from camphorshelf_core.messages import RelayMessage
from camphorshelf_relay.listeners import make_relay_handler
from standins.fakes import FakeLoop


class _Gate:
    def __init__(self):
        self.runs = []

    def run(self, message, reply):
        self.runs.append(message)


@given("a link whose sender's clock is {seconds:d} s {way}")
def give_link(context, seconds, way):
    context.loop = FakeLoop()
    context.offset = seconds if way == "ahead" else -seconds
    context.gate, context.replies = _Gate(), []
    context.handle = make_relay_handler(context.loop, context.gate, None)


@when("a request with {left:f} s left arrives after {late:f} s on the way")
def arrive(context, left, late):
    sent_at = context.loop.now() + context.offset
    context.loop.advance(0.003 + late)
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
def first_runs(context, left):
    assert abs(context.gate.runs[0].remaining_s - left) < 0.01, context.gate.runs


@then("the second runs with {left:f} s left")
def second_runs(context, left):
    assert abs(context.gate.runs[1].remaining_s - left) < 0.01, context.gate.runs


@then("the second is declined as not run")
def second_declined(context):
    assert len(context.gate.runs) == 1
    assert [reply.ran for reply in context.replies] == ["NOT_RUN"], context.replies
