"""Steps about the quarantine of requests that crash targets, simulated and with real processes."""

import threading
import time

from behave import fixture, given, then, use_fixture, when

from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.isolation import SuspectLimiter
from camphorshelf_core.quarantine import Standing
from camphorshelf_node.quarantine import SUSPECT_HEADER
from standins.caller import call
from standins.deployment import Deployment, NodePlan
from standins.poison_play import INNOCENT_PER_PLAY, POISON, Nodes, play_merges, play_poison
from standins.simulated import Simulation

_NAMES = ("r1", "r2", "r3")
_POISON_PATH = "/rolls/13?fail=crash&work_ms=50"
_MAX_POISON_REQUESTS = 60
_ADMISSION_TIMEOUT_SECONDS = 10.0


def innocent(count):
    return [f"innocent-{number}" for number in range(count)]


@given("a quarantine at nodes n1, n2 and n3 that refuses after 2 crashes")
def three_nodes(context):
    context.nodes = Nodes(("n1", "n2", "n3"))


@given("poison is refused at all nodes")
def refuse_poison(context):
    context.nodes.crash("n1", [POISON])
    context.nodes.crash("n2", [POISON])
    assert context.nodes.standings(POISON) == {Standing.REFUSED}


@given("a limiter for suspects")
def make_limiter(context):
    context.limiter = SuspectLimiter()


@when("the target of {node} crashes under poison and {count:d} innocent requests")
def crash(context, node, count):
    context.nodes.crash(node, [POISON, *innocent(count)])


@when("the {count:d} innocent requests complete at {node}")
def complete_innocent(context, count, node):
    for request in innocent(count):
        context.nodes.complete(node, request)


@when("the target of {node} crashes under {count:d} other requests one after the other")
def crash_under_others(context, node, count):
    for number in range(count):
        context.nodes.crash(node, [f"other-{number}"])


@when("an operator lifts the quarantine at {node}")
def lift(context, node):
    context.nodes.lift(node, POISON)


@when("{minutes:d} minutes pass")
def wait_minutes(context, minutes):
    assert context.nodes.standings(POISON) == {Standing.REFUSED}
    context.nodes.now += minutes * 60


@when(
    "{count:d} random histories of crashes, clearings and lifts reach three nodes in random orders"
)
def deliver_histories(context, count):
    context.standings = [play_merges(seed) for seed in range(count)]


@when("poison is sent among innocent requests with {count:d} fixed seeds")
def simulate_poison(context, count):
    context.simulations = [play_poison(seed) for seed in range(count)]


@when("in addition one run in 100 ends with a random crash of its target")
def simulate_random_crashes(context):
    context.simulations = [play_poison(seed, 0.01) for seed in range(len(context.simulations))]


@when("suspects s1, s2 and s3 arrive")
def suspects_come(context):
    context.running = [name for name in ("s1", "s2", "s3") if context.limiter.acquire(name)]


@when("s2 is cancelled and s1 completes")
def suspects_end(context):
    context.limiter.release("s2")
    context.running = [context.limiter.release("s1")]


@then("only {name} runs")
def check_running_suspect(context, name):
    assert context.running == [name], context.running
    assert context.limiter.running == name


@then("poison and the {count:d} innocent requests are suspects at all nodes")
def check_suspects(context, count):
    for request in (POISON, *innocent(count)):
        assert context.nodes.standings(request) == {Standing.SUSPECT}


@then("no innocent request is a suspect at any node")
def check_no_suspects(context):
    for request in innocent(9):
        assert context.nodes.standings(request) == {Standing.CLEAR}


@then("poison is refused at all nodes and no innocent request is a suspect")
def check_convicted(context):
    assert context.nodes.standings(POISON) == {Standing.REFUSED}
    check_no_suspects(context)


@then("poison is clear at all nodes")
def check_clear(context):
    assert context.nodes.standings(POISON) == {Standing.CLEAR}


@then("poison is still refused at {node}, which remembers {count:d} requests at most")
def check_bounded(context, node, count):
    quarantine = context.nodes.all[node]
    assert quarantine.standing(POISON, context.nodes.now) is Standing.REFUSED
    assert len(quarantine) <= count


@then("after each history all nodes hold the same standings")
def check_same(context):
    assert all(len(set(standings)) == 1 for standings in context.standings)
    assert len({standings[0] for standings in context.standings}) == 3


@then("with each seed poison is refused after it has caused {count:d} crashes")
def check_poison_refused(context, count):
    assert all(crashes == count for crashes, _, _ in context.simulations), context.simulations
    assert all(standings == {Standing.REFUSED} for _, _, standings in context.simulations)


@then("no innocent request is refused with any seed")
def check_innocent(context):
    assert all(refused <= {POISON} for _, refused, _ in context.simulations), context.simulations


@then("at most {count:d} in 10000 innocent requests is refused over all seeds")
def check_few_innocent(context, count):
    refused = sum(len(refused - {POISON}) for _, refused, _ in context.simulations)
    assert refused * 10_000 <= count * len(context.simulations) * INNOCENT_PER_PLAY, refused


@fixture
def rollyard(context):
    plans = [NodePlan(name, "rollyard", f"fd-{name}") for name in _NAMES]
    context.deployment = Deployment(plans)
    context.add_cleanup(context.deployment.close)
    for name in _NAMES:
        context.deployment.wait_served(name, "rollyard")


@given("a deployment with three targets of rollyard")
def start_rollyard(context):
    use_fixture(rollyard, context)


