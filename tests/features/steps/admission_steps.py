"""Steps that simulate loads against an admission gate and check the outcomes of the calls."""

import random

from behave import given, then, when

from camphorshelf_core.admission import POLICIES, CallClass, Gate, PendingCall
from camphorshelf_core.errors import Code
from standins.gate_histories import run_histories
from standins.gate_play import Call, GatePlay, percentile, poisson, served

_OURS = POLICIES["ours"]
_FIFO = POLICIES["fifo"]


def simulate(context, parts, **options):
    context.previous_outcomes = getattr(context, "outcomes", [])
    context.outcomes = GatePlay(parts, cores=context.cores, **options).play(context.calls)


def answer_times(outcomes):
    return [one.seconds for one in served(outcomes)]


def set_load(context, calls, cores=None):
    context.calls = calls
    context.cores = cores


@given("a burst of {count:d} lookups of {ms:d} ms")
def burst(context, count, ms):
    set_load(context, [Call(0.0, f"c{number}", ms / 1000) for number in range(count)])


@given("a skewed load of one heavy caller and 20 light ones")
def skewed_load(context):
    heavy = poisson(3800, 1.0, 1, caller="heavy")
    light = poisson(200, 1.0, 2, caller=lambda source: f"light{source.randrange(20)}")
    set_load(context, heavy + light)


@given("equal floods by a team of 50 callers and by a team of one")
def team_floods(context):
    many = poisson(2000, 1.0, 1, caller=lambda source: f"m{source.randrange(50)}", team="many")
    one = poisson(2000, 1.0, 2, caller="one", team="one")
    set_load(context, many + one)


@given("reports of 200 ms among lookups of 2 ms")
def mixed_lengths(context):
    reports = poisson(
        100,
        2.0,
        1,
        caller=lambda source: f"l{source.randrange(3)}",
        work=0.2,
        deadline=2.0,
        kind="reports",
    )
    lookups = poisson(
        400, 2.0, 2, caller=lambda source: f"s{source.randrange(10)}", work=0.002, deadline=0.1
    )
    set_load(context, reports + lookups)


def two_classes(lookup_rate, reorder_rate):
    lookups = poisson(lookup_rate, 1.0, 1, caller=lambda source: f"c{source.randrange(50)}")
    reorders = poisson(
        reorder_rate,
        1.0,
        2,
        caller=lambda source: f"r{source.randrange(50)}",
        call_class=CallClass.REORDER,
        deadline=5.0,
        kind="reorders",
    )
    return lookups + reorders


@given("a flood of reorders beside lookups")
def reorder_flood(context):
    set_load(context, two_classes(1000, 4000))


@given("a flood of lookups beside reorders")
def lookup_flood(context):
    set_load(context, two_classes(4000, 1000))


@given("a load of twice the capacity")
def overload(context):
    set_load(context, poisson(4000, 2.0, 1, caller=lambda source: f"c{source.randrange(50)}"))


@given("a load of twice the capacity with a deadline of {ms:d} ms")
def overload_with_deadline(context, ms):
    callers = lambda source: f"c{source.randrange(50)}"  # noqa: E731
    set_load(context, poisson(4000, 2.0, 1, caller=callers, deadline=ms / 1000))


@given("calls of 500 ms and then calls of 5 ms with a deadline of 100 ms")
def slow_period(context):
    slow = [Call(number * 0.05, work=0.5) for number in range(100)]
    fast = [Call(10 + number * 0.01, work=0.005, deadline=0.1) for number in range(40)]
    set_load(context, slow + fast)


@given("another process that uses 7 of 10 cores for two seconds")
def cpu_contention(context):
    calls = poisson(600, 5.0, 1, caller=lambda source: f"c{source.randrange(50)}", work=0.01)
    set_load(context, calls, lambda now: 3 if 1 <= now < 3 else 10)


