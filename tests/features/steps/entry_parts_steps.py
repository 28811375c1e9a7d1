"""Steps about single mechanisms behind the entry node's decisions."""

import random
from unittest import mock

from behave import step, then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from camphorshelf_core.calls import Response, is_idempotent
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.health import OutlierDetector
from camphorshelf_core.load import LoadReport, LoadView
from camphorshelf_core.ramp import ShiftingWeight
from camphorshelf_core.retry import (
    RETRIES_LEFT_HEADER,
    RetryContext,
    ShareBudget,
    decide_retry,
    is_target_fault,
    read_retries_left,
    retries_left_after,
)
from camphorshelf_core.roster import Member, MemberState
from camphorshelf_core.routing import Candidate
from camphorshelf_core.sensing import PROBE_BYTES, PROBE_MICROSECONDS, ProbeScheduler
from camphorshelf_core.settings import SensingSettings
from camphorshelf_core.subset import choose_subset, subset_size
from standins.patterns import PATTERNS
from standins.simulated import Simulation

_TARGETS = tuple(f"t{i}" for i in range(6))
_AMPLE_SHARE = 1.0
_RESULTS = {
    "QUEUE_FULL not run": Refusal(Code.QUEUE_FULL, "", Ran.NOT_RUN),
    "DEADLINE_UNREACHABLE": Refusal(Code.DEADLINE_UNREACHABLE, "", Ran.NOT_RUN),
    "TARGET_LOST unknown": Refusal(Code.TARGET_LOST, "", Ran.OUTCOME_UNKNOWN),
    "a failure retried downstream": Response(503, ((RETRIES_LEFT_HEADER, b"0"),), b""),
}


def _make_result(text):
    if text.startswith("status "):
        return Response(int(text.split()[1]), (), b"")
    return _RESULTS[text]


def _call_level(level, headers, calls, token):
    """Make a call at a level of the chain; the service at level 0 always fails."""
    if level == 0:
        calls.append(1)
        return Response(503, (), b"")
    left = read_retries_left(headers) if token else 1
    budget = ShareBudget(_AMPLE_SHARE)
    for _ in range(3):
        budget.record_call()
    while True:
        if len(calls) > 200:
            return Response(503, (), b"")
        headers_below = ((RETRIES_LEFT_HEADER, b"%d" % left),) if token else ()
        result = _call_level(level - 1, headers_below, calls, token)
        if not decide_retry(result, RetryContext(True, left, 1e9, 1.0), budget).retry:
            response_headers = (
                ((RETRIES_LEFT_HEADER, b"%d" % retries_left_after(result, left)),) if token else ()
            )
            return Response(503, response_headers, b"")
        left -= 1


@when("a call passes {levels:d} levels down to a service that always fails")
def call_chain(context, levels):
    context.levels = levels
    context.calls = []
    _call_level(levels, (), context.calls, token=True)


@then("the last service is called at most twice")
def check_last_calls(context):
    assert 1 <= len(context.calls) <= 2, len(context.calls)


@step("without the retry token in the call's headers it is called more than {count:d} times")
def check_without_token(context, count):
    calls = []
    _call_level(context.levels, (), calls, token=False)
    assert len(calls) > count, len(calls)


@when("{count:d} lookups fail one after another with a retry share of {share:g}")
def fail_lookups(context, count, share):
    budget = ShareBudget(share)
    context.retried = 0
    for _ in range(count):
        budget.record_call()
        decision = decide_retry(Response(503, (), b""), RetryContext(True, 1, 1e9, 1.0), budget)
        context.retried += decision.retry


@then("at most {count:d} of them are retried")
def check_retried(context, count):
    assert 1 <= context.retried <= count, context.retried


@when("{method:w} ends with {result}")
def end_call(context, method, result):
    retry_context = RetryContext(is_idempotent(method), 1, 1e9, 1.0)
    context.decision = decide_retry(_make_result(result), retry_context, ShareBudget(_AMPLE_SHARE))


@when("GET fails with {left:g} ms left where an answer takes {needed:g} ms")
def fail_late(context, left, needed):
    retry_context = RetryContext(True, 1, left, needed)
    context.decision = decide_retry(
        Response(503, (), b""), retry_context, ShareBudget(_AMPLE_SHARE)
    )


@then("it is retried")
def check_retried_call(context):
    assert context.decision.retry, context.decision


