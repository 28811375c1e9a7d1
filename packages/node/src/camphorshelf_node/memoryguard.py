"""Applies the decisions of the memory budget: whoever has to go is told so, counted and logged."""

from typing import NamedTuple

from camphorshelf_core.memorybudget import (
    PROGRESS_SECONDS,
    Cause,
    MemoryBudget,
    find_limit_bytes,
)

from .countedlines import CountedLines


class Holder(NamedTuple):
    """Who holds bytes from outside.

    :param listener: where they come from, for the log and the metrics.
    :param shed: called without arguments when the holder has to go; it must release what it holds.
    """

    listener: str
    shed: object


class MemoryGuard:
    """The memory budget of one process.

    :param loop: the node's loop.
    :param log: the log, with a method ``notable``.
    :param memory_mb: the memory of the process, in MB; None if it is not known.
    """

    def __init__(self, loop, log, memory_mb):
        self._loop = loop
        self._lines = CountedLines(loop, log)
        self._budget = MemoryBudget(find_limit_bytes(memory_mb))
        self._is_making_room = False
        # How often a holder had to go, by listener and cause.
        self.counts = {}

    @property
    def held_bytes(self):
        """How many bytes from outside are held."""
        return self._budget.held_bytes

    @property
    def limit_bytes(self):
        """How many bytes from outside may be held."""
        return self._budget.limit_bytes

    @property
    def shed_count(self):
        """How often a holder had to go."""
        return sum(self.counts.values())

    def open(self, listener, shed):
        """Open an account.

        :param listener: where the bytes come from, for the log and the metrics.
        :param shed: as for :class:`Holder`.
        :return: the :class:`~camphorshelf_core.memorybudget.Account`.
        """
        return self._budget.open(Holder(listener, shed), self._loop.now())

    def hold(self, account, size, phase, moved_bytes):
        """Record what an account holds; if that is too much, some accounts have to go.

        :param account: the account, which may be among those that go.
        :param size: the number of bytes.
        :param phase: the :class:`~camphorshelf_core.memorybudget.Phase`.
        :param moved_bytes: how many bytes have arrived or were delivered in this phase, in total.
        :return: whether there is room for the account now.
        """
        is_exceeded = self._budget.hold(account, size, phase, moved_bytes, self._loop.now())
        if is_exceeded and not self._is_making_room:
            self._make_room(account)
        return not self._budget.is_exceeded(account)

    def close(self, account):
        """Close an account.

        :param account: the account.
        :return: None.
        """
        self._budget.close(account)

    def is_stalled(self, account, seconds=PROGRESS_SECONDS):
        """Tell whether an account has made too little progress lately.

        :param account: the account.
        :param seconds: for how long, in seconds.
        :return: True or False.
        """
        return account.is_stalled(self._loop.now(), seconds)

    def record_shed(self, account, cause):
        """Count and log that a holder has to go.

        :param account: its account.
        :param cause: the :class:`~camphorshelf_core.memorybudget.Cause`.
        :return: None.
        """
        key = account.holder.listener, cause.value
        self.counts[key] = self.counts.get(key, 0) + 1
        self._lines.record(
            "connection_shed",
            listener=account.holder.listener,
            cause=cause.value,
            phase=account.phase.value,
            bytes=account.held_bytes,
            stalled=account.is_stalled(self._loop.now()),
            held_bytes=self._budget.held_bytes,
            limit_bytes=self._budget.limit_bytes,
        )

    def _make_room(self, account):
        # Whoever is told to go may report what it holds before it returns.
        self._is_making_room = True
        try:
            while self._budget.is_exceeded(account):
                excess = self._budget.find_excess(self._loop.now())
                if excess is None:
                    return
                held_bytes = excess.held_bytes
                self.record_shed(excess, Cause.MEMORY)
                excess.holder.shed()
                if excess.held_bytes >= held_bytes:
                    self._budget.close(excess)
        finally:
            self._is_making_room = False
