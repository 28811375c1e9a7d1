"""Steps that simulate load patterns with the entry node's decisions."""

from behave import step, then, when

from standins.patterns import PATTERNS

_SEEDS = (1, 2, 3)


@when("the load pattern {pattern} is simulated")
def simulate_pattern(context, pattern):
    context.pattern = pattern
    context.outcomes = _simulate(pattern)


@then("{measure} stays {side:w} {bound:g}")
def check_bound(context, measure, side, bound):
    context.check = (measure, side, bound)
    context.value = _median(context.outcomes, measure)
    assert _is_within(context.value, side, bound), f"{measure} is {context.value}"


@step("with {setting:S} {value:S} it does not")
def check_without(context, setting, value):
    value = value if setting == "policy" else float(value)
    value = int(value) if setting == "spill_attempts" else value
    measure, side, bound = context.check
    value_without = _median(_simulate(context.pattern, **{setting: value}), measure)
    assert not _is_within(
        value_without, side, bound
    ), f"{measure} is {value_without}, as good as {context.value}"


def _simulate(pattern, **entry):
    return [PATTERNS[pattern](seed, **entry).run() for seed in _SEEDS]


def _median(outcomes, measure):
    read_measure = _MEASURES.get(measure, lambda result: getattr(result, measure))
    return sorted(map(read_measure, outcomes))[len(outcomes) // 2]


def _is_within(value, side, bound):
    return value < bound if side == "below" else value > bound


def _count_messages(result):
    extra = sum(result.counts[name] for name in ("spills", "retries", "hedges"))
    return 1 + extra / result.counts["calls"]


_MEASURES = {
    "messages": _count_messages,
    "failing_share": lambda result: result.runs[0] / sum(result.runs),
}
