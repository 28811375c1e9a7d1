"""Steps that simulate hosts and check the order in which they are ranked."""

from behave import given, then

from camphorshelf_core.placement import rank_targets
from standins.hosts import make_status, make_view

_NOW = 100.0


@given('work of {work:d} ms with an objective of {objective:d} ms, requested in domain "{domain}"')
def give_work(context, work, objective, domain):
    context.work_s = work / 1000
    context.objective_s = objective / 1000
    context.domain = domain
    context.views = {}


@given(
    'target "{name}" in domain "{domain}" with {running:d} of {limit:d} running'
    " and slowness {slowness:f}"
)
def add_target(context, name, domain, running, limit, slowness):
    status = make_status(
        name, domain=domain, running=running, limit=limit, slowness=slowness, work_s=0.1
    )
    context.views[name] = make_view(status, _NOW - 0.03)


@given('{count:d} requests were sent to "{name}" since its last status')
def add_unreported_requests(context, count, name):
    context.views[name].requests_since_status = count


def _change_status(context, name, **changes):
    view = context.views[name]
    view.status = view.status._replace(**changes)


@given('requests at "{name}" take {milliseconds:d} ms on average')
def set_response_time(context, name, milliseconds):
    _change_status(context, name, work_s=milliseconds / 1000)


@given('"{name}" failed {share:f} of its requests')
def set_failure_ratio(context, name, share):
    _change_status(context, name, failure_ratio=share)


@given('"{name}" was last heard {seconds:f} s ago')
def set_silent(context, name, seconds):
    context.views[name].heard_at = _NOW - seconds


@given('"{name}" is warming for {seconds:d} s')
def set_warming(context, name, seconds):
    _change_status(context, name, warming_s=float(seconds))


def _rank(context):
    views = list(context.views.values())
    return rank_targets(views, context.work_s, _NOW, context.domain, context.objective_s)


def _order(context):
    return [one.address for one in _rank(context)]


@then('the order is "{names}"')
def check_order(context, names):
    assert _order(context) == names.split(", "), _order(context)


@then('the first target is not "{name}"')
def check_first_is_not(context, name):
    assert _order(context)[0] != name, _order(context)


@then("each is expected to answer within {milliseconds:d} ms")
def check_expected_times(context, milliseconds):
    candidates = _rank(context)
    assert all(one.expected_s * 1000 <= milliseconds for one in candidates), candidates
