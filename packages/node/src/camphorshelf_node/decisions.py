"""Keeps the node's latest decisions, so that operators can ask why a call was routed as it was."""

import time
from collections import deque
from typing import NamedTuple


class Decision(NamedTuple):
    """A routing or placement decision; ``at`` is Unix time in seconds."""

    at: float
    kind: str
    fields: dict


class DecisionLog:
    """The latest decisions, in a ring buffer of fixed size."""

    def __init__(self, limit):
        self._decisions = deque(maxlen=limit)

    def __len__(self):
        return len(self._decisions)

    def record(self, kind, fields):
        """Add a decision; if the log is full, the oldest one is dropped.

        :param kind: the kind of decision.
        :param fields: the decision's inputs and result.
        :return: None.
        """
        self._decisions.append(Decision(time.time(), kind, fields))

    def find(self, call):
        """Find the decisions about a call.

        :param call: the call's id, which its response contains.
        :return: a list of :class:`Decision`, oldest first.
        """
        return [decision for decision in self._decisions if decision.fields.get("call") == call]
