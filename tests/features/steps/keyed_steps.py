"""Steps that send requests with idempotency keys."""

import signal

from behave import given, then, when

from standins.caller import Caller, call, render
from standins.orders import TARGETS, count_runs, end_process, record_answer, send_order


@given("the platform loses the answer of 1 claim")
def lose_claim(context):
    context.deployment.set_faults(lose_answers=1, only="claim/")


@given("the platform loses the answer of 1 claim and 1 read")
def lose_claim_and_read(context):
    context.deployment.set_faults(lose_answers=1, lose_reads=1, only="claim/")


@given("the platform holds {count:d} claims")
def hold_claims(context, count):
    context.deployment.set_faults(hold_writes=count, only="claim/")


@given("the platform holds the answer of 1 claim")
def hold_claim_answer(context):
    context.deployment.set_faults(hold_answers=1, only="claim/")


@given("the table refuses everything")
def refuse_all(context):
    context.deployment.set_faults(refuse=True)


@given("the table works again")
def restore_table(context):
    context.deployment.set_faults()


@given("each answer of the table takes {milliseconds:d} ms")
def slow_table(context, milliseconds):
    context.deployment.set_faults(delay_ms=milliseconds)


@when("order {key:w} is sent to node {node:w}")
@when("order {key:w} is sent to node {node:w} again")
def send_plain(context, key, node):
    send_order(context, key, node)


@when("order {key:w} is sent for the first time to node {node:w}")
def send_first(context, key, node):
    send_order(context, key, node, headers=(("Idempotency-Attempt", "1"),))


@when("order {key:w} working {milliseconds:d} ms is sent to node {node:w}")
def send_working(context, key, milliseconds, node):
    send_order(context, key, node, f"&work_ms={milliseconds}")


@when("order {key:w} that crashes its target is sent to node {node:w}")
def send_crashing(context, key, node):
    send_order(context, key, node, "&fail=crash&work_ms=20")


@when("order {key:w} with another body is sent to node {node:w}")
def send_other_body(context, key, node):
    send_order(context, key, node, body=b"another order")


@when("order {key:w} is sent to node {node:w} with a deadline of {milliseconds:d} ms")
def send_with_deadline(context, key, node, milliseconds):
    send_order(context, key, node, headers=(("Deadline-Ms", str(milliseconds)),))


@when("order {key:w} working {work:d} ms is sent to node {node:w} with a deadline of {limit:d} ms")
def send_working_with_deadline(context, key, work, node, limit):
    headers = (("Deadline-Ms", str(limit)),)
    send_order(context, key, node, f"&work_ms={work}", headers)


@when("order {key:w} is sent to node {node:w} 3 times, with other keys in between")
def send_among_others(context, key, node):
    for number in range(3):
        send_order(context, key, node)
        send_order(context, f"{key}-{number}", node)


@when("order {key:w} working {milliseconds:d} ms is sent to nodes {first:w} and {second:w} at once")
def send_at_once(context, key, milliseconds, first, second):
    callers = [_start(context, key, node, milliseconds) for node in (first, second)]
    for caller in callers:
        record_answer(context, caller.read(), 0)


@when("order {key:w} is started at node {node:w}")
def start_plain(context, key, node):
    context.started = _start(context, key, node, 1)


@when("order {key:w} working {milliseconds:d} ms is started at node {node:w}")
def start_working(context, key, milliseconds, node):
    context.started = _start(context, key, node, milliseconds)


def _start(context, key, node, milliseconds):
    caller = Caller(context.deployment.nodes[node].callers)
    context.add_cleanup(caller.close)
    query = f"&work_ms={milliseconds}" if milliseconds != 1 else ""
    path = f"/orders?key={key}{query}"
    caller.send(render("POST", "orders", path, (("Idempotency-Key", key),), b"order"))
    context.started_key = key
    return caller


@when("it runs")
def wait_running(context):
    key = context.started_key
    context.deployment.wait_until(lambda: count_runs(context, key) == 1)


@when("order {key:w} working {milliseconds:d} ms is sent to node {node:w} when it runs")
def send_when_running(context, key, milliseconds, node):
    wait_running(context)
    send_order(context, key, node, f"&work_ms={milliseconds}")


@when("the started order is answered")
def read_started(context):
    record_answer(context, context.started.read(), 0)


@when("the platform has held {count:d}")
def wait_held(context, count):
    context.deployment.wait_until(lambda: context.deployment.counts()["held"] >= count)


@when("the platform holds {count:d} and releases them")
def release_held(context, count):
    wait_held(context, count)
    context.deployment.release()


@when("the platform releases everything")
def release_all(context):
    context.deployment.release()


@when("{process:S} is killed")
def kill_process(context, process):
    end_process(context, process)


