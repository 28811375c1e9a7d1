"""Steps that stop and start hosts, nodes and the platform, and check the roster."""

import re
import signal

from behave import given, step, then, when

from standins.caller import call
from standins.deployment import Deployment, NodePlan


def _gauge(context, name, gauge):
    text = call(context.deployment.nodes[name].admin, "GET", "admin", "/metrics").body.decode()
    return float(re.search(rf"^camphorshelf_{gauge}\S* (\S+)$", text, re.MULTILINE).group(1))


def _ready(context, name):
    return call(context.deployment.nodes[name].admin, "GET", "admin", "/readyz").status == 200


@given("nodes {one} with {service} and {other} with {second} that know each other")
def start_two(context, one, service, other, second):
    plans = [NodePlan(one, service, "fd-a"), NodePlan(other, second, "fd-b")]
    deployment = Deployment(plans)
    context.add_cleanup(deployment.close)
    context.deployment = deployment
    for name in (one, other):
        for wanted in (service, second):
            deployment.wait_served(name, wanted)
        deployment.wait_until(lambda name=name: _gauge(context, name, "roster_members") == 2)


@when("the platform fails")
def fail_platform(context):
    context.deployment.set_faults(refuse=True)


@when("the platform is back")
def restore_platform(context):
    context.deployment.set_faults()


@step("node {name} starts with {one} and {other} as contacts")
def start_with_contacts(context, name, one, other):
    nodes = context.deployment.nodes
    contacts = [nodes[one].peers, nodes[other].peers]
    plan = NodePlan(name, settings={"roster": {"contacts": contacts}})
    context.deployment.add(plan)


@when("node {name} starts without contacts")
def start_alone(context, name):
    context.deployment.add(NodePlan(name))


@when("host {name} fails")
def kill_host(context, name):
    for process in (f"node-{name}", f"target-{name}"):
        context.deployment.signal(process, signal.SIGKILL)
        context.deployment.wait_end(process)


@when("host {name} is replaced by one with {service}")
def replace_host(context, name, service):
    context.deployment.replace(name, service)


@when("{count:d} lookups of {service} are made through {name}")
def make_lookups(context, count, service, name):
    address = context.deployment.nodes[name].callers
    for number in range(count):
        assert call(address, "GET", service, f"/{number}").status == 200


@then("{count:d} lookups of {service} through {name} are answered at once, some served")
def check_lookups(context, count, service, name):
    address = context.deployment.nodes[name].callers
    answers = [call(address, "GET", service, f"/{number}") for number in range(count)]
    assert any(answer.status == 200 for answer in answers)
    # A refusal says whether the call ran; code 301 would mean that it waited for its deadline.
    refused = [answer for answer in answers if answer.status != 200]
    assert all(answer.headers["camphorshelf-code"] != "301" for answer in refused), refused


@then("{name} counts {count:d} members in use within {seconds:d} seconds")
def check_members(context, name, count, seconds):
    context.deployment.wait_until(lambda: _gauge(context, name, "roster_members") == count, seconds)


@then("a lookup of {service} through {name} is served")
def check_served(context, service, name):
    context.deployment.wait_served(name, service)


@then("a lookup of {service} through {name} is refused")
def check_not_served(context, service, name):
    address = context.deployment.nodes[name].callers
    assert call(address, "GET", service, "/").headers["camphorshelf-ran"] == "NOT_RUN"


@then("node {name} reports that it is ready")
def check_ready(context, name):
    context.deployment.wait_until(lambda: _ready(context, name))


@then("node {name} reports that it is not ready")
def check_not_ready(context, name):
    assert not _ready(context, name)


@then("the platform has received at most {count:d} writes")
def check_writes(context, count):
    assert context.deployment.counts()["writes"] <= count
