"""Runs parts of a node in the process of the test, on a separate event loop."""

import time
from threading import Lock

from circuits.core.events import generate_events

from camphorshelf_node.loop import Loop

_TIMEOUT_SECONDS = 20.0
_POLL_SECONDS = 0.005


class InnerLoop:
    """A node's event loop that runs only while a test waits for something."""

    def __init__(self):
        self.loop = Loop()

    def run_until(self, condition, seconds=_TIMEOUT_SECONDS):
        """Run the loop until a condition holds.

        :param condition: a function that tells whether it holds.
        :param seconds: the timeout.
        :return: None.
        :raises TimeoutError: when the condition does not hold in time.
        """
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"the condition did not hold within {seconds} s")
            self.loop._generate_events(generate_events(Lock(), _POLL_SECONDS))

    def ask(self, start, *args, **options):
        """Call a function that takes an ``on_done`` callback and return the callback's argument."""
        results = []
        start(*args, on_done=results.append, **options)
        self.run_until(lambda: results)
        return results[0]
