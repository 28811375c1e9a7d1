"""Runs the real loop of a node in the test's process."""

from circuits import Component

from camphorshelf_node.loop import Loop


class Root(Component):
    """Stands in for the node that owns the loop."""


def start_loop(context):
    """Create a loop and store it in the context.

    :param context: behave's context.
    :return: None.
    """
    context.root = Root()
    context.loop = Loop().register(context.root)
    context.errors = []
    context.loop.on_error = context.errors.append


def run_until(context, condition):
    """Run the loop until the condition holds, for at most 500 checks 10 ms apart."""
    checks_left = 500

    def check():
        nonlocal checks_left
        checks_left -= 1
        if condition() or not checks_left:
            context.root.stop()
        else:
            context.loop.call_later(0.01, check)

    context.loop.call_later(0, check)
    context.root.run()
    assert condition()
