"""Steps that look up routes and choose services by weight."""

import random
from collections import Counter

from behave import given, then, when

from camphorshelf_core.routes import Route, RouteTable, ServicePicker, WeightedService

_SINGLE_SERVICE = (WeightedService("s", 1.0),)


def _route(prefix, weighted_services=_SINGLE_SERVICE, host="h.example"):
    return Route(prefix, host, prefix, True, 2, 1.0, 0.5, 1, weighted_services)


@given('routes "{prefixes}" of host "{host}"')
def routes(context, prefixes, host):
    names = prefixes.replace('"', "").replace(" and ", ", ").split(", ")
    context.routes = RouteTable([_route(name, host=host) for name in names])


@then('a request for "{host}" and "{path}" takes "{name}"')
def takes(context, host, path, name):
    route = context.routes.find(host, path)
    assert (route.name if route else "none") == name, route


def _weighted_services(weights):
    return tuple(
        WeightedService(f"s{number}", float(weight))
        for number, weight in enumerate(weights.split(","))
    )


@given("a route whose services have weights {weights}")
def weighted(context, weights):
    context.route = _route("/w/", _weighted_services(weights))
    context.pickers = {}


@when("the weights become {weights}")
def change_weights(context, weights):
    context.route = _route("/w/", _weighted_services(weights))


@when("{nodes:d} nodes each choose a service for {count:d} requests")
def choose(context, nodes, count):
    context.counts = []
    for number in range(nodes):
        picker = context.pickers.setdefault(number, ServicePicker(random.Random(number)))
        context.counts.append(Counter(picker.pick(context.route) for _ in range(count)))
    context.count = count


def _shares(context):
    total = sum(one.weight for one in context.route.weighted_services)
    return {one.service: one.weight / total for one in context.route.weighted_services}


@then("each service gets its share of all requests within {percent:d} in 100")
def check_total_shares(context, percent):
    total = Counter()
    for counts in context.counts:
        total.update(counts)
    request_count = sum(total.values())
    for service, share in _shares(context).items():
        assert abs(total[service] / request_count - share) <= percent / 100, total


@then("no node gives a service more than {most:d} request beyond its share")
def check_node_shares(context, most):
    for counts in context.counts:
        for service, share in _shares(context).items():
            assert counts[service] <= share * context.count + most, counts
