"""Decides who has to go when the bytes from outside exceed the memory of a node.

It answers the load of clients that send requests of legal size, many of them at once, and stop just
short of their end, or don't read what they requested. A limit for each place where a node holds
bytes can't bound their sum, so all holders share one budget.
"""

from enum import Enum

# A host that does not tell its memory.
DEFAULT_MEMORY_MB = 300
_MEGABYTE = 1_000_000
# What a node's process takes before it holds anything.
_IDLE_BYTES = 48 * _MEGABYTE
# The rest is for copies that live for one call, gaps of the allocator and the kernel's buffers.
_BUDGET_SHARE = 0.5
_MIN_BUDGET_BYTES = 8 * _MEGABYTE
# Only accounts of at most this size may use the reserve.
SMALL_BYTES = 64 * 1024
_RESERVE_SHARE = 1 / 16
_MIN_PROGRESS_BYTES = 16 * 1024
PROGRESS_SECONDS = 2.0
# A header line costs a tuple with two byte strings, whatever its length.
_HEADER_LINE_BYTES = 160
# How long callers that were refused for lack of memory should wait.
RETRY_AFTER_MS = 1_000


class Phase(Enum):
    """What the bytes of an account wait for."""

    ARRIVING = "arriving"
    WAITING = "waiting"
    DELIVERING = "delivering"


class Cause(Enum):
    """Which resource was short when an account had to go."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


def find_limit_bytes(memory_mb):
    """Compute how many bytes from outside a node may hold.

    :param memory_mb: the memory of the process, in MB; None if it is not known.
    :return: the number of bytes.
    """
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * _MEGABYTE
    return int(max(_MIN_BUDGET_BYTES, (memory_bytes - _IDLE_BYTES) * _BUDGET_SHARE))


def estimate_headers(headers):
    """Estimate the memory that headers take as objects.

    :param headers: pairs of name and value, as bytes.
    :return: the number of bytes.
    """
    return sum([_HEADER_LINE_BYTES + len(name) + len(value) for name, value in headers])


class Account:
    """What one holder holds, and when it last made progress.

    :param holder: any object that stands for the holder.
    :param now: the current time in seconds.
    """

    __slots__ = ("holder", "held_bytes", "phase", "_moved_bytes", "_moved_at")

    def __init__(self, holder, now):
        self.holder = holder
        self.held_bytes = 0
        self.phase = Phase.ARRIVING
        self._moved_bytes = 0
        self._moved_at = now

    def update(self, size, phase, moved_bytes, now):
        """Record what the holder holds, see :meth:`MemoryBudget.hold`."""
        has_moved = moved_bytes - self._moved_bytes >= _MIN_PROGRESS_BYTES
        if has_moved or phase is not self.phase or not self.held_bytes:
            self._moved_bytes, self._moved_at = moved_bytes, now
        self.held_bytes = size
        self.phase = phase

    def is_stalled(self, now, seconds=PROGRESS_SECONDS):
        """Tell whether the holder has made too little progress lately.

        :param now: the current time in seconds.
        :param seconds: for how long, in seconds.
        :return: True or False.
        """
        return now - self._moved_at > seconds


class MemoryBudget:
    """Counts what all accounts hold, and chooses who has to go.

    :param limit_bytes: how many bytes all accounts may hold together.
    """

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._reserve_bytes = int(limit_bytes * _RESERVE_SHARE)
        self._accounts = {}
        self._held_bytes = 0

    @property
    def limit_bytes(self):
        """How many bytes all accounts may hold together."""
        return self._limit_bytes

    @property
    def held_bytes(self):
        """How many bytes all accounts hold together."""
        return self._held_bytes

    def open(self, holder, now):
        """Open an account.

        :param holder: any object that stands for the holder.
        :param now: the current time in seconds.
        :return: the :class:`Account`.
        """
        return Account(holder, now)

    def hold(self, account, size, phase, moved_bytes, now):
        """Record how many bytes a holder holds.

        :param account: its :class:`Account`.
        :param size: the number of bytes.
        :param phase: what they wait for, a :class:`Phase`.
        :param moved_bytes: how many bytes have arrived or were delivered in this phase, in total.
        :param now: the current time in seconds.
        :return: whether the budget is exceeded.
        """
        self._held_bytes += size - account.held_bytes
        account.update(size, phase, moved_bytes, now)
        if size:
            self._accounts[account] = None
        else:
            self._accounts.pop(account, None)
        return self.is_exceeded(account)

    def close(self, account):
        """Record that a holder holds nothing any more.

        :param account: its :class:`Account`.
        :return: None.
        """
        self._held_bytes -= account.held_bytes
        account.held_bytes = 0
        self._accounts.pop(account, None)

    def is_exceeded(self, account):
        """Tell whether there is no room for what an account holds.

        :param account: the :class:`Account` that has grown.
        :return: True or False; a small account may use the reserve.
        """
        is_small = account.held_bytes <= SMALL_BYTES
        limit_bytes = self._limit_bytes - (0 if is_small else self._reserve_bytes)
        return self._held_bytes > limit_bytes

    def find_excess(self, now):
        """Choose the account that has to go.

        A complete request may be running, and closing its connection would promise nothing to its
        caller, so it stays until its deadline.

        :param now: the current time in seconds.
        :return: the :class:`Account`; None if all that is held waits for responses.
        """
        candidates = [one for one in self._accounts if one.phase is not Phase.WAITING]
        return max(candidates, key=lambda one: (one.is_stalled(now), one.held_bytes), default=None)
