"""Steps that run the real loop in the test's process."""

import errno
import os
import signal
import socket
from unittest import mock

from behave import given, then, when
from circuits import Component

from camphorshelf_node import streams
from camphorshelf_node.loop import READABLE, Loop

_MINUTE = 60.0


class Root(Component):
    """Stands for the node that the loop belongs to."""


def run_until(context, condition):
    """Run the loop until the condition holds, at most some seconds."""
    turns = 500

    def check():
        nonlocal turns
        turns -= 1
        if condition() or not turns:
            context.root.stop()
        else:
            context.loop.call_later(0.01, check)

    context.loop.call_later(0, check)
    context.root.run()
    assert condition()


@given("a loop of a node")
def give_loop(context):
    context.root = Root()
    context.loop = Loop().register(context.root)
    context.faults = []
    context.loop.on_error = context.faults.append


@when("a timer's callback fails and a socket's callback fails")
def fail_callbacks(context):
    near, far = socket.socketpair()
    context.add_cleanup(near.close)
    context.add_cleanup(far.close)

    def fail_timer():
        raise RuntimeError("a timer's fault for this test")

    def fail_socket(_mask):
        context.loop.unwatch(near.fileno())
        raise RuntimeError("a socket's fault for this test")

    far.send(b"x")
    context.loop.watch(near.fileno(), READABLE, fail_socket)
    context.loop.call_later(0, fail_timer)


@then("a later timer still runs and both faults were reported")
def check_still_runs(context):
    run_until(context, lambda: len(context.faults) == 2)
    ran = []
    context.loop.call_later(0.02, lambda: ran.append(True))
    run_until(context, lambda: ran)


@when("{count:d} timers of a minute are set and cancelled, with {others:d} others between them")
def set_and_cancel(context, count, others):
    context.others = []
    for number in range(count):
        context.loop.call_later(_MINUTE, lambda: None).cancel()
        if number % (count // others) == 0:
            context.others.append(context.loop.call_later(_MINUTE, lambda: None))


@then("fewer than {limit:d} timers are kept and the {others:d} others among them")
def check_kept(context, limit, others):
    kept = [timer for _, _, timer in context.loop._timers]
    assert len(kept) < limit, len(kept)
    assert len(context.others) == others
    assert all(timer in kept for timer in context.others)


@when("{count:d} timers that are due {milliseconds:d} ms apart are cancelled before another one")
def cancel_in_turn(context, count, milliseconds):
    context.turns = 0
    real = context.loop._turn

    def turn(event):
        context.turns += 1
        real(event)

    seconds = milliseconds / 1000
    timers = [
        context.loop.call_later(seconds * (number + 1), lambda: None) for number in range(count)
    ]
    for timer in timers:
        timer.cancel()
    context.loop.call_later(seconds * (count + 1), context.root.stop)
    with mock.patch.object(context.loop, "_turn", turn):
        context.root.run()


@then("the loop wakes only for the other one")
def check_turns(context):
    # One turn for the timer; circuits polls again without waiting while it starts and stops.
    assert context.turns <= 6, context.turns


@when("a caller comes while no descriptor is left")
def come_without_descriptors(context):
    context.accepted, context.tries = [], 0
    real = socket.socket.accept
    context.exhausted = True

    class Listener(socket.socket):
        def accept(self):
            context.tries += 1
            if context.exhausted:
                raise OSError(errno.EMFILE, "Too many open files")
            return real(self)

    with mock.patch.object(socket, "socket", Listener):
        context.close = streams.listen(
            context.loop, ("127.0.0.1", 0), lambda stream, _peer: context.accepted.append(stream)
        )
    (fileno,) = context.loop._callbacks
    address = socket.fromfd(fileno, socket.AF_INET, socket.SOCK_STREAM).getsockname()
    context.caller = socket.create_connection(address)
    context.add_cleanup(context.caller.close)
    context.add_cleanup(context.close)


@then("the listener rests")
def check_rests(context):
    run_until(context, lambda: context.tries > 0)
    assert context.loop._callbacks == {}
    assert context.accepted == []


@then("takes the caller when there are descriptors again")
def check_takes(context):
    context.exhausted = False
    run_until(context, lambda: context.accepted)
    context.accepted[0].close()


@when("an interruption comes from a signal's handler")
def interrupt(context):
    context.ran = []

    def on_signal(_number, _frame):
        timers = list(context.loop._timers)
        context.loop.call_from_signal(lambda: context.ran.append(True))
        assert context.loop._timers == timers

    old = signal.signal(signal.SIGUSR1, on_signal)
    context.add_cleanup(signal.signal, signal.SIGUSR1, old)
    os.kill(os.getpid(), signal.SIGUSR1)


@then("its callback runs in the loop's next turn")
def check_interrupted(context):
    run_until(context, lambda: context.ran)