@given("a target that waits three times as long for a slow store")
def slow_store(context):
    callers = lambda source: f"c{source.randrange(50)}"  # noqa: E731
    usual = poisson(900, 1.0, 1, caller=callers, work=0.01)
    slow = poisson(900, 3.0, 2, caller=callers, work=0.03)
    later = [call._replace(at=call.at + 1) for call in slow]
    set_load(context, usual + later, lambda now: 1000)


@given("a gate with 10 slots")
def plain_gate(context):
    context.gate = Gate(10, random.Random(1))


@when("it is simulated with our policy")
def simulate_ours(context):
    simulate(context, _OURS)


@when("it is simulated with the baseline policy")
def simulate_baseline(context):
    simulate(context, _FIFO)


@when("it is simulated with the {part} replaced by the baseline")
def simulate_replaced(context, part):
    simulate(context, _OURS._replace(**{part: getattr(_FIFO, part)}))


@when("it is simulated with our policy and weight {weight:d} for the team of one")
def simulate_weighted(context, weight):
    simulate(context, _OURS, team_weights={"one": weight})


@when("it is simulated with our policy and refused calls are retried after their Retry-After")
def simulate_retries(context):
    target = GatePlay(_OURS)
    first = target.play(context.calls)
    retries = [
        one.call._replace(at=one.at + one.retry_after_ms / 1000)
        for one in first
        if one.code is not None
    ]
    target.outcomes = []
    context.retried = target.play(retries)


@when("the target sheds load in two windows")
def shed_twice(context):
    context.gate.record_shed(1.0)
    context.gate.record_shed(1.05)
    context.gate.record_shed(1.2)


@when("{count:d} random histories of a gate are run")
def run_random_histories(context, count):
    run_histories(count)


@when("a call releases its slot twice")
def finish_twice(context):
    ticket = PendingCall(1.0, lambda: None, lambda refusal: None)
    context.gate.offer(ticket, 0.0)
    context.gate.finish(ticket, 0.1)
    context.gate.finish(ticket, 0.2)


@then("{count:d} calls are served and {refused:d} are refused on arrival")
def check_burst(context, count, refused):
    assert len(served(context.outcomes)) == count
    refused_on_arrival = [
        one for one in context.outcomes if one.code is not None and one.seconds == 0
    ]
    assert len(refused_on_arrival) == refused, len(refused_on_arrival)


@then("at least {count:d} fewer calls are served")
def check_fewer(context, count):
    assert len(served(context.outcomes)) + count <= len(served(context.previous_outcomes))


def light_calls(outcomes):
    return [one for one in outcomes if one.call.caller != "heavy"]


@then("every call of the light callers is served, 99 in 100 within {ms:d} ms")
def check_light(context, ms):
    outcomes = light_calls(context.outcomes)
    assert len(served(outcomes)) == len(outcomes)
    assert percentile(answer_times(outcomes), 0.99) <= ms / 1000


@then("at least a third of the calls of the light callers is refused")
def check_light_refused(context):
    outcomes = light_calls(context.outcomes)
    assert len(served(outcomes)) * 3 <= len(outcomes) * 2, len(served(outcomes))


def count_by_team(outcomes):
    return [sum(one.call.team == team for one in served(outcomes)) for team in ("many", "one")]


@then("both teams are served equally within {part:d} in 100")
def check_teams(context, part):
    many, one = count_by_team(context.outcomes)
    assert abs(many - one) * 100 <= part * (many + one), (many, one)


@then("the team of one is served between {low:d} and {high:d} times as often")
def check_weights(context, low, high):
    many, one = count_by_team(context.outcomes)
    assert low * many <= one <= high * many, (many, one)


def lookups(outcomes):
    return [one for one in outcomes if one.call.kind == "tags"]


@then("at least {part:d} in 100 lookups are served, 99 in 100 of them within {ms:d} ms")
def check_lookups(context, part, ms):
    outcomes = lookups(context.outcomes)
    assert len(served(outcomes)) * 100 >= part * len(outcomes), len(served(outcomes))
    assert percentile(answer_times(outcomes), 0.99) <= ms / 1000, percentile(
        answer_times(outcomes), 0.99
    )


