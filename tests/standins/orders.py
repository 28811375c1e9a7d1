"""Sends orders with keys or tickets and checks each NOT_RUN against the runs of the targets."""

import signal

from standins.caller import call

TARGETS = ("c1", "d1")


def send_order(context, key, node, query="", headers=(), body=b"order"):
    """Send an order with a key, record the answer and return it."""
    before = count_runs(context, key)
    address = context.deployment.nodes[node].callers
    keyed = (("Idempotency-Key", key), *headers)
    answer = call(address, "POST", "orders", f"/orders?key={key}{query}", keyed, body)
    record_answer(context, answer, before)
    return answer


def record_answer(context, answer, runs_before):
    """Store an answer in the context; check that it says NOT_RUN only if nothing had run.

    :param context: behave's context.
    :param answer: the :class:`~standins.caller.Response`.
    :param runs_before: how often the key had run before the order was sent.
    :return: None.
    """
    context.answer = answer
    context.answers = [*getattr(context, "answers", ()), answer]
    reused = answer.headers.get("camphorshelf-code") == "242"
    if answer.headers.get("camphorshelf-ran") == "NOT_RUN" and not reused:
        assert runs_before == 0, "the answer says NOT_RUN, but the key had run"


def count_runs(context, key):
    """Return how often a key has run at the targets of orders that are up."""
    total = 0
    for name in TARGETS:
        try:
            total += context.deployment.runs(name).get(key, 0)
        except OSError:
            continue
    return total


def end_process(context, process):
    """Kill a process and wait until it has ended."""
    context.deployment.signal(process, signal.SIGKILL)
    context.deployment.wait_end(process)
