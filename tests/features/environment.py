"""Shared fixtures of the features."""

from behave import fixture, use_fixture

from standins.deployment import Deployment, NodePlan

_SMALL = (
    NodePlan("a1", "counter", "fd-a"),
    NodePlan("b1", "counter", "fd-b"),
    NodePlan("c1", "orders", "fd-c"),
)


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
    if tag == "fixture.small_deployment":
        use_fixture(small_deployment, context)
