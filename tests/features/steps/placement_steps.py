"""Steps that make up hosts and read the order in which they would be asked."""

from behave import given, then

from camphorshelf_core.placement import rank
from standins.hosts import make_status, make_view

_NOW = 100.0


@given('work of {work:d} ms with an objective of {objective:d} ms, asked for in domain "{domain}"')
def work(context, work, objective, domain):
    context.work_s = work / 1000
    context.objective_s = objective / 1000
    context.domain = domain
    context.views = {}


@given(
    'target "{name}" in domain "{domain}" with {running:d} of {limit:d} running'
    " and slowness {slowness:f}"
)
def target(context, name, domain, running, limit, slowness):
    status = make_status(
        name, domain=domain, running=running, limit=limit, slowness=slowness, work_s=0.1
    )
    context.views[name] = make_view(status, _NOW - 0.03)


@given('{count:d} requests were sent to "{name}" since its last status')
def unseen(context, count, name):
    context.views[name].requests_since_status = count


def _change(context, name, **changes):
    view = context.views[name]
    view.status = view.status._replace(**changes)


@given('requests at "{name}" take {milliseconds:d} ms on average')
def pace(context, name, milliseconds):
    _change(context, name, work_s=milliseconds / 1000)


@given('"{name}" failed {share:f} of its requests')
def failing(context, name, share):
    _change(context, name, failure_ratio=share)


@given('"{name}" was last heard {seconds:f} s ago')
def silent(context, name, seconds):
    context.views[name].heard_at = _NOW - seconds


@given('"{name}" is warming for {seconds:d} s')
def warming(context, name, seconds):
    _change(context, name, warming_s=float(seconds))


def _rank(context):
    views = list(context.views.values())
    return rank(views, context.work_s, _NOW, context.domain, context.objective_s)


def _order(context):
    return [one.address for one in _rank(context)]


@then('the order is "{names}"')
def order_is(context, names):
    assert _order(context) == names.split(", "), _order(context)


@then('the first is not "{name}"')
def first_is_not(context, name):
    assert _order(context)[0] != name, _order(context)


@then("each is expected to answer within {milliseconds:d} ms")
def each_within(context, milliseconds):
    candidates = _rank(context)
    assert all(one.expected_s * 1000 <= milliseconds for one in candidates), candidates