@then("it is not retried")
def check_not_retried(context):
    assert not context.decision.retry, context.decision


@when("an order is sent that its target runs beyond the deadline")
def send_long_order(context):
    context.simulation = Simulation()
    context.simulation.call(0.0, 500, deadline_ms=100, method="POST")
    context.outcome = context.simulation.run()


@then("the targets have run it once and its outcome is OUTCOME_UNKNOWN")
def check_order(context):
    assert sum(context.outcome.runs) == 1, context.outcome.runs
    (exchange,) = context.simulation.exchanges
    assert exchange.result.ran is Ran.OUTCOME_UNKNOWN, exchange.result


@when("a load pattern with spills, retries and hedges is simulated")
def simulate_all_kinds(context):
    simulation = PATTERNS["neighbour"](1)
    simulation.at(1.0, lambda: setattr(simulation.targets[0], "failing", True))
    context.attempts = []
    for target in simulation.targets:
        target.call = _record_attempts(target.call, context.attempts)
    context.outcome = simulation.run()


def _record_attempts(call, attempts):
    def record(message, on_done):
        attempts.append(message.attempt)
        return call(message, on_done)

    return record


@then("no two attempts had the same id")
def check_attempts(context):
    counts = context.outcome.counts
    assert counts["spills"] and counts["retries"] and counts["hedges"], counts
    assert len(context.attempts) > counts["calls"]
    assert len(set(context.attempts)) == len(context.attempts)


def _make_detector(answers=20):
    detector = OutlierDetector(random.Random(7))
    for name in _TARGETS:
        for turn in range(answers):
            detector.record(name, False, _TARGETS, turn * 0.01)
    return detector


@when("target t0 of six fails three times in a row")
def fail_three_times(context):
    context.detector = _make_detector()
    context.now = 10.0
    ejections = [context.detector.record("t0", True, _TARGETS, context.now) for _ in range(3)]
    assert ejections == [False, False, True], ejections


@then("it is ejected for {least:g} to {most:g} seconds")
def check_ejected(context, least, most):
    assert context.detector.check_ejected("t0", context.now + least - 0.01)
    context.now += most + 0.01
    assert not context.detector.check_ejected("t0", context.now)


@then("after that it has a tenth of its weight at first")
def check_return(context):
    assert context.detector.return_share("t0", context.now) < 0.15
    assert context.detector.return_share("t0", context.now + 5.1) == 1.0


@then("one more failure ejects it for {least:g} to {most:g} seconds")
def check_ejected_longer(context, least, most):
    assert context.detector.record("t0", True, _TARGETS, context.now)
    check_ejected(context, least, most)


@when("five of six targets fail one after another")
def fail_five(context):
    context.detector = _make_detector()
    for turn, name in enumerate(_TARGETS[:5]):
        for _ in range(4):
            context.detector.record(name, True, _TARGETS, 10.0 + turn * 0.01)


@when("all six targets fail in turn")
def fail_all(context):
    context.detector = _make_detector()
    for turn in range(60):
        context.detector.record(_TARGETS[turn % 6], True, _TARGETS, 10.0 + turn * 0.001)


@then("{count:d} of them are ejected")
def check_count_ejected(context, count):
    ejected = [name for name in _TARGETS if context.detector.check_ejected(name, 10.5)]
    assert len(ejected) == count, ejected


@when("a target returns {result}")
def return_result(context, result):
    context.is_fault = is_target_fault(_make_result(result))


@then("it does count as a fault of the target")
def check_fault(context):
    assert context.is_fault


@then("it does not count as a fault of the target")
def check_no_fault(context):
    assert not context.is_fault


@when("a report of {count:d} calls arrives and then one made {earlier:d} ms earlier of 0 calls")
def receive_older_report(context, count, earlier):
    context.view = LoadView()
    context.view.record_report(LoadReport(count, 0, 10, 5.0, at_ms=50_000), 100.0)
    context.view.record_report(LoadReport(0, 0, 10, 5.0, at_ms=50_000 - earlier), 100.1)


@then("the view still has {count:d} calls")
def check_view(context, count):
    assert context.view.others_in_flight == count


@when("a first report is delayed by 1 ms and a second one by {delay:d} ms")
def receive_delayed_report(context, delay):
    context.view = LoadView()
    context.view.record_report(LoadReport(1, 0, 10, 5.0, at_ms=50_000), 100.001)
    context.view.record_report(LoadReport(1, 0, 10, 5.0, at_ms=51_000), 101.0 + delay / 1000)


