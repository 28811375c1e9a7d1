"""Steps that stop targets gracefully, with real processes."""

import signal
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import fixture, given, then, use_fixture, when

from standins.caller import call
from standins.deployment import Deployment, NodePlan

_PLANS = (
    NodePlan("a1", "counter", "fd-a"),
    NodePlan("b1", "counter", "fd-b"),
    NodePlan("c1", "orders", "fd-c"),
)
_MIN_LOOKUPS_WITHOUT_TARGET = 200
_LAST_COUNT = 20
_CONCURRENT_LOOKUPS = 16
_SLOW_LOOKUP = "/tags/1?work_ms=50"


class Lookups:
    """Sends lookups continuously from a thread and keeps their answers."""

    def __init__(self, address):
        self._address = address
        self._stop = threading.Event()
        self.answers = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stop.is_set():
            self.answers.append(call(self._address, "GET", "counter", "/tags/1"))

    def stop(self):
        """Stop sending and wait for the thread."""
        self._stop.set()
        self._thread.join()


@fixture
def deployment(context):
    context.deployment = Deployment(_PLANS)
    context.add_cleanup(context.deployment.close)
    for name in ("a1", "b1", "c1"):
        for service in ("counter", "orders"):
            context.deployment.wait_served(name, service)


@given("a deployment with two targets of counter and one of orders")
def give_deployment(context):
    use_fixture(deployment, context)


@given("the platform is {state:w}")
def set_platform(context, state):
    context.deployment.set_faults(refuse=state == "down")


@given("a call of {method} {path} for {service} is in flight through {name}")
def start_call(context, method, path, service, name):
    address = context.deployment.nodes[name].callers
    context.answers = []

    def run():
        headers = [("Deadline-Ms", "30000")]
        context.answers.append(call(address, method, service, path, headers, b"one order"))

    context.thread = threading.Thread(target=run, daemon=True)
    context.thread.start()
    key = path.partition("key=")[2].partition("&")[0]
    context.deployment.wait_until(lambda: key in context.deployment.runs("c1"))


@given("lookups for counter run continuously through a1, b1 and c1")
def start_lookups(context):
    nodes = context.deployment.nodes
    context.lookups = [Lookups(nodes[name].callers) for name in ("a1", "b1", "c1")]
    for lookups in context.lookups:
        context.add_cleanup(lookups.stop)
    context.deployment.wait_until(lambda: count_received(context, "b1") > _LAST_COUNT)


@when("target {name} gets SIGTERM")
def terminate(context, name):
    context.deployment.signal(f"target-{name}", signal.SIGTERM)


@when("target {name} is killed")
def kill(context, name):
    context.deployment.signal(f"target-{name}", signal.SIGKILL)
    context.deployment.wait_end(f"target-{name}")


@when("target {name} is started")
def start_again(context, name):
    context.deployment.start_target(name)


@when("target {name} is replaced by a new process")
def replace(context, name):
    kill(context, name)
    start_again(context, name)


@when("target {name} asks its node to {action:w}")
def ask_node(context, name, action):
    answer = call(context.deployment.nodes[name].admin, "POST", "node", f"/{action}")
    assert answer.status == 200, answer
    context.received_before = count_received(context, name)


@then("the call in flight is answered {status:d} by {name}")
def check_answered(context, status, name):
    context.thread.join()
    assert context.answers[0].status == status, context.answers
    assert context.answers[0].body.startswith(name.encode()), context.answers


@then("the call in flight is refused with code {code:d} and {ran:w}")
def check_lost(context, code, ran):
    context.thread.join()
    headers = context.answers[0].headers
    assert headers.get("camphorshelf-code") == str(code), context.answers
    assert headers.get("camphorshelf-ran") == ran, context.answers


@then("the process {process} has ended with status {status:d}")
def check_end(context, process, status):
    assert context.deployment.wait_end(process) == status


@then("target {name} was told that it is empty with {count:d} calls in flight")
def check_told(context, name, count):
    log = context.deployment.log(f"target-{name}")
    assert log == f"drained with {count} calls in flight\n", log


@then("target {name} receives nothing more while the lookups continue")
def check_receives_nothing(context, name):
    before = [len(lookups.answers) for lookups in context.lookups]
    context.deployment.wait_until(
        lambda: all(
            len(lookups.answers) >= earlier + _MIN_LOOKUPS_WITHOUT_TARGET
            for lookups, earlier in zip(context.lookups, before, strict=True)
        )
    )
    assert count_received(context, name) == context.received_before, (
        context.received_before,
        count_received(context, name),
    )


@then("every lookup was served or refused as not run, and the last ones were served")
def check_lookups_served(context):
    for lookups in context.lookups:
        answers = list(lookups.answers)
        for answer in answers:
            was_refused = answer.headers.get("camphorshelf-ran") == "NOT_RUN"
            assert answer.status == 200 or was_refused, answer
        assert all(answer.status == 200 for answer in answers[-_LAST_COUNT:]), answers[
            -_LAST_COUNT:
        ]


@then("target {name} receives lookups again")
def check_receives_again(context, name):
    context.deployment.wait_until(lambda: count_received(context, name) > context.received_before)


@then("a lookup is served by target {name} again")
def check_serving(context, name):
    # More concurrent lookups than a1's own target has slots: an idle target of the entry node's own
    # failure domain is preferred, and would serve all lookups that are sent one after the other.
    address = context.deployment.nodes["a1"].callers

    def send(_number):
        return call(address, "GET", "counter", _SLOW_LOOKUP)

    def is_seen():
        with ThreadPoolExecutor(_CONCURRENT_LOOKUPS) as pool:
            list(pool.map(send, range(_CONCURRENT_LOOKUPS)))
        return count_received(context, name) > 0

    context.deployment.wait_until(is_seen)


@then("node {name} refuses calls for {service} with code {code:d}")
def check_refused(context, name, service, code):
    answer = call(context.deployment.nodes[name].callers, "GET", service, "/tags/1")
    assert answer.headers.get("camphorshelf-code") == str(code), answer


@then("a call for {service} through {name} is served by {target}")
def check_served_again(context, service, name, target):
    address = context.deployment.nodes[name].callers

    def is_served():
        answer = call(address, "GET", service, "/tags/1")
        return answer.status == 200 and answer.body.startswith(target.encode())

    context.deployment.wait_until(is_served)


def count_received(context, name):
    return int(call(context.deployment.nodes[name].target, "GET", "target", "/_seen").body)


@when("the leave has become known to {name}")
def wait_leave_known(context, name):
    context.received_before = count_received(context, "b1")
    address = context.deployment.nodes[name].callers

    def is_avoided():
        answers = [call(address, "GET", "counter", "/tags/1") for _ in range(_LAST_COUNT)]
        return all(answer.body.startswith(b"a1") for answer in answers)

    context.deployment.wait_until(is_avoided)


@when("node {name} is killed and started")
def replace_node(context, name):
    context.deployment.signal(f"node-{name}", signal.SIGKILL)
    context.deployment.wait_end(f"node-{name}")
    context.deployment.start_node(name)
