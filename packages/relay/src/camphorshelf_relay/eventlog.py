"""Structured, rate-limited and non-blocking logging to standard output, one JSON object per line.

Each line records one event with the inputs of the decision behind it. Under load, lines about
successful requests are dropped first. Dropped lines are counted, and the counts are logged.
"""

import json
import os
import time

import logbook

from camphorshelf_core.budget import TokenBucket

_FLUSH_SECONDS = 0.2
# Rate limits, in lines per second. They bound the CPU time and the volume of the log.
_ROUTINE_PER_SECOND = 60
_NOTABLE_PER_SECOND = 200
# While standard output is blocked, lines are buffered up to this size. Beyond it, the oldest lines
# are dropped.
_MAX_BUFFERED_BYTES = 512 * 1024


class EventLog:
    """Buffers events and writes them a few times per second without blocking.

    :param loop: the node's :class:`~camphorshelf_node.loop.Loop`.
    :param host: the host's name, written on each line.
    :param descriptor: the file descriptor to write to; it is made non-blocking.
    """

    def __init__(self, loop, host, descriptor=1):
        self._loop = loop
        self._host = host
        self._lines = []
        self._routine_bucket = TokenBucket(_ROUTINE_PER_SECOND, _ROUTINE_PER_SECOND, loop.now())
        self._notable_bucket = TokenBucket(_NOTABLE_PER_SECOND, _NOTABLE_PER_SECOND, loop.now())
        self._handler = _DescriptorHandler(descriptor)
        self._logger = logbook.Logger(host)
        self._is_flush_scheduled = False
        self.counts = {"rate": 0, "unread": 0}
        self._logged_drop_count = 0

    @property
    def unwritten_bytes(self):
        """The number of buffered bytes that standard output has not accepted yet."""
        return self._handler.unwritten_bytes

    def routine(self, event, **fields):
        """Log a successful decision; dropped first under load.

        :param event: the event's name.
        :param fields: the inputs and the result of the decision.
        :return: None.
        """
        self._record(self._routine_bucket, event, fields)

    def notable(self, event, **fields):
        """Log a failed request or a change of this node's state.

        :param event: the event's name.
        :param fields: the inputs and the result of the decision.
        :return: None.
        """
        self._record(self._notable_bucket, event, fields)

    def fault(self, text):
        """Log an unhandled exception in the node's own code.

        :param text: its traceback.
        :return: None.
        """
        self.notable("fault", traceback=str(text))

    def flush(self):
        """Write the buffered lines, as far as standard output accepts them.

        :return: None.
        """
        self._is_flush_scheduled = False
        dropped = sum(self.counts.values())
        if dropped != self._logged_drop_count:
            self._append("lines_dropped", dict(self.counts))
            self._logged_drop_count = dropped
        lines, self._lines = self._lines, []
        if lines:
            with self._handler.threadbound():
                self._logger.info("\n".join(lines))
        else:
            self._handler.flush_buffer()
        self.counts["unread"] += self._handler.take_drop_count()
        if self._handler.unwritten_bytes:
            self._schedule_flush()

    def _record(self, bucket, event, fields):
        if not bucket.spend(1, self._loop.now()):
            self.counts["rate"] += 1
            return
        self._append(event, fields)
        self._schedule_flush()

    def _schedule_flush(self):
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.call_later(_FLUSH_SECONDS, self.flush)

    def _append(self, event, fields):
        line = {"time": round(time.time(), 4), "host": self._host, "event": event, **fields}
        self._lines.append(json.dumps(line, default=str, separators=(",", ":")))


class _DescriptorHandler(logbook.Handler):
    """Writes lines to a non-blocking file descriptor, which may be a pipe without a reader."""

    def __init__(self, descriptor):
        super().__init__()
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._drop_count = 0
        self._is_line_incomplete = False
        os.set_blocking(descriptor, False)

    @property
    def unwritten_bytes(self):
        """The number of buffered bytes that the descriptor has not accepted yet."""
        return len(self._buffer)

    def take_drop_count(self):
        """Return the number of lines dropped since the last call, and reset it.

        :return: the number of lines.
        """
        dropped, self._drop_count = self._drop_count, 0
        return dropped

    def emit(self, record):
        """Write a record, or buffer it while the descriptor is blocked.

        :param record: logbook's record; its message is one or more lines.
        :return: None.
        """
        self._buffer += record.message.encode() + b"\n"
        self._write()
        if len(self._buffer) > _MAX_BUFFERED_BYTES:
            self._drop_oldest()

    def flush_buffer(self):
        """Write the buffered bytes, as far as the descriptor accepts them.

        :return: None.
        """
        if self._buffer:
            self._write()

    def _write(self):
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end. Nobody is left to report this to, so the lines are
            # discarded.
            written = len(self._buffer)
        if written:
            self._is_line_incomplete = self._buffer[written - 1 : written] != b"\n"
        del self._buffer[:written]

    def _drop_oldest(self):
        # Drops about half of the buffer. The newest lines are kept because they are the most
        # useful ones. The rest of a partly written line is kept too, so that the next line doesn't
        # continue it.
        start = self._buffer.find(b"\n") + 1 if self._is_line_incomplete else 0
        cut = self._buffer.find(b"\n", max(start, len(self._buffer) // 2)) + 1
        self._drop_count += self._buffer.count(b"\n", start, cut)
        del self._buffer[start:cut]