def lookup(context, name, path):
    headers = [("Deadline-Ms", "20000")]
    return call(context.deployment.nodes[name].callers, "GET", "rollyard", path, headers)


def lookup_until_admitted(context, name, path):
    """Send a lookup, and retry it as long as its refusal names a retry delay."""
    end = time.monotonic() + _ADMISSION_TIMEOUT_SECONDS
    while True:
        answer = lookup(context, name, path)
        wait_ms = answer.headers.get("retry-after-ms")
        if wait_ms is None or time.monotonic() > end:
            return answer
        time.sleep(int(wait_ms) / 1000)


def count_seen(context, name):
    return int(call(context.deployment.nodes[name].target, "GET", "target", "/_seen").body)


@given("{count:d} innocent slow lookups are in flight at each target")
def start_innocent(context, count):
    before = {name: count_seen(context, name) for name in _NAMES}
    context.innocent = [f"/rolls/{number}?work_ms=1500" for number in range(count * len(_NAMES))]
    context.first_answers = {}

    def run(number, path):
        answer = lookup_until_admitted(context, _NAMES[number % len(_NAMES)], path)
        context.first_answers[path] = answer

    context.threads = [
        threading.Thread(target=run, args=item, daemon=True) for item in enumerate(context.innocent)
    ]
    for thread in context.threads:
        thread.start()

    def seen():
        return {name: count_seen(context, name) - before[name] for name in _NAMES}

    try:
        context.deployment.wait_until(lambda: sum(seen().values()) >= len(context.innocent))
    except TimeoutError as error:
        # The response to a lookup that reached no target gives the reason.
        raise AssertionError(
            f"{seen()} lookups reached a target; answers: {context.first_answers}"
        ) from error


@when("a lookup that crashes its target is sent repeatedly through all nodes")
def send_poison(context):
    for number in range(_MAX_POISON_REQUESTS):
        answer = lookup(context, _NAMES[number % len(_NAMES)], _POISON_PATH)
        assert answer.status != 200, answer
        if answer.headers.get("camphorshelf-code") == "210":
            return
    raise AssertionError(f"not refused with code 210 in {_MAX_POISON_REQUESTS} requests: {answer}")


@then("it is refused with code 210 at every node")
def check_refused_everywhere(context):
    def is_refused():
        answers = [lookup(context, name, _POISON_PATH) for name in _NAMES]
        return all(answer.headers.get("camphorshelf-code") == "210" for answer in answers)

    context.deployment.wait_until(is_refused)


def crashed_targets(context):
    return [name for name in _NAMES if context.deployment.has_ended(f"target-{name}")]


@then("{count:d} targets have crashed")
def check_crashes(context, count):
    assert len(crashed_targets(context)) == count, crashed_targets(context)


@when("the crashed targets are started again and the innocent callers send again")
def start_crashed(context):
    for thread in context.threads:
        thread.join()
    for name in crashed_targets(context):
        context.deployment.start_target(name)
    context.lost = [path for path in context.innocent if context.first_answers[path].status != 200]
    assert context.lost, "no innocent lookup was in flight at a target that crashed"


def wait_answered(context, path):
    context.deployment.wait_until(lambda: lookup(context, "r1", path).status == 200)
    context.answered.append(path)


@then("every innocent lookup is answered 200")
def check_innocent_served(context):
    threads = [
        threading.Thread(target=wait_answered, args=(context, path), daemon=True)
        for path in context.lost
    ]
    context.answered = []
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(context.answered) == sorted(context.lost), context.answered
    assert crashed_targets(context) == []


@when("a lookup whose response is cut short is sent 5 times")
def send_cut_short(context):
    context.answers = [lookup(context, "r1", "/rolls/1?fail=hang-up") for _ in range(5)]


@then("each is refused with code {code:d}")
def check_refused(context, code):
    codes = [answer.headers.get("camphorshelf-code") for answer in context.answers]
    assert codes == [str(code)] * 5, context.answers


@then("the target still serves others")
def check_others(context):
    assert lookup(context, "r1", "/rolls/2").status == 200


class _FakeQuarantineController:
    """Fake quarantine controller that adds the evidence to a blamed request."""

    def __init__(self, is_refused):
        self._is_refused = is_refused

    def record_blamed(self, exchange, target):
        """Add the name of the crashed target to the request's evidence."""
        request = exchange.request
        headers = (*request.headers, (SUSPECT_HEADER, target.encode()))
        exchange.request = request._replace(headers=headers)
        return self._is_refused


@given("a lookup that crashes each target, blamed with standing {standing}")
def prepare_crashing_lookup(context, standing):
    context.simulation = Simulation(targets=3, entries=1)
    context.simulation.entries[0].quarantine = _FakeQuarantineController(standing == "convicted")
    context.attempts = []
    refusal = Refusal(Code.TARGET_CRASHED, "the target crashed", Ran.OUTCOME_UNKNOWN)

    def crash_target(message, on_done):
        context.attempts.append(message)
        context.simulation.loop.call_later(0.001, lambda: on_done(refusal))
        return lambda: None

    for target in context.simulation.targets:
        target.call = crash_target


@when("an entry node sends it")
def send_crashing_lookup(context):
    context.simulation.call(0.0, 10, entry=0)
    context.simulation.loop.run()


@then("the lookup reached {count:d} targets, and each attempt named the target that crashed before")
def check_evidence(context, count):
    assert len(context.attempts) == count, context.attempts
    evidence = [dict(message.headers).get(SUSPECT_HEADER) for message in context.attempts]
    before = [None, *(message.target.encode() for message in context.attempts)]
    assert evidence == before[:count], evidence
