"""Steps that look up routes and share their requests among parts."""

import random
from collections import Counter

from behave import given, then, when

from camphorshelf_core.routes import Route, RouteTable, ServicePicker, WeightedService

_WHOLE = (WeightedService("s", 1.0),)


def _route(prefix, parts=_WHOLE, host="h.example"):
    return Route(prefix, host, prefix, True, 2, 1.0, 0.5, 1, parts)


@given('routes "{prefixes}" of host "{host}"')
def routes(context, prefixes, host):
    names = prefixes.replace('"', "").replace(" and ", ", ").split(", ")
    context.routes = RouteTable([_route(name, host=host) for name in names])


@then('a request for "{host}" and "{path}" takes "{name}"')
def takes(context, host, path, name):
    route = context.routes.find(host, path)
    assert (route.name if route else "none") == name, route


def _parts(weights):
    return tuple(
        WeightedService(f"s{number}", float(weight))
        for number, weight in enumerate(weights.split(","))
    )


@given("a route whose parts weigh {weights}")
def weighted(context, weights):
    context.route = _route("/w/", _parts(weights))
    context.pickers = {}


@when("the weights become {weights}")
def reweighted(context, weights):
    context.route = _route("/w/", _parts(weights))


@when("{nodes:d} nodes each choose a part for {count:d} requests")
def choose(context, nodes, count):
    context.counts = []
    for number in range(nodes):
        picker = context.pickers.setdefault(number, ServicePicker(random.Random(number)))
        context.counts.append(Counter(picker.pick(context.route) for _ in range(count)))
    context.count = count


def _shares(context):
    total = sum(part.weight for part in context.route.weighted_services)
    return {part.service: part.weight / total for part in context.route.weighted_services}


@then("each part has its share of all within {percent:d} in 100")
def whole_share(context, percent):
    total = Counter()
    for counts in context.counts:
        total.update(counts)
    everything = sum(total.values())
    for service, share in _shares(context).items():
        assert abs(total[service] / everything - share) <= percent / 100, total


@then("no node gives a part more than {most:d} request beyond its share")
def node_share(context, most):
    for counts in context.counts:
        for service, share in _shares(context).items():
            assert counts[service] <= share * context.count + most, counts
