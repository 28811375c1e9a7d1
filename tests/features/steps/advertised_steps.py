"""Steps for targets that advertise a rate limit or that they leave, with callers under way."""

import signal
import time

from behave import given, then, when

from standins.advertised import find_rate_excess, find_requests_after_leaving, read_history
from standins.recordingcallers import RecordingCallers


@given('callers at "{names}" keep sending "{line}"')
def keep_sending(context, names, line):
    context.interruptions = {}
    context.recording_callers = RecordingCallers(context.relays, names.split(", "), line)
    context.add_cleanup(context.recording_callers.stop)
    time.sleep(0.5)


@given('the target of "{name}" advertises "{query}"')
@when('the target of "{name}" advertises "{query}"')
def advertise(context, name, query):
    context.advertised_at = time.time()
    context.advertising = context.relays.advertise(name, query)


@when('the target of "{name}" advertises ""')
def advertise_nothing(context, name):
    advertise(context, name, "")


@given("{seconds:f} s pass for the callers")
@when("{seconds:f} s pass for the callers")
def pass_time(context, seconds):
    time.sleep(seconds)


@when('the node of "{name}" is killed and started again under load')
def restart_node(context, name):
    context.interruptions.setdefault(name, []).append(time.time())
    context.relays.signal(f"node-{name}", signal.SIGKILL)
    context.relays.wait_end(f"node-{name}")
    context.relays.start_node(name)
    context.relays.wait_ready(name)


@when('the node of "{name}" is suspended for {seconds:f} s')
def suspend_node(context, name, seconds):
    context.interruptions.setdefault(name, []).append(time.time())
    context.relays.signal(f"node-{name}", signal.SIGSTOP)
    time.sleep(seconds)
    context.interruptions[name].append(time.time())
    context.relays.signal(f"node-{name}", signal.SIGCONT)


@when('the target of "{name}" is replaced')
def replace_target(context, name):
    context.relays.signal(f"target-{name}", signal.SIGTERM)
    context.relays.wait_end(f"target-{name}")
    context.relays.start_target(name)
    context.relays.wait_until(lambda: _ask_instance(context, name) is not None)
    context.advertised_at = time.time()
    context.advertising = _ask_instance(context, name)


def _ask_instance(context, name):
    try:
        return context.relays.advertise(name, "")
    except OSError:
        return None


@when('the target of "{name}" announces that it leaves and then that it stays')
def announce_and_stay(context, name):
    for number in (signal.SIGUSR1, signal.SIGUSR2):
        time.sleep(0.7)
        context.relays.signal(f"target-{name}", number)


def _read_history(context):
    context.recording_callers.stop()
    return read_history(
        context.relays.directory, context.recording_callers.sent, context.interruptions
    )


@then("no target got more than its rate limit allows")
def check_rates(context):
    excess = find_rate_excess(_read_history(context))
    assert not excess, excess[:3]


@then('the target of "{name}" got at least {count:d} requests since then')
def check_still_used(context, name, count):
    arrivals = _read_history(context).arrivals
    since = [
        one
        for one in arrivals
        if one.instance == context.advertising and one.at > context.advertised_at
    ]
    assert len(since) >= count, len(since)


@then("no request reached a leaving target too late")
def check_leaving(context):
    late = find_requests_after_leaving(_read_history(context))
    assert not late, (len(late), late[:3])


@then("no caller's request has failed")
def check_no_failure(context):
    context.recording_callers.stop()
    failed = [status for status in context.recording_callers.statuses if status != 200]
    assert not failed, failed[:5]
