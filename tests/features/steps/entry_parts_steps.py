"""Steps about single parts of the entry node's decisions."""

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
_ROOMY_SHARE = 1.0
_RESULTS = {
    "QUEUE_FULL not run": Refusal(Code.QUEUE_FULL, "", Ran.NOT_RUN),
    "DEADLINE_UNREACHABLE": Refusal(Code.DEADLINE_UNREACHABLE, "", Ran.NOT_RUN),
    "TARGET_LOST unknown": Refusal(Code.TARGET_LOST, "", Ran.OUTCOME_UNKNOWN),
    "a failure retried below": Response(503, ((RETRIES_LEFT_HEADER, b"0"),), b""),
}


def _result(text):
    if text.startswith("status "):
        return Response(int(text.split()[1]), (), b"")
    return _RESULTS[text]


def _descend(level, headers, calls, token):
    """Make a call at a level of the chain; the last one always fails."""
    if level == 0:
        calls.append(1)
        return Response(503, (), b"")
    left = read_retries_left(headers) if token else 1
    budget = ShareBudget(_ROOMY_SHARE)
    for _ in range(3):
        budget.record_call()
    while True:
        if len(calls) > 200:
            return Response(503, (), b"")
        passed = ((RETRIES_LEFT_HEADER, b"%d" % left),) if token else ()
        result = _descend(level - 1, passed, calls, token)
        if not decide_retry(result, RetryContext(True, left, 1e9, 1.0), budget).retry:
            marks = (
                ((RETRIES_LEFT_HEADER, b"%d" % retries_left_after(result, left)),) if token else ()
            )
            return Response(503, marks, b"")
        left -= 1


@when("a call goes down {levels:d} levels to a service that always fails")
def go_down(context, levels):
    context.levels = levels
    context.calls = []
    _descend(levels, (), context.calls, token=True)


@then("the lowest service is called at most twice")
def check_calls(context):
    assert 1 <= len(context.calls) <= 2, len(context.calls)


@step("without the token that travels with the call it is called more than {count:d} times")
def check_without_token(context, count):
    calls = []
    _descend(context.levels, (), calls, token=False)
    assert len(calls) > count, len(calls)


@when("{count:d} lookups fail one after another with a retry share of {share:g}")
def fail_lookups(context, count, share):
    budget = ShareBudget(share)
    context.retried = 0
    for _ in range(count):
        budget.record_call()
        verdict = decide_retry(Response(503, (), b""), RetryContext(True, 1, 1e9, 1.0), budget)
        context.retried += verdict.retry


@then("at most {count:d} of them are retried")
def check_retried(context, count):
    assert 1 <= context.retried <= count, context.retried


@when("{method:w} ends with {result}")
def end_call(context, method, result):
    tried = RetryContext(is_idempotent(method), 1, 1e9, 1.0)
    context.verdict = decide_retry(_result(result), tried, ShareBudget(_ROOMY_SHARE))


@when("GET fails with {left:g} ms left where an answer takes {needed:g} ms")
def fail_late(context, left, needed):
    tried = RetryContext(True, 1, left, needed)
    context.verdict = decide_retry(Response(503, (), b""), tried, ShareBudget(_ROOMY_SHARE))


@then("it is tried again")
def check_tried_again(context):
    assert context.verdict.retry, context.verdict


@then("it is not tried again")
def check_not_tried_again(context):
    assert not context.verdict.retry, context.verdict


@when("an order is sent that its target works on beyond the deadline")
def send_long_order(context):
    context.simulation = Simulation()
    context.simulation.call(0.0, 500, deadline_ms=100, method="POST")
    context.played = context.simulation.run()


@then("the targets have run it once and its outcome is OUTCOME_UNKNOWN")
def check_order(context):
    assert sum(context.played.runs) == 1, context.played.runs
    (exchange,) = context.simulation.exchanges
    assert exchange.result.ran is Ran.OUTCOME_UNKNOWN, exchange.result


@when("a pattern with spills, retries and hedges is played")
def play_all_kinds(context):
    simulation = PATTERNS["neighbour"](1)
    simulation.at(1.0, lambda: setattr(simulation.targets[0], "failing", True))
    context.attempts = []
    for target in simulation.targets:
        target.call = _recording(target.call, context.attempts)
    context.played = simulation.run()


def _recording(call, attempts):
    def record(message, on_done):
        attempts.append(message.attempt)
        return call(message, on_done)

    return record


@then("no two attempts had the same id")
def check_attempts(context):
    counts = context.played.counts
    assert counts["spills"] and counts["retries"] and counts["hedges"], counts
    assert len(context.attempts) > counts["calls"]
    assert len(set(context.attempts)) == len(context.attempts)


def _health(answers=20):
    health = OutlierDetector(random.Random(7))
    for name in _TARGETS:
        for turn in range(answers):
            health.record(name, False, _TARGETS, turn * 0.01)
    return health


@when("target t0 of six fails three times in a row")
def fail_three_times(context):
    context.health = _health()
    context.now = 10.0
    verdicts = [context.health.record("t0", True, _TARGETS, context.now) for _ in range(3)]
    assert verdicts == [False, False, True], verdicts


