"""Keeps the node's last decisions, so that operators can ask why a call went where it did."""

import time
from collections import deque
from typing import NamedTuple


class Decision(NamedTuple):
    """One routing or placement decision; ``at`` is the wall clock's time."""

    at: float
    kind: str
    fields: dict


class DecisionLog:
    """The newest decisions in a ring of fixed size, so that its memory is bounded."""

    def __init__(self, limit):
        self._decisions = deque(maxlen=limit)

    def __len__(self):
        return len(self._decisions)

    def record(self, kind, fields):
        """Keep a decision in place of the oldest one.

        :param kind: what was decided.
        :param fields: its reasons.
        :return: None.
        """
        self._decisions.append(Decision(time.time(), kind, fields))

    def find(self, call):
        """Find the decisions about a call.

        :param call: the id that its answer carried.
        :return: a list of :class:`Decision`, oldest first.
        """
        return [decision for decision in self._decisions if decision.fields.get("call") == call]
