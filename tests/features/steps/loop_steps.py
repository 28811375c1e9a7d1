"""Steps that run the real loop in the test's process."""

import errno
import os
import signal
import socket
from unittest import mock

from behave import given, then, when

from camphorshelf_node import streams
from camphorshelf_node.loop import READABLE
from standins.realloop import run_until, start_loop

_MINUTE = 60.0


@given("a loop of a node")
def give_loop(context):
    start_loop(context)


@when("a timer's callback raises and a socket's callback raises")
def raise_in_callbacks(context):
    local, remote = socket.socketpair()
    context.add_cleanup(local.close)
    context.add_cleanup(remote.close)

    def raise_in_timer():
        raise RuntimeError("raised in a timer by this test")

    def raise_in_socket(_mask):
        context.loop.unwatch(local.fileno())
        raise RuntimeError("raised on a socket by this test")

    remote.send(b"x")
    context.loop.watch(local.fileno(), READABLE, raise_in_socket)
    context.loop.call_later(0, raise_in_timer)


@then("a later timer still runs and both exceptions were reported")
def check_loop_runs(context):
    run_until(context, lambda: len(context.errors) == 2)
    ran = []
    context.loop.call_later(0.02, lambda: ran.append(True))
    run_until(context, lambda: ran)


@when("{count:d} timers of one minute are set and cancelled, with {others:d} others between them")
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
def cancel_before_other(context, count, milliseconds):
    context.iterations = 0
    original = context.loop._run_iteration

    def count_iteration(event):
        context.iterations += 1
        original(event)

    seconds = milliseconds / 1000
    timers = [
        context.loop.call_later(seconds * (number + 1), lambda: None) for number in range(count)
    ]
    for timer in timers:
        timer.cancel()
    context.loop.call_later(seconds * (count + 1), context.root.stop)
    with mock.patch.object(context.loop, "_run_iteration", count_iteration):
        context.root.run()


@then("the loop wakes only for the other one")
def check_iterations(context):
    # One iteration for the timer; circuits polls again without waiting while it starts and stops.
    assert context.iterations <= 6, context.iterations


@when("a caller connects while no file descriptor is left")
def connect_without_descriptors(context):
    context.accepted, context.attempts = [], 0
    original = socket.socket.accept
    context.exhausted = True

    class Listener(socket.socket):
        def accept(self):
            context.attempts += 1
            if context.exhausted:
                raise OSError(errno.EMFILE, "Too many open files")
            return original(self)

    with mock.patch.object(socket, "socket", Listener):
        context.close = streams.listen(
            context.loop, ("127.0.0.1", 0), lambda stream, _peer: context.accepted.append(stream)
        )
    (fileno,) = context.loop._callbacks
    address = socket.fromfd(fileno, socket.AF_INET, socket.SOCK_STREAM).getsockname()
    context.caller = socket.create_connection(address)
    context.add_cleanup(context.caller.close)
    context.add_cleanup(context.close)


@then("the listener pauses")
def check_pauses(context):
    run_until(context, lambda: context.attempts > 0)
    assert context.loop._callbacks == {}
    assert context.accepted == []


@then("accepts the caller when there are file descriptors again")
def check_accepts(context):
    context.exhausted = False
    run_until(context, lambda: context.accepted)
    context.accepted[0].close()


@when("a signal handler schedules a callback")
def schedule_from_signal(context):
    context.ran = []

    def on_signal(_number, _frame):
        timers = list(context.loop._timers)
        context.loop.call_from_signal(lambda: context.ran.append(True))
        assert context.loop._timers == timers

    previous = signal.signal(signal.SIGUSR1, on_signal)
    context.add_cleanup(signal.signal, signal.SIGUSR1, previous)
    os.kill(os.getpid(), signal.SIGUSR1)


@then("its callback runs in the loop's next iteration")
def check_callback_ran(context):
    run_until(context, lambda: context.ran)