@then("it is ejected for {least:g} to {most:g} seconds")
def check_ejected(context, least, most):
    assert context.health.check_ejected("t0", context.now + least - 0.01)
    context.now += most + 0.01
    assert not context.health.check_ejected("t0", context.now)


@then("after that it carries a tenth of its weight at first")
def check_return(context):
    assert context.health.return_share("t0", context.now) < 0.15
    assert context.health.return_share("t0", context.now + 5.1) == 1.0


@then("one more failure ejects it for {least:g} to {most:g} seconds")
def check_ejected_longer(context, least, most):
    assert context.health.record("t0", True, _TARGETS, context.now)
    check_ejected(context, least, most)


@when("five of six targets fail one after another")
def fail_five(context):
    context.health = _health()
    for turn, name in enumerate(_TARGETS[:5]):
        for _ in range(4):
            context.health.record(name, True, _TARGETS, 10.0 + turn * 0.01)


@when("all six targets fail by turns")
def fail_all(context):
    context.health = _health()
    for turn in range(60):
        context.health.record(_TARGETS[turn % 6], True, _TARGETS, 10.0 + turn * 0.001)


@then("{count:d} of them are ejected")
def check_count_ejected(context, count):
    ejected = [name for name in _TARGETS if context.health.check_ejected(name, 10.5)]
    assert len(ejected) == count, ejected


@when("a target gives {result}")
def give_result(context, result):
    context.blames = is_target_fault(_result(result))


@then("it does speak against it")
def check_blames(context):
    assert context.blames


@then("it does not speak against it")
def check_blames_not(context):
    assert not context.blames


@when("a report of {count:d} calls arrives and then one made {earlier:d} ms earlier that says 0")
def arrive_late(context, count, earlier):
    context.view = LoadView()
    context.view.record_report(LoadReport(count, 0, 10, 5.0, at_ms=50_000), 100.0)
    context.view.record_report(LoadReport(0, 0, 10, 5.0, at_ms=50_000 - earlier), 100.1)


@then("the view still says {count:d}")
def check_view(context, count):
    assert context.view.others_in_flight == count


@when("a first report arrives in 1 ms and a second one is {delay:d} ms on its way")
def arrive_delayed(context, delay):
    context.view = LoadView()
    context.view.record_report(LoadReport(1, 0, 10, 5.0, at_ms=50_000), 100.001)
    context.view.record_report(LoadReport(1, 0, 10, 5.0, at_ms=51_000), 101.0 + delay / 1000)


@then("the second one's age is about {age:d} ms")
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


def _members(prefix, count):
    return [
        Member(f"{prefix}{i}", 1, 0, MemberState.ALIVE, "x", "a", f"fd-{i % 12}", None)
        for i in range(count)
    ]


@when("{entries:d} entry nodes choose their subsets of {targets:d} targets")
def choose_subsets(context, entries, targets):
    context.members = _members("t", targets)
    context.size = subset_size(20, targets, entries, 250)
    context.entries = _members("e", entries)
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


@then("a target that leaves changes only the subsets that held it")
def check_change(context):
    left = context.members[5].node
    rest = [member for member in context.members if member.node != left]
    after = _choose(context.entries, rest, context.size)
    changed = {entry for entry in after if after[entry] != context.subsets[entry]}
    assert changed == {entry for entry, held in context.subsets.items() if left in held}


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
    sensing = ProbeScheduler(_SETTINGS, random.Random(3), 100.0)
    now = 100.0
    numbers = []
    for kind, pause in events:
        now += pause
        if kind == "call":
            probe = sensing.next_probe(_CANDIDATES, now)
            numbers += [probe.number] if probe else []
        elif kind == "asked":
            sensing.charge_answer(now)
        elif numbers:
            sensing.match_answer(numbers.pop())
        spent = (sensing.sent + sensing.answered) * PROBE_BYTES
        assert spent <= 960 + 960 * (now - 100.0) + 1
        work = (sensing.sent + sensing.answered) * PROBE_MICROSECONDS
        assert work <= 2_000 * (1 + now - 100.0) + 1
        assert sensing.pending <= len(_TARGETS)
    return sensing


@then("for any run of calls, probes and silences the bytes and processor time stay in the budget")
def check_budget(context):
    check = settings(max_examples=200, derandomize=True, deadline=None)(_check_probes)
    given(_EVENTS)(check)()
    flood = _run_probes([("asked", 0.0)] * 300)
    assert flood.denied > 0


@step("a budget that is not enforced is caught by the assertion in the program")
def check_assertion(context):
    bucket = "camphorshelf_core.sensing.TokenBucket.available"
    with mock.patch(bucket, lambda self, now: float("inf")):
        try:
            sensing = ProbeScheduler(_SETTINGS, random.Random(3), 100.0)
            for _ in range(300):
                sensing.charge_answer(100.0)
        except AssertionError as error:
            assert "probes exceeded" in str(error)
        else:
            raise AssertionError("the program did not notice")
