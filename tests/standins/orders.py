"""Orders sent under keys and tickets, with each NOT_RUN compared with what had run."""

import signal

from standins.caller import call

TARGETS = ("c1", "d1")


def send_order(context, key, node, query="", headers=(), body=b"order"):
    """Send an order under a key, keep its answer and what had run when it came."""
    before = count_runs(context, key)
    address = context.deployment.nodes[node].callers
    keyed = (("Idempotency-Key", key), *headers)
    answer = call(address, "POST", "orders", f"/orders?key={key}{query}", keyed, body)
    note_answer(context, answer, before)
    return answer


def note_answer(context, answer, runs_before):
    """Keep an answer, and check at once that a NOT_RUN is true."""
    context.answer = answer
    context.answers = [*getattr(context, "answers", ()), answer]
    reused = answer.headers.get("camphorshelf-code") == "242"
    if answer.headers.get("camphorshelf-ran") == "NOT_RUN" and not reused:
        assert runs_before == 0, "told NOT_RUN of a key that had run"


def count_runs(context, key):
    """Count a key's runs at all targets of orders that are still up."""
    total = 0
    for name in TARGETS:
        try:
            total += context.deployment.runs(name).get(key, 0)
        except OSError:
            continue
    return total


def end_process(context, process):
    """Kill a process and wait until it is gone."""
    context.deployment.signal(process, signal.SIGKILL)
    context.deployment.wait_end(process)