@when("{process:S} gets {name:w}")
def send_signal(context, process, name):
    context.deployment.signal(process, getattr(signal, name))


@when("the node of the running target is killed")
def kill_targets_node(context):
    runs = {name: context.deployment.runs(name) for name in TARGETS}
    (name,) = [name for name in TARGETS if runs[name].get(context.started_key)]
    end_process(context, f"node-{name}")


@when("node {name:w} is restarted")
def restart_node(context, name):
    context.deployment.start_node(name)
    context.deployment.wait_served(name, "orders")


@when("order {key:w} is sent until it is accepted at node {node:w}")
@when("order {key:w} is sent until it is answered at node {node:w}")
def send_until_taken(context, key, node):
    context.deployment.wait_until(lambda: send_order(context, key, node).status == 200)


@when("order {key:w} is sent to node {node:w} until refused with code {code:d}")
def send_until_refused(context, key, node, code):
    def is_refused():
        return send_order(context, key, node).headers.get("camphorshelf-code") == str(code)

    context.deployment.wait_until(is_refused)


@then("all answers are the same, with status {status:d}")
def check_same(context, status):
    answers = {(answer.status, answer.body) for answer in context.answers}
    assert len(answers) == 1, context.answers
    assert context.answer.status == status, context.answer


@then("the last two answers are the same, with status {status:d}")
def check_last_two(context, status):
    first, second = context.answers[-2:]
    assert first.status == second.status == status, (first, second)
    assert first.body == second.body, (first, second)


@then("it is answered with status {status:d}")
def check_status(context, status):
    assert context.answer.status == status, context.answer


@then("it is refused with code {code:d} and {ran:w}")
def check_refused(context, code, ran):
    headers = context.answer.headers
    assert headers.get("camphorshelf-code") == str(code), context.answer
    assert headers["camphorshelf-ran"] == ran, context.answer


@then("it is refused with code {code:d} and {ran:w} and a time to retry")
def check_refused_for_now(context, code, ran):
    check_refused(context, code, ran)
    assert int(context.answer.headers["retry-after-ms"]) > 0


@then("it is refused as OUTCOME_UNKNOWN with code {first:d} or {second:d}")
def check_unknown_codes(context, first, second):
    check_unknown(context)
    assert int(context.answer.headers["camphorshelf-code"]) in (first, second), context.answer


@then("it is refused as OUTCOME_UNKNOWN")
def check_unknown(context):
    assert context.answer.headers.get("camphorshelf-ran") == "OUTCOME_UNKNOWN", context.answer


@then("order {key:w} has run {count:d} time")
@then("order {key:w} has run {count:d} times")
def check_run_count(context, key, count):
    assert count_runs(context, key) == count, count_runs(context, key)


@then("order {key:w} has run at most 1 time")
def check_at_most_once(context, key):
    assert count_runs(context, key) <= 1, count_runs(context, key)


@then("none succeeds, and those answered NOT_RUN have not run")
def check_none_answered(context):
    assert all(answer.status != 200 for answer in context.answers), context.answers
    runs = [context.deployment.runs(name) for name in TARGETS]
    assert runs == [{}, {}], runs


@then("exactly 1 target of orders has ended")
def check_one_ended(context):
    def has_ended(name):
        try:
            context.deployment.runs(name)
        except OSError:
            return True
        return False

    assert [has_ended(name) for name in TARGETS].count(True) == 1


@then("{count:d} lookups through node {node:w} are served")
def check_lookups(context, count, node):
    address = context.deployment.nodes[node].callers
    statuses = [call(address, "GET", "orders", f"/o/{n}").status for n in range(count)]
    assert statuses == [200] * count, statuses


@when(
    "order {key:w} is started for the first time at node {node:w} with a deadline of {limit:d} ms"
)
def start_first(context, key, node, limit):
    caller = Caller(context.deployment.nodes[node].callers)
    context.add_cleanup(caller.close)
    headers = (("Idempotency-Key", key), ("Idempotency-Attempt", "1"), ("Deadline-Ms", str(limit)))
    caller.send(render("POST", "orders", f"/orders?key={key}", headers, b"order"))
    context.started = caller


@when("order {key:w} is sent to node {node:w} while the first request waits")
def send_while_waiting(context, key, node):
    send_order(context, key, node)
    context.first = context.started.read()


@then("the first caller was not answered NOT_RUN if order {key:w} has run")
def check_first_answer(context, key):
    assert context.first.headers.get("camphorshelf-ran"), context.first
    answered_not_run = context.first.headers["camphorshelf-ran"] == "NOT_RUN"
    assert not (answered_not_run and count_runs(context, key)), (context.first, context.answer)
    assert count_runs(context, key) == 1, "the order did not run exactly once for the retry"
