"""Steps about confirming and distributing the configuration, with real processes."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from camphorshelf_core.calls import AttemptId
from camphorshelf_core.messages import CallMessage
from camphorshelf_core.settings import split_address
from camphorshelf_node.links import PeerLink
from standins.caller import Caller, call, render
from standins.inner import InnerLoop
from standins.operator import ask, change, confirm, plan, version_at, wait_version

_HEAD = '"sk": {"S": "head"}'
_LEAVE = {"service": "counter", "target": "b1", "state": "leave"}
_WAITING_CALLS = 12


@given("{count:d} operators have planned different weights of counter/b1 on version {base:d}")
def plan_weights(context, count, base):
    context.digests = []
    for number in range(count):
        weight = {"service": "counter", "target": "b1", "weight": number}
        status, planned = plan(context.deployment, "abc"[number % 3] + "1", "flock", weight)
        assert (status, planned["base"]) == (201, base), planned
        context.digests.append(planned["plan"])


@when("all of them confirm at once")
def confirm_all(context):
    def confirm_one(pair):
        number, digest = pair
        return confirm(context.deployment, "abc"[number % 3] + "1", "flock", digest)

    with ThreadPoolExecutor(len(context.digests)) as pool:
        context.replies = list(pool.map(confirm_one, enumerate(context.digests)))


@then("one succeeds with version {version:d} and the others get CONFLICT with a plan on version 2")
def check_race(context, version):
    confirmed = [document for status, document in context.replies if status == 200]
    assert [document["version"] for document in confirmed] == [version], context.replies
    context.fresh = [document for status, document in context.replies if status == 409]
    assert len(context.fresh) == len(context.replies) - 1, context.replies
    for document in context.fresh:
        assert document["code"] == 406 and document["fresh_plan"]["base"] == version, document


@when("one of the others confirms its fresh plan")
def confirm_fresh(context):
    digest = context.fresh[0]["fresh_plan"]["plan"]
    context.reply = confirm(context.deployment, "a1", "flock", digest)


@given("the platform loses the answer of 1 write of the head")
def lose_answer(context):
    context.deployment.set_faults(lose_answers=1, only=_HEAD)


@given("the platform delays 1 write of the head")
def delay_write(context):
    context.deployment.set_faults(hold_writes=1, only=_HEAD)


@when("the platform releases the delayed write")
def release_write(context):
    assert context.deployment.counts()["held"] == 1
    context.deployment.release()


@then("the history lists {count:d} versions")
def check_history(context, count):
    status, document = ask(context.deployment, "b1", "GET", "/v1/history", "flock")
    assert status == 200 and len(document["versions"]) == count, document


@given("the platform is down")
def stop_platform(context):
    context.deployment.set_faults(refuse=True)


@when("the platform is up again")
def start_platform(context):
    context.deployment.set_faults()


@when("the confirmation is repeated until the platform answers")
def confirm_until(context):
    def confirmed():
        context.reply = confirm(context.deployment, "a1", "flock", context.planned["plan"])
        return context.reply[0] != 503

    context.deployment.wait_until(confirmed)


@then("calls to counter through every node are served")
def check_lookups(context):
    for node in context.deployment.nodes.values():
        answer = call(node.callers, "GET", "counter", "/")
        assert answer.status == 200, answer


@when("node b1 is frozen for longer than its limit with calls waiting for counter")
def freeze_with_calls(context):
    deployment = context.deployment
    context.callers = [Caller(deployment.nodes["b1"].callers) for _ in range(_WAITING_CALLS)]
    for caller in context.callers:
        # On open connections all calls are read in the first turn of the event loop after the node
        # resumes, before it can have fetched a newer version.
        assert caller.request("GET", "counter", "/first").status == 200
    deployment.signal("node-b1", signal.SIGSTOP)
    context.frozen_at = time.monotonic()
    for caller in context.callers:
        caller.send(render("GET", "counter", "/waiting"))


@given("flock has made counter/b1 leave")
def make_leave(context):
    version = change(context.deployment, "a1", "flock", _LEAVE)
    wait_version(context.deployment, context.deployment.nodes, version)


@when("flock makes counter/b1 leave meanwhile")
def make_leave_meanwhile(context):
    version = change(context.deployment, "a1", "flock", _LEAVE)
    wait_version(context.deployment, ("a1", "c1"), version)
    # Longer than freeze_ms, so that the node detects the suspension; nothing else depends on it.
    time.sleep(max(0.0, context.frozen_at + 4.0 - time.monotonic()))


@when("node b1 resumes")
def resume(context):
    context.deployment.signal("node-b1", signal.SIGCONT)


@then("no waiting call was run by b1")
def check_waiting(context):
    answers = [caller.read() for caller in context.callers]
    assert {answer.headers.get("camphorshelf-code") for answer in answers} <= {None, "207"}
    assert not [answer for answer in answers if answer.body.startswith(b"b1 ")], answers


@when("node {name} is killed")
def kill(context, name):
    context.deployment.signal(f"node-{name}", signal.SIGKILL)
    context.deployment.wait_end(f"node-{name}")


@when("node {name} is killed and starts again with {one} and {other} as contacts")
def restart(context, name, one, other):
    deployment = context.deployment
    kill(context, name)
    contacts = [deployment.nodes[one].peers, deployment.nodes[other].peers]
    deployment.change_settings(name, roster={"contacts": contacts})
    deployment.start_node(name)


@then("{name} becomes ready with version {version:d}")
@then("{name} becomes ready with version {version:d} without the platform")
def check_ready(context, name, version):
    def ready():
        return ask(context.deployment, name, "GET", "/readyz")[0] == 200

    context.deployment.wait_until(ready, seconds=60)
    assert version_at(context.deployment, name) == version


@then("{name} reports that it is not ready because {reason}")
def check_reason(context, name, reason):
    def is_reported():
        status, document = ask(context.deployment, name, "GET", "/readyz")
        assert status == 503, document
        return "peers in 1 of 2 failure domains do" in document["reason"]

    context.deployment.wait_until(is_reported)


@then("a call through {name} is refused with code {code:d}")
def check_call_refused(context, name, code):
    answer = call(context.deployment.nodes[name].callers, "GET", "counter", "/")
    assert answer.headers.get("camphorshelf-code") == str(code), answer


@when("the platform is down and nodes a1 and b1 are frozen")
def cut_off(context):
    stop_platform(context)
    for name in ("a1", "b1"):
        context.deployment.signal(f"node-{name}", signal.SIGSTOP)


@then("c1 starts to refuse calls because nothing answers")
def check_cut_off(context):
    def refused():
        reason = ask(context.deployment, "c1", "GET", "/readyz")[1].get("reason", "")
        return "neither the platform nor any peer answers" in reason

    context.deployment.wait_until(refused, seconds=60)
    check_call_refused(context, "c1", 207)


@when("lookups for counter run through every node")
def run_lookups(context):
    context.load = _Load(context.deployment)
    context.add_cleanup(context.load.stop)
    context.deployment.wait_until(lambda: len(context.load.answers) > 100)


@when("flock makes counter's targets in fd-b leave while c1 is frozen for a moment")
def make_domain_leave(context):
    context.deployment.signal("node-c1", signal.SIGSTOP)
    change(context.deployment, "a1", "flock", _domain_intent("leave"))
    context.confirmed_at = time.monotonic()
    context.deployment.signal("node-c1", signal.SIGCONT)


@when("flock makes counter's targets in fd-b accept calls again")
def make_domain_accept(context):
    change(context.deployment, "a1", "flock", _domain_intent("take"))


@then("counter/b1 gets calls again once it has announced itself")
def check_called_again(context):
    deployment = context.deployment
    deployment.signal("target-b1", signal.SIGKILL)
    deployment.wait_end("target-b1")
    deployment.start_target("b1")

    def is_called():
        answer = call(deployment.nodes["b1"].callers, "GET", "counter", "/tags/7?work_ms=0")
        return answer.body.startswith(b"b1 ")

    deployment.wait_until(is_called)


def _domain_intent(state):
    return {"service": "counter", "domain": "fd-b", "state": state}


@when("flock makes counter/b1 leave while c1 is frozen for a moment")
def make_leave_under_load(context):
    context.deployment.signal("node-c1", signal.SIGSTOP)
    change(context.deployment, "a1", "flock", _LEAVE)
    context.confirmed_at = time.monotonic()
    context.deployment.signal("node-c1", signal.SIGCONT)


@then("counter/b1 gets no call later than {seconds:d} seconds after the confirmation")
def check_no_late_calls(context, seconds):
    end = context.confirmed_at + seconds + 2
    context.deployment.wait_until(lambda: time.monotonic() > end)
    context.load.stop()
    late = [
        one
        for one in context.load.answers
        if one.sent_at > context.confirmed_at + seconds and one.answer.body.startswith(b"b1 ")
    ]
    assert any(one.sent_at > context.confirmed_at + seconds for one in context.load.answers)
    assert not late, late


@then("each call was served or refused with NOT_RUN")
def check_none_failed(context):
    refused = [one.answer for one in context.load.answers if one.answer.status != 200]
    assert {answer.headers.get("camphorshelf-ran") for answer in refused} <= {"NOT_RUN"}, refused
    assert len(refused) < len(context.load.answers) / 50, (len(refused), refused[:3])


@when("a peer with an older version sends a call for counter to b1")
def send_outdated(context):
    inner = InnerLoop()
    link = PeerLink(inner.loop, split_address(context.deployment.nodes["b1"].peers))
    attempt = AttemptId("unheard", 1)
    message = CallMessage(
        0, attempt, "counter", "b1", 5000, "", "GET", b"/", ((b"host", b"counter"),), b""
    )
    context.message = inner.ask(lambda on_done: link.call(message, on_done))
    link.close()


@then("the peer is told {code:d} and NOT_RUN")
def check_outdated_refused(context, code):
    assert (context.message.code, context.message.ran) == (code, "NOT_RUN"), context.message
    assert context.message.load.config_version == 2


class _Sent:
    def __init__(self, sent_at, answer):
        self.sent_at = sent_at
        self.answer = answer


class _Load:
    """Callers at every node, each sending one lookup after the other until stopped."""

    def __init__(self, deployment):
        self.answers = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(node.callers,))
            for node in deployment.nodes.values()
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, address):
        caller = Caller(address)
        while not self._stopped.wait(0.01):
            sent_at = time.monotonic()
            self.answers.append(_Sent(sent_at, caller.request("GET", "counter", "/load")))
        caller.close()
