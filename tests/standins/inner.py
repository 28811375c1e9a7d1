"""Runs parts of a node inside a test's own process, on a loop of their own."""

import time
from threading import Lock

from circuits.core.events import generate_events

from camphorshelf_node.loop import Loop

_SECONDS = 20.0
_POLL_SECONDS = 0.005


class InnerLoop:
    """A node's loop that turns only while a test waits for something."""

    def __init__(self):
        self.loop = Loop()

    def run_until(self, condition, seconds=_SECONDS):
        """Turn the loop until a condition holds; raises TimeoutError when it does not."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError("the condition did not come to hold")
            self.loop._generate_events(generate_events(Lock(), _POLL_SECONDS))

    def ask(self, start, *args, **options):
        """Call a function that answers by callback and wait for the answer."""
        answers = []
        start(*args, on_done=answers.append, **options)
        self.run_until(lambda: answers)
        return answers[0]
