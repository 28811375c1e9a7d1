"""Steps that let many nodes spend the retry budget of one service."""

import random

from behave import given, then, when

from camphorshelf_core.retrybudget import RetryBudget, RetryLimits

_LIMITS = RetryLimits(ratio=0.2, slack=60, window_s=10)
_DURATION_SECONDS = 40


@given("{nodes:d} nodes that each take {rate:d} requests a second for 40 s")
def nodes_and_rate(context, nodes, rate):
    context.budgets = [RetryBudget(_LIMITS, random.Random(node), 0.0) for node in range(nodes)]
    for budget in context.budgets:
        budget.set_node_count(nodes)
    context.rate = rate
    context.granted = []
    context.requests = []


def _simulate(context, asks_for_retry):
    for step in range(_DURATION_SECONDS * context.rate):
        now = step / context.rate
        for budget in context.budgets:
            budget.record_request(now)
            context.requests.append(now)
            if asks_for_retry(now) and budget.spend(now):
                context.granted.append(now)


@when("every request asks for a retry")
def all_ask(context):
    _simulate(context, lambda now: True)


@when("every request asks for a retry after 30 s")
def all_ask_late(context):
    _simulate(context, lambda now: now >= 30)


@when("one request asks for a retry after 10 s")
def one_asks(context):
    _simulate(context, lambda now: False)
    context.granted = [context.budgets[0].spend(10.0)]


@then("twice the retries of any 10 s stay within 0.2 of the requests and 60 more")
def within_limits(context):
    for start in range(_DURATION_SECONDS - 10 + 1):
        inside = [at for at in context.granted if start <= at < start + 10]
        sent = [at for at in context.requests if start <= at < start + 10]
        allowed = 0.2 * len(sent) + 60
        assert 2 * len(inside) <= allowed, (start, len(inside), allowed)


@when("every request asks for a rerun of {calls:d} calls, where requests make {mean:f} on average")
def all_ask_for_reruns(context, calls, mean):
    """Simulate the reruns. Requests refused before any call count as zero in the average."""
    context.reruns = []
    context.calls_of_rerun = calls
    context.calls_of_request = mean
    for step in range(_DURATION_SECONDS * context.rate):
        now = step / context.rate
        for budget in context.budgets:
            budget.record_request(now)
            if budget.spend(now, is_rerun=True):
                context.reruns.append(now)


@when("every call asks for a retry")
def all_calls_ask(context):
    nodes = len(context.budgets)
    nodes_and_rate(context, nodes, round(context.rate * context.calls_of_request))
    _simulate(context, lambda now: True)


@then("the repeats of any 10 s stay within 0.2 of the calls and 60 more")
def repeats_within_limits(context):
    for start in range(_DURATION_SECONDS - 10 + 1):
        runs, retries, calls = (
            sum(start <= at < start + 10 for at in times)
            for times in (context.reruns, context.granted, context.requests)
        )
        repeats = runs * context.calls_of_rerun + retries
        assert repeats <= 0.2 * calls + 60, (start, repeats, calls)


@then("at least {share:f} of the requests are granted a retry")
def granted_share(context, share):
    assert len(context.granted) >= share * len(context.requests)


@then("it is granted")
def granted(context):
    assert context.granted == [True]