@then("the age of the second one is about {age:d} ms")
def check_age(context, age):
    assert abs(context.view.report_age(101.4) * 1000 - age) < 2, context.view.report_age(101.4)


@when("the weight of a target goes from 1 to 0 in the configuration")
def change_weight(context):
    context.weight = ShiftingWeight(1.0, 100.0)
    context.weight.move_to(0.0, 100.0)


@then("its weight is {half:g} after 2 seconds and {end:g} after 4 seconds")
def check_weight(context, half, end):
    assert abs(context.weight.value(102.0) - half) < 1e-9
    assert abs(context.weight.value(104.0) - end) < 1e-9


def _make_members(prefix, count):
    return [
        Member(f"{prefix}{i}", 1, 0, MemberState.ALIVE, "x", "a", f"fd-{i % 12}", None)
        for i in range(count)
    ]


@when("{entries:d} entry nodes choose their subsets of {targets:d} targets")
def choose_subsets(context, entries, targets):
    context.members = _make_members("t", targets)
    context.size = subset_size(20, targets, entries, 250)
    context.entries = _make_members("e", entries)
    context.subsets = _choose(context.entries, context.members, context.size)


def _choose(entries, members, size):
    return {
        entry.node: {
            one.node for one in choose_subset(entry.node, entry.failure_domain, members, size)
        }
        for entry in entries
    }


@then("no target is chosen by more than {limit:d} of them")
def check_limit(context, limit):
    counts = {member.node: 0 for member in context.members}
    for subset in context.subsets.values():
        for name in subset:
            counts[name] += 1
    assert max(counts.values()) <= limit, max(counts.values())
    assert min(counts.values()) > 0


@then("every entry node has at least {count:d} targets")
def check_least(context, count):
    assert min(len(subset) for subset in context.subsets.values()) >= count


@then("a target that leaves changes only the subsets that contained it")
def check_change(context):
    left = context.members[5].node
    rest = [member for member in context.members if member.node != left]
    after = _choose(context.entries, rest, context.size)
    changed = {entry for entry in after if after[entry] != context.subsets[entry]}
    assert changed == {entry for entry, subset in context.subsets.items() if left in subset}


_SETTINGS = SensingSettings(960, 960, 2_000)
_CANDIDATES = [Candidate(name, "a", "fd", 10) for name in _TARGETS]
_EVENTS = st.lists(
    st.tuples(st.sampled_from(("call", "asked", "answer")), st.sampled_from((0, 0.001, 0.05, 2.0))),
    min_size=1,
    max_size=300,
)


def _check_probes(events):
    _run_probes(events)


def _run_probes(events):
    scheduler = ProbeScheduler(_SETTINGS, random.Random(3), 100.0)
    now = 100.0
    numbers = []
    for kind, pause in events:
        now += pause
        if kind == "call":
            probe = scheduler.next_probe(_CANDIDATES, now)
            numbers += [probe.number] if probe else []
        elif kind == "asked":
            scheduler.charge_answer(now)
        elif numbers:
            scheduler.match_answer(numbers.pop())
        spent = (scheduler.sent + scheduler.answered) * PROBE_BYTES
        assert spent <= 960 + 960 * (now - 100.0) + 1
        work = (scheduler.sent + scheduler.answered) * PROBE_MICROSECONDS
        assert work <= 2_000 * (1 + now - 100.0) + 1
        assert scheduler.pending <= len(_TARGETS)
    return scheduler


@then(
    "for any sequence of calls, probes and pauses the bytes and processor time stay in the budget"
)
def check_budget(context):
    check = settings(max_examples=200, derandomize=True, deadline=None)(_check_probes)
    given(_EVENTS)(check)()
    flood = _run_probes([("asked", 0.0)] * 300)
    assert flood.denied > 0


@step("a budget that is not enforced is caught by the assertion in the code")
def check_assertion(context):
    bucket = "camphorshelf_core.sensing.TokenBucket.available"
    with mock.patch(bucket, lambda self, now: float("inf")):
        try:
            scheduler = ProbeScheduler(_SETTINGS, random.Random(3), 100.0)
            for _ in range(300):
                scheduler.charge_answer(100.0)
        except AssertionError as error:
            assert "probes exceeded" in str(error)
        else:
            raise AssertionError("the exceeded probe budget was not detected")
