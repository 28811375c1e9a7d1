"""Shared fixtures of the features."""

from behave import fixture, use_fixture

from standins.deployment import Deployment, NodePlan

_SMALL = (
    NodePlan("a1", "counter", "fd-a"),
    NodePlan("b1", "counter", "fd-b"),
    NodePlan("c1", "orders", "fd-c"),
)


_EDGE = (
    NodePlan("a1", "counter", "fd-a"),
    NodePlan("b1", "counter", "fd-b", settings={"limits": {"caller_connections": 5}}),
    NodePlan("c1", "orders", "fd-c", slots=1),
)


@fixture
def edge_deployment(context):
    """The same with one slot for ``orders`` and a node that takes few callers."""
    deployment = Deployment(_EDGE)
    context.add_cleanup(deployment.close)
    for name in ("a1", "b1", "c1"):
        for service in ("counter", "orders"):
            deployment.wait_served(name, service)
    context.deployment = deployment
    return deployment


@fixture
def small_deployment(context):
    """Three nodes: two targets of ``counter`` and one of ``orders``."""
    deployment = Deployment(_SMALL)
    context.add_cleanup(deployment.close)
    for name in ("a1", "b1", "c1"):
        for service in ("counter", "orders"):
            deployment.wait_served(name, service)
    context.deployment = deployment
    return deployment


def before_tag(context, tag):
    """Set up the fixture that a tag names."""
    if tag == "fixture.edge_deployment":
        use_fixture(edge_deployment, context)
    if tag == "fixture.small_deployment":
        use_fixture(small_deployment, context)
