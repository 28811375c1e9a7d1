"""Steps that send single requests through a deployment."""

from behave import then, when

from standins.caller import Caller, call, render


@when("a caller sends {method} {path} for {service} to node {name}")
def send_call(context, method, path, service, name):
    body = b"one order" if method == "POST" else b""
    address = context.deployment.nodes[name].callers
    context.answer = call(address, method, service, path, body=body)


@when("a caller pipelines GET {first} and GET {second} for {service} to node {name}")
def send_pipelined(context, first, second, service, name):
    caller = Caller(context.deployment.nodes[name].callers)
    caller.send(render("GET", service, first) + render("GET", service, second))
    context.answers = [caller.read(), caller.read()]
    caller.close()


@then("the answer has status {status:d} and comes from target {name}")
def check_answer(context, status, name):
    assert context.answer.status == status, context.answer
    assert context.answer.body.startswith(name.encode() + b" "), context.answer


@then("the answer is refused with {status:d} and code {code:d}")
def check_refusal(context, status, code):
    assert context.answer.status == status, context.answer
    assert context.answer.headers["camphorshelf-code"] == str(code), context.answer


@then("target {name} has run key {key} once")
def check_runs(context, name, key):
    assert context.deployment.runs(name) == {key: 1}


@then("the answers are for {first} and {second} in this order")
def check_order(context, first, second):
    paths = [answer.body.split()[2].split(b"?")[0].decode() for answer in context.answers]
    assert paths == [first, second], paths
