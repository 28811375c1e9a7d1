"""Steps about targets that send a part of a response's head."""

from concurrent.futures import ThreadPoolExecutor
from urllib.parse import quote

from behave import then, when

from standins.caller import call

_CALLERS = 4
# More than the stand-in's head has; if nothing is left, no byte of it is sent.
_MAX_MISSING_BYTES = 160


@when('callers at "{name}" send "{line}", whose heads of {framing} end early by {end}')
def send_all(context, name, line, framing, end):
    method, path = line.split()
    address = context.relays.address("callers", name)

    def send(missing):
        request_id = context.relays.next_id()
        headers = (("Request-Id", request_id), ("Deadline-Ms", "4000"))
        query = f"work_ms=0&beheaded={missing}&end={end}&framing={quote(framing)}"
        response = call(address, method, "shop", f"{path}x?{query}", headers)
        return missing, request_id, response.status, response.body

    with ThreadPoolExecutor(_CALLERS) as pool:
        context.outcomes = list(pool.map(send, range(1, _MAX_MISSING_BYTES)))


@then("no caller gets a success")
def check_no_success(context):
    successes = [one for one in context.outcomes if one[2] < 400]
    assert not successes, successes


@then("each has run, at most {count:d} times")
def check_runs(context, count):
    runs = context.relays.all_runs()
    counts = {runs[request_id] for _, request_id, *_ in context.outcomes}
    assert counts <= set(range(1, count + 1)), counts
