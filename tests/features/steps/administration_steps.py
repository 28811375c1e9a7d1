"""Steps about the administration API and the command-line client."""

import json
import os
import re
import subprocess
import sys
from pathlib import Path

from behave import given, then, when

from standins.caller import Caller, call
from standins.operator import ask, change, confirm, plan, token_of, version_at, wait_version

_PATHS = (
    ("GET", "/v1/status"),
    ("POST", "/v1/plans"),
    ("GET", "/v1/plans/" + "0" * 64),
    ("POST", f"/v1/plans/{'0' * 64}/confirm"),
    ("GET", "/v1/history"),
    ("GET", "/v1/explain/x"),
    ("GET", "/v1/quarantines"),
    ("DELETE", "/v1/quarantines/x"),
    ("GET", "/v1/nothing"),
    ("GET", "/elsewhere"),
)
_LEAVE = {"service": "counter", "target": "b1", "state": "leave"}
_INTENTS = {
    "counter/b1 leaves": _LEAVE,
    "counter/b1 has weight 50": {"service": "counter", "target": "b1", "weight": 50},
    "orders belongs to paper": {"service": "orders", "owner": "paper"},
    "counter belongs to paper": {"service": "counter", "owner": "paper"},
}
_INVALID_INTENTS = (
    ([], "intents"),
    ("leave", "intents"),
    ([1], "intents.0"),
    ([{"service": "counter"}], "intents.0"),
    ([{"service": "counter", "target": "b1"}], "intents.0"),
    ([{"service": "counter", "target": "b1", "state": "go"}], "intents.0.state"),
    ([{"service": "counter", "target": "b1", "weight": 101}], "intents.0.weight"),
    ([{"service": "counter", "target": "b1", "weight": True}], "intents.0.weight"),
    ([{"service": "counter", "target": "b1", "state": "take", "wait": 1}], "intents.0.wait"),
    ([{"service": "Counter!", "owner": "flock"}], "intents.0.service"),
    ([{"service": "counter", "target": "b1", "owner": "flock"}], "intents.0"),
    ([_LEAVE, {"service": "counter", "target": "b1", "state": "take"}], "intents"),
    ([{"service": "counter", "method": "post", "idempotent": True}], "intents.0.method"),
)
_HEAD = b"POST /v1/plans HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer token-of-flock\r\n"
_MALFORMED_REQUESTS = (
    (_HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", 412),
    (_HEAD + b"Content-Length: -1\r\n\r\n", 412),
    (_HEAD + b"Content-Length: 1e3\r\n\r\n", 412),
    (_HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 412),
    (_HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", 412),
    (_HEAD + b"Authorization: Bearer token-of-paper\r\nContent-Length: 2\r\n\r\n{}", 412),
    (b"GET /v1/status HTTP/1.1\r\n\r\n", 412),
    (b"GET /v1/status HTTP/9.9\r\nHost: n\r\n\r\n", 412),
    (b"\x16\x03\x01\x02\x00\x01\x00", 412),
    (_HEAD + b"X: " + b"x" * 20_000 + b"\r\n\r\n", 413),
    (_HEAD + b"Content-Length: 900000\r\n\r\n" + b"x" * 300_000, 413),
)


@when("a client {how} a token requests each resource")
@when("a client with a {how} token requests each resource")
def request_all(context, how):
    address = context.deployment.nodes["a1"].admin
    headers = (("Authorization", "Bearer nonsense"),) if how == "wrong" else ()
    context.answers = [call(address, method, "n", path, headers) for method, path in _PATHS]


@then("each is answered with 401 and discloses nothing else")
def check_nothing_disclosed(context):
    bodies = {(answer.status, answer.body) for answer in context.answers}
    assert len(bodies) == 1, bodies
    status, body = bodies.pop()
    assert (status, json.loads(body)["code"]) == (401, 401)
    assert b"counter" not in body


@when("{team} plans at {node} that {intent}")
@given("{team} has planned at {node} that {intent}")
def plan_change(context, team, node, intent):
    context.reply = plan(context.deployment, node, team, _INTENTS[intent])
    if context.reply[0] == 201:
        context.planned = context.reply[1]


@when("{team} confirms the plan at {node}")
def confirm_plan(context, team, node):
    context.reply = confirm(context.deployment, node, team, context.planned["plan"])


@when("flock has had {count:d} more versions confirmed")
def confirm_more(context, count):
    for weight in range(count):
        change(
            context.deployment,
            "b1",
            "flock",
            {**_INTENTS["counter/b1 has weight 50"], "weight": weight},
        )


@then('the plan has base version {base:d}, one change and "{sentence}"')
def check_plan(context, base, sentence):
    status, document = context.reply
    assert (status, document["base"], len(document["changes"])) == (201, base, 1), document
    assert any(sentence in line for line in document["effect"]), document


@then("version {version:d} is still in force and counter/b1 accepts calls")
def check_not_changed(context, version):
    assert version_at(context.deployment, "a1") == version
    # Routing may avoid a target for a moment after a slow first answer; a target that the
    # unconfirmed plan had removed would never get a call.
    context.deployment.wait_until(lambda: _called_targets(context) == {"a1", "b1"})


@then("the confirmation reports version {version:d}")
def check_confirmed(context, version):
    status, document = context.reply
    assert (status, document.get("version")) == (200, version), document


@then("version {version:d} comes into force everywhere and counter/b1 gets no calls")
def check_changed(context, version):
    wait_version(context.deployment, context.deployment.nodes, version)
    assert _called_targets(context) == {"a1"}


@then("version {version:d} is the newest")
def check_newest(context, version):
    newest = ask(context.deployment, "a1", "GET", "/v1/history", "flock")[1]["versions"][0]
    assert newest["version"] == version, newest


@then("it is refused with {status:d} and code {code:d}")
def check_refused(context, status, code):
    assert (context.reply[0], context.reply[1].get("code")) == (status, code), context.reply


@then("paper's status at a1 shows no service of flock")
def check_status_scope(context):
    assert ask(context.deployment, "a1", "GET", "/v1/status", "paper")[1]["services"] == {}


@then("paper cannot read the plan")
def check_plan_scope(context):
    path = f"/v1/plans/{context.planned['plan']}"
    assert ask(context.deployment, "a1", "GET", path, "paper")[1]["code"] == 405
    assert ask(context.deployment, "a1", "GET", path, "flock")[0] == 200


@then("paper's history hides what flock changed")
def check_history_scope(context):
    (version,) = ask(context.deployment, "a1", "GET", "/v1/history", "paper")[1]["versions"]
    assert (version["changes"], version["hidden_changes"], version["plan"]) == ([], 1, None)


@when("flock plans at a1 each of the invalid intents")
def plan_invalid_intents(context):
    context.replies = [
        (field, ask(context.deployment, "a1", "POST", "/v1/plans", "flock", {"intents": intents}))
        for intents, field in _INVALID_INTENTS
    ]


@then("each is refused with 400 and code 403 and names its field")
def check_invalid_intents(context):
    for field, (status, document) in context.replies:
        assert (status, document["code"]) == (400, 403), (field, document)
        assert document["error"].startswith(field + ":"), (field, document)


@when("each malformed request is sent to the administration listener of a1")
def send_malformed_requests(context):
    context.malformed = []
    for raw, code in _MALFORMED_REQUESTS:
        caller = Caller(context.deployment.nodes["a1"].admin)
        caller.send(raw)
        context.malformed.append((raw, code, caller.read(), caller))


@then("each is refused with its expected code")
def check_malformed_requests(context):
    for raw, code, answer, caller in context.malformed:
        assert json.loads(answer.body)["code"] == code, (raw[:200], answer)
        assert caller.at_end()
        caller.close()


@then("a1 still answers operators")
def check_still_answers(context):
    assert ask(context.deployment, "a1", "GET", "/v1/status", "flock")[0] == 200


@then("{team} {verb} told by a1 why the call went to its target")
def check_explained(context, team, verb):
    call_id = context.answer.headers["camphorshelf-call"]
    status, document = ask(context.deployment, "a1", "GET", f"/v1/explain/{call_id}", team)
    if verb == "is not":
        assert (status, document["code"]) == (404, 415), document
        return
    target = context.answer.body.split()[0].decode()
    assert document["decisions"][0]["target"] == target, document


@when('{team} runs camphorshelf plan "{intent}" at {node}')
def run_plan(context, team, intent, node):
    _run(context, team, node, "plan", intent)
    found = re.search(r"^plan ([0-9a-f]{64}) ", context.run.stdout)
    context.digest = found and found.group(1)


@when("flock runs camphorshelf confirm with the plan at {node}")
def run_confirm(context, node):
    _run(context, "flock", node, "confirm", context.digest)


@when("flock runs camphorshelf {command:w} at {node:w}")
def run_command(context, command, node):
    _run(context, "flock", node, command)


@when("flock runs camphorshelf explain nothing at {node}")
def run_explain(context, node):
    _run(context, "flock", node, "explain", "nothing")


@when("flock runs camphorshelf status as JSON at {node}")
def run_json(context, node):
    _run(context, "flock", node, "status", "--json")


@when("flock runs camphorshelf status at a port where nothing listens")
def run_unreachable(context):
    _run_at("127.0.0.1:1", context, "flock", "status")


@then('it exits {code:d} and prints "{text}"')
def check_run(context, code, text):
    output = context.run.stdout + context.run.stderr
    assert context.run.returncode == code, (context.run.returncode, output)
    assert text in output and "Traceback" not in output, output


@then("it exits 0 and its output is JSON with version {version:d}")
def check_json(context, version):
    assert json.loads(context.run.stdout)["version"] == version


def _called_targets(context):
    address = context.deployment.nodes["c1"].callers
    return {call(address, "GET", "counter", "/").body.split()[0].decode() for _ in range(40)}


def _run(context, team, node, *arguments):
    _run_at(context.deployment.nodes[node].admin, context, team, *arguments)


def _run_at(address, context, team, *arguments):
    program = Path(sys.executable).with_name("camphorshelf")
    environment = {
        **os.environ,
        "CAMPHORSHELF_NODE": address,
        "CAMPHORSHELF_TOKEN": token_of(team),
    }
    context.run = subprocess.run(
        [program, *arguments], env=environment, capture_output=True, text=True, timeout=60
    )
