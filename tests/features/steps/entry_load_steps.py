"""Steps that play load patterns over the entry node's decisions."""

from behave import step, then, when

from standins.patterns import PATTERNS

_SEEDS = (1, 2, 3)


@when("the pattern {pattern} is played")
def play_pattern(context, pattern):
    context.pattern = pattern
    context.outcomes = _play(pattern)


@then("{measure} stays {side:w} {bound:g}")
def check_bound(context, measure, side, bound):
    context.check = (measure, side, bound)
    context.value = _middle(context.outcomes, measure)
    assert _holds(context.value, side, bound), f"{measure} is {context.value}"


@step("with {setting:S} {value:S} it does not")
def check_without(context, setting, value):
    value = value if setting == "policy" else float(value)
    value = int(value) if setting == "spill_attempts" else value
    measure, side, bound = context.check
    without = _middle(_play(context.pattern, **{setting: value}), measure)
    assert not _holds(without, side, bound), f"{measure} is {without}, as good as {context.value}"


def _play(pattern, **entry):
    return [PATTERNS[pattern](seed, **entry).run() for seed in _SEEDS]


def _middle(outcomes, measure):
    read = _MEASURES.get(measure, lambda played: getattr(played, measure))
    return sorted(map(read, outcomes))[len(outcomes) // 2]


def _holds(value, side, bound):
    return value < bound if side == "below" else value > bound


def _count_messages(played):
    extra = sum(played.counts[name] for name in ("spills", "retries", "hedges"))
    return 1 + extra / played.counts["calls"]


_MEASURES = {
    "messages": _count_messages,
    "failing_share": lambda played: played.runs[0] / sum(played.runs),
}
