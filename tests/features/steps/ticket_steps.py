"""Steps that send orders with tickets, and fill a ticket store."""

import json

from behave import given, then, when

from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.invariants import Invariants
from camphorshelf_core.settings import ClaimSettings
from camphorshelf_core.tickets import TicketStep, TicketStore, parse_ticket
from standins.caller import Caller, call, render
from standins.orders import count_runs, end_process, record_answer, send_order


@when("a ticket for orders is taken at node {node:w}")
def take_ticket(context, node):
    address = context.deployment.nodes[node].callers
    answer = call(address, "POST", "orders", "/.camphorshelf/tickets")
    assert answer.status == 200, answer
    (context.ticket,) = json.loads(answer.body)["tickets"]
    context.answers = []


@when("the ticket is used at node {node:w}")
def use_ticket(context, node):
    send_order(context, context.ticket, node)


@when("the ticket is used at node {node:w}, working {milliseconds:d} ms")
def use_ticket_working(context, node, milliseconds):
    send_order(context, context.ticket, node, f"&work_ms={milliseconds}")


@when("the ticket is used at node {node:w} with another body")
def use_ticket_with_other_body(context, node):
    send_order(context, context.ticket, node, body=b"another order")


@when("a forged ticket is used at node {node:w}")
def use_forged_ticket(context, node):
    *parts, proof = context.ticket.split(".")
    forged = ".".join([*parts, "0" * len(proof)])
    send_order(context, forged, node)


@when("the ticket is used at nodes {first:w} and {second:w} at once, working {milliseconds:d} ms")
def use_at_once(context, first, second, milliseconds):
    callers = [_send_order(context, node, milliseconds) for node in (first, second)]
    for caller in callers:
        record_answer(context, caller.read(), 0)


@when("the ticket is started at node {node:w}, working {milliseconds:d} ms")
def start_ticket(context, node, milliseconds):
    context.started_caller = _send_order(context, node, milliseconds)
    context.deployment.wait_until(lambda: count_runs(context, context.ticket) == 1)


@when("the ticket is started at node {node:w}, working {work:d} ms, and its caller disconnects")
def start_and_disconnect(context, node, work):
    start_ticket(context, node, work)
    context.started_caller.close()


@when("the ticket is used at node {node:w}, working {work:d} ms, and its node is killed meanwhile")
def use_and_kill(context, node, work):
    start_ticket(context, node, work)
    kill_tickets_node(context)
    record_answer(context, context.started_caller.read(), 0)


@when("the ticket's node is killed")
def kill_tickets_node(context):
    end_process(context, f"node-{parse_ticket(context.ticket).node}")


@when("the ticket's node is started again")
def restart_tickets_node(context):
    name = parse_ticket(context.ticket).node
    context.deployment.start_node(name)
    context.deployment.wait_served("a1", "orders")


@when("the ticket is used at node {node:w} until refused with code {code:d}")
def use_until_refused(context, node, code):
    def is_refused():
        answer = send_order(context, context.ticket, node)
        is_final = "retry-after" not in answer.headers
        return answer.headers.get("camphorshelf-code") == str(code) and is_final

    context.deployment.wait_until(is_refused)


@then("the ticket has run {count:d} time")
def check_ticket_runs(context, count):
    assert count_runs(context, context.ticket) == count


def _send_order(context, node, milliseconds):
    caller = Caller(context.deployment.nodes[node].callers)
    context.add_cleanup(caller.close)
    path = f"/orders?key={context.ticket}&work_ms={milliseconds}"
    headers = (("Idempotency-Key", context.ticket),)
    caller.send(render("POST", "orders", path, headers, b"order"))
    return caller


@given("a ticket store with room for 3 tickets")
def make_ticket_store(context):
    context.settings = ClaimSettings(tickets=3)
    context.invariants = Invariants()
    context.ticket_store = TicketStore(context.settings, "n", "i1", b"secret", context.invariants)


@when("3 tickets are minted and the first one runs")
def mint_three(context):
    context.tickets = [parse_ticket(context.ticket_store.mint("orders", 0.0)) for _ in range(3)]
    assert (
        context.ticket_store.begin(context.tickets[0], "orders", b"d", 0.0).step is TicketStep.RUN
    )


@then("a fourth ticket is refused with code 245")
def check_full(context):
    refusal = context.ticket_store.mint("orders", 1.0)
    assert isinstance(refusal, Refusal) and refusal.code is Code.TICKETS_FULL, refusal


@when("the tickets' age has passed")
def pass_age(context):
    context.now = context.settings.ticket_age_ms / 1000 + 2.0


@then("2 tickets can be minted, and the first one still runs")
def check_room(context):
    minted = [context.ticket_store.mint("orders", context.now) for _ in range(3)]
    assert [isinstance(one, Refusal) for one in minted] == [False, False, True], minted
    second_use = context.ticket_store.begin(context.tickets[0], "orders", b"d", context.now)
    assert second_use.step is TicketStep.WAIT, second_use


@then("the second ticket is refused as OUTCOME_UNKNOWN")
def check_forgotten(context):
    step, refusal = context.ticket_store.begin(context.tickets[1], "orders", b"d", context.now)
    assert step is TicketStep.ANSWER
    assert (refusal.code, refusal.ran) == (Code.TICKET_FORGOTTEN, Ran.OUTCOME_UNKNOWN)
    assert not context.invariants.broken
