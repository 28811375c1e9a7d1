"""Writes claims to the platform's table in batches, one transaction per batch.

A transaction costs the platform about as much as a single write, so claims that arrive within a few
milliseconds are written together. A claim whose condition fails cancels the whole transaction; the
response says which one failed, and the others are written again at once without it.
"""

from collections import deque

from camphorshelf_core.claimrecords import pack_record
from camphorshelf_core.table import WriteOutcome

from .rows import Put

_MAX_RETRIES = 4
_MAX_MARKS = 4_096
_MARK_DELAY_SECONDS = 0.2
_MAX_MARKS_PER_BATCH = 25
_SECONDS_PER_HOUR = 3_600


class ClaimWriter:
    """Batches writes of claims that a caller waits for, and marks that nobody waits for.

    A mark writes the final state of a settled claim. ``marks_dropped`` counts marks that were
    dropped because too many were waiting.
    """

    def __init__(self, loop, settings, platform, next_mark):
        self._loop = loop
        self._settings = settings
        self._platform = platform
        self._next_mark = next_mark
        self._writes = []
        self._timer = None
        self._marks = deque()
        self._is_marking = False
        self.in_flight = 0
        self.marks_dropped = 0

    @property
    def marks(self):
        """The number of marks that wait to be written."""
        return len(self._marks)

    def write(self, action, on_done):
        """Add a claim to the next batch.

        :param action: the :class:`~camphorshelf_core.claimactions.WriteClaim`.
        :param on_done: called with the :class:`~camphorshelf_core.table.WriteResult`.
        :return: None.
        """
        self._writes.append((self._make_put(action), on_done, 0))
        if not self.in_flight or len(self._writes) >= self._settings.batch_items:
            self._flush()
        elif self._timer is None:
            self._timer = self._loop.call_later(self._settings.batch_ms / 1000, self._flush)

    def mark(self, action):
        """Write a settled claim's state in the background.

        :param action: the :class:`~camphorshelf_core.claimactions.MarkClaim`.
        :return: None.
        """
        if len(self._marks) >= _MAX_MARKS:
            # A platform outage must not fill the node's memory. A claim without its mark is safe:
            # after its node has gone, requests with its key are answered OUTCOME_UNKNOWN.
            self._marks.popleft()
            self.marks_dropped += 1
        self._marks.append(action)
        self._schedule_marks()

    def _flush(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._writes:
            batch, self._writes = _take_batch(self._writes, self._settings.batch_items)
            self._send(batch)

    def _send(self, batch):
        self.in_flight += 1

        def done(results):
            self.in_flight -= 1
            self._on_results(batch, results)

        self._platform.put_all_if([put for put, _, _ in batch], done)

    def _on_results(self, batch, results):
        is_cancelled = any(result.outcome is WriteOutcome.LOST for result in results)
        to_retry = []
        for (put, on_done, retries), result in zip(batch, results, strict=True):
            if (
                is_cancelled
                and result.outcome is WriteOutcome.NOT_APPLIED
                and retries < _MAX_RETRIES
            ):
                to_retry.append((put, on_done, retries + 1))
            else:
                on_done(result)
        self._writes = to_retry + self._writes
        self._flush()

    def _schedule_marks(self):
        if not self._is_marking and self._marks:
            self._is_marking = True
            self._loop.call_later(_MARK_DELAY_SECONDS, self._send_marks)

    def _send_marks(self):
        entries = [(self._make_put(mark), mark, 0) for mark in self._marks]
        batch, remaining = _take_batch(entries, _MAX_MARKS_PER_BATCH)
        self._marks = deque(mark for _, mark, _ in remaining)
        puts = [put for put, _, _ in batch]
        marks = [mark for _, mark, _ in batch]
        self._platform.put_all_if(
            puts, lambda results: self._on_marks_written(marks, results), background=True
        )

    def _on_marks_written(self, marks, results):
        self._is_marking = False
        for mark, result in zip(marks, results, strict=True):
            next_mark = self._next_mark(mark, result)
            if next_mark is not None:
                self._marks.append(next_mark)
        self._schedule_marks()

    def _make_put(self, action):
        key, record = action.key, action.record
        now = self._platform.time
        # Rows expire by the table's clock, which is unknown before the platform's first response. A
        # row that never expires is safe; one that expires too early is not.
        lifetime = self._settings.retention_hours * _SECONDS_PER_HOUR
        expires = None if now is None else int(now) + lifetime
        data = pack_record(record)
        partition = claim_partition(key.service)
        return Put(partition, key.key, data, action.version, action.expected, expires=expires)


def claim_partition(service):
    """Return the partition of the table that contains a service's claims.

    :param service: the service's name.
    :return: the partition's name.
    """
    return f"claim/{service}"


def _take_batch(entries, limit):
    """Split off a batch of different rows: a transaction must not write the same row twice."""
    batch, remaining, row_names = [], [], set()
    for entry in entries:
        row_name = entry[0].partition, entry[0].key
        if len(batch) < limit and row_name not in row_names:
            batch.append(entry)
            row_names.add(row_name)
        else:
            remaining.append(entry)
    return batch, remaining
