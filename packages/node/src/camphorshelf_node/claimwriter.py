"""Writes claims to the platform's table, several in one transaction.

A transaction costs the platform about what one write costs, so claims that come within a few
milliseconds go together. A claim that loses its condition cancels the transaction for all; the
others, which the answer tells apart, go again at once without it.
"""

from collections import deque

from camphorshelf_core.claimrecords import pack_record
from camphorshelf_core.table import WriteOutcome

from .rows import Put

_MAX_TRIES = 4
_MAX_MARKS = 4_096
_MARK_SECONDS = 0.2
_MARK_BATCH = 25
_SECONDS_PER_HOUR = 3_600


class ClaimWriter:
    """Batches the writes that someone waits for, and the marks that nobody does."""

    def __init__(self, loop, settings, platform, next_mark):
        self._loop = loop
        self._settings = settings
        self._platform = platform
        self._next_mark = next_mark
        self._writes = []
        self._timer = None
        self._marks = deque()
        self._marking = False
        self.in_flight = 0
        self.marks_dropped = 0

    @property
    def marks(self):
        """How many marks wait to be written."""
        return len(self._marks)

    def write(self, action, on_done):
        """Write a claim soon.

        :param action: the :class:`~camphorshelf_core.claimactions.WriteClaim`.
        :param on_done: takes the :class:`WriteResult`.
        :return: None.
        """
        self._writes.append((self._make_put(action), on_done, 0))
        if not self.in_flight or len(self._writes) >= self._settings.batch_items:
            self._flush()
        elif self._timer is None:
            self._timer = self._loop.call_later(self._settings.batch_ms / 1000, self._flush)

    def mark(self, action):
        """Write a settled claim's state when there is time.

        :param action: the :class:`~camphorshelf_core.claimactions.MarkClaim`.
        :return: None.
        """
        if len(self._marks) >= _MAX_MARKS:
            # Without its mark a claim of a node that is gone answers OUTCOME_UNKNOWN for ever;
            # that is safe, and a platform that is down must not fill the node's memory.
            self._marks.popleft()
            self.marks_dropped += 1
        self._marks.append(action)
        self._plan_marks()

    def _flush(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._writes:
            batch, self._writes = _take_batch(self._writes, self._settings.batch_items)
            self._send(batch)

    def _send(self, batch):
        self.in_flight += 1

        def done(outcomes):
            self.in_flight -= 1
            self._on_outcomes(batch, outcomes)

        self._platform.put_all_if([put for put, _, _ in batch], done)

    def _on_outcomes(self, batch, outcomes):
        is_cancelled = any(written.outcome is WriteOutcome.LOST for written in outcomes)
        again = []
        for (put, on_done, tries), written in zip(batch, outcomes, strict=True):
            if is_cancelled and written.outcome is WriteOutcome.NOT_APPLIED and tries < _MAX_TRIES:
                again.append((put, on_done, tries + 1))
            else:
                on_done(written)
        self._writes = again + self._writes
        self._flush()

    def _plan_marks(self):
        if not self._marking and self._marks:
            self._marking = True
            self._loop.call_later(_MARK_SECONDS, self._send_marks)

    def _send_marks(self):
        entries = [(self._make_put(mark), mark, 0) for mark in self._marks]
        batch, rest = _take_batch(entries, _MARK_BATCH)
        self._marks = deque(mark for _, mark, _ in rest)
        puts = [put for put, _, _ in batch]
        marks = [mark for _, mark, _ in batch]
        self._platform.put_all_if(puts, lambda done: self._on_marked(marks, done), background=True)

    def _on_marked(self, marks, outcomes):
        self._marking = False
        for mark, written in zip(marks, outcomes, strict=True):
            following = self._next_mark(mark, written)
            if following is not None:
                self._marks.append(following)
        self._plan_marks()

    def _make_put(self, action):
        key, record = action.key, action.record
        now = self._platform.time
        # The table's own clock decides when a row goes. Before its first answer that clock is
        # not known here, and a row without an end is safe where one that ends early is not.
        lifetime = self._settings.retention_hours * _SECONDS_PER_HOUR
        expires = None if now is None else int(now) + lifetime
        data = pack_record(record)
        partition = partition_of(key.service)
        return Put(partition, key.key, data, action.version, action.expected, expires=expires)


def partition_of(service):
    """Name the partition of a service's claims.

    :param service: its name.
    :return: the partition.
    """
    return f"claim/{service}"


def _take_batch(entries, limit):
    """Take rows that differ; a transaction may not name one row twice."""
    batch, rest, seen = [], [], set()
    for entry in entries:
        name = entry[0].partition, entry[0].key
        if len(batch) < limit and name not in seen:
            batch.append(entry)
            seen.add(name)
        else:
            rest.append(entry)
    return batch, rest