@then("fewer than {part:d} in 100 lookups are served")
def check_lookups_baseline(context, part):
    outcomes = lookups(context.outcomes)
    assert len(served(outcomes)) * 100 < part * len(outcomes), len(served(outcomes))


@then("between {low:d} and {high:d} in 100 of the calls served are reorders")
def check_reorders(context, low, high):
    done = served(context.outcomes)
    reorders = sum(one.call.kind == "reorders" for one in done)
    assert low * len(done) <= reorders * 100 <= high * len(done), (reorders, len(done))


@then("no reorder waited longer than {ms:d} ms for its answer")
def check_reorder_times(context, ms):
    reorders = [one for one in context.outcomes if one.call.kind == "reorders"]
    assert max(one.seconds for one in reorders) <= ms / 1000


@then("the target is never idle and 99 in 100 answers come within {ms:d} ms")
def check_answer_times(context, ms):
    check_busy(context)
    assert percentile(answer_times(context.outcomes), 0.99) <= ms / 1000


@then("the 99th percentile of answer times is at least {ms:d} ms")
def check_answer_times_baseline(context, ms):
    assert percentile(answer_times(context.outcomes), 0.99) >= ms / 1000


@then("the target is never idle and every answer is in time")
def check_in_time(context):
    check_busy(context)
    assert all(one.seconds <= one.call.deadline for one in served(context.outcomes))


def check_busy(context):
    done = len(served(context.outcomes))
    fits = 2.0 * 10 / 0.005
    assert done >= 0.97 * fits, done


@then("at least {part:d} in 100 answers are late")
def check_late(context, part):
    done = served(context.outcomes)
    late = sum(one.seconds > one.call.deadline for one in done)
    assert late * 100 >= part * len(done), (late, len(done))


@then("the last {count:d} calls are served")
def check_last(context, count):
    last = sorted(context.outcomes, key=lambda one: one.call.at)[-count:]
    assert len(served(last)) == count, [one.code for one in last]


def answer_times_in_contention(context):
    return answer_times([one for one in context.outcomes if 1.3 <= one.call.at < 3])


@then("during the contention 99 in 100 answers come within {ms:d} ms")
def check_contention(context, ms):
    assert percentile(answer_times_in_contention(context), 0.99) <= ms / 1000


@then("during the contention the 99th percentile of answer times is at least {ms:d} ms")
def check_contention_baseline(context, ms):
    assert percentile(answer_times_in_contention(context), 0.99) >= ms / 1000


@then("a second after the contention ends every call is served again")
def check_recovery(context):
    assert all(one.code is None for one in context.outcomes if one.call.at >= 4)


@then("it serves at least 9 in 10 of the calls that the baseline serves")
def check_slow_store(context):
    simulate(context, _OURS._replace(limit=_FIFO.limit))
    ours, baseline = len(served(context.previous_outcomes)), len(served(context.outcomes))
    assert ours * 10 >= baseline * 9, (ours, baseline)


@then("at most {count:d} calls run at once")
def check_limit(context, count):
    assert context.gate.limit <= count, context.gate.limit


@then("after {windows:d} windows without it {count:d} calls run at once")
def check_limit_recovers(context, windows, count):
    now = 2.0
    for _ in range(windows * 12):
        ticket = PendingCall(now + 9, lambda: None, lambda refusal: None)
        context.gate.offer(ticket, now)
        now += 0.01
        context.gate.finish(ticket, now)
    assert context.gate.limit == count, context.gate.limit


@then("at most 1 in 10 retried calls is refused again")
def check_retried(context):
    refused_again = len(context.retried) - len(served(context.retried))
    assert len(context.retried) == 150
    assert refused_again * 10 <= len(context.retried), refused_again


@then("the next call is refused with code {name}")
def check_gate_broken(context, name):
    refusals = []
    context.gate.offer(PendingCall(9.0, refusals.clear, refusals.append), 0.3)
    assert [refusal.code for refusal in refusals] == [Code[name]], refusals
