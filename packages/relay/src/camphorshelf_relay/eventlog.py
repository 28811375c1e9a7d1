"""Structured logs on standard output: one JSON object a line, bounded, and never in the way.

A line says one decision with the inputs that made it. Lines of requests that went well are the
first to be left out when there are many; what is left out is counted and said.
"""

import json
import os
import time

import logbook

from camphorshelf_core.budget import TokenBucket

_FLUSH_SECONDS = 0.2
# Bounds on the processor time and the bytes of the log.
_ROUTINE_PER_SECOND = 60
_NOTABLE_PER_SECOND = 200
# What standard output does not take is kept up to here, then the oldest lines go.
_MAX_UNWRITTEN = 512 * 1024


class EventLog:
    """Notes events at once and writes them a few times a second, without ever blocking."""

    def __init__(self, loop, host, descriptor=1):
        self._loop = loop
        self._host = host
        self._lines = []
        self._routine = TokenBucket(_ROUTINE_PER_SECOND, _ROUTINE_PER_SECOND, loop.now())
        self._notable = TokenBucket(_NOTABLE_PER_SECOND, _NOTABLE_PER_SECOND, loop.now())
        self._handler = _Descriptor(descriptor)
        self._logger = logbook.Logger(host)
        self._flushing = False
        self.counts = {"rate": 0, "unread": 0}
        self._dropped_said = 0

    @property
    def unwritten(self):
        """How many bytes wait for a reader of standard output."""
        return self._handler.unwritten

    def routine(self, event, **fields):
        """Note a decision that went well; may be left out under load.

        :param event: the event's name.
        :param fields: what decided it and what came of it.
        :return: None.
        """
        self._note(self._routine, event, fields)

    def notable(self, event, **fields):
        """Note a failed request, or a change of what this node believes.

        :param event: the event's name.
        :param fields: what decided it and what came of it.
        :return: None.
        """
        self._note(self._notable, event, fields)

    def fault(self, text):
        """Note a fault in the node's own code.

        :param text: its traceback.
        :return: None.
        """
        self.notable("fault", traceback=str(text))

    def flush(self):
        """Write what was noted as far as standard output takes it.

        :return: None.
        """
        self._flushing = False
        dropped = sum(self.counts.values())
        if dropped != self._dropped_said:
            self._append("lines_dropped", dict(self.counts))
            self._dropped_said = dropped
        lines, self._lines = self._lines, []
        if lines:
            with self._handler.threadbound():
                self._logger.info("\n".join(lines))
        else:
            self._handler.go_on()
        self.counts["unread"] += self._handler.take_dropped()
        if self._handler.unwritten:
            self._arm()

    def _note(self, bucket, event, fields):
        if not bucket.spend(1, self._loop.now()):
            self.counts["rate"] += 1
            return
        self._append(event, fields)
        self._arm()

    def _arm(self):
        if not self._flushing:
            self._flushing = True
            self._loop.call_later(_FLUSH_SECONDS, self.flush)

    def _append(self, event, fields):
        line = {"time": round(time.time(), 4), "host": self._host, "event": event, **fields}
        self._lines.append(json.dumps(line, default=str, separators=(",", ":")))


class _Descriptor(logbook.Handler):
    """Writes whole lines to a descriptor that may be a pipe which nobody reads."""

    def __init__(self, descriptor):
        super().__init__()
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._dropped = 0
        self._is_in_line = False
        os.set_blocking(descriptor, False)

    @property
    def unwritten(self):
        """How many bytes wait for the reader."""
        return len(self._waiting)

    def take_dropped(self):
        """Count the lines that were dropped since the last call.

        :return: how many.
        """
        dropped, self._dropped = self._dropped, 0
        return dropped

    def emit(self, record):
        """Write a record, or keep it until the reader takes it.

        :param record: logbook's record; its message is one or more lines.
        :return: None.
        """
        self._waiting += record.message.encode() + b"\n"
        self._write()
        if len(self._waiting) > _MAX_UNWRITTEN:
            self._drop()

    def go_on(self):
        """Write what waits, as far as the reader takes it.

        :return: None.
        """
        if self._waiting:
            self._write()

    def _write(self):
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone for good; there is nowhere left to say so.
            written = len(self._waiting)
        if written:
            self._is_in_line = self._waiting[written - 1 : written] != b"\n"
        del self._waiting[:written]

    def _drop(self):
        # The newest lines stay: they are the ones that somebody will ask for. So does the rest of
        # a line that was written in part, or the next one would continue it.
        start = self._waiting.find(b"\n") + 1 if self._is_in_line else 0
        cut = self._waiting.find(b"\n", max(start, len(self._waiting) // 2)) + 1
        self._dropped += self._waiting.count(b"\n", start, cut)
        del self._waiting[start:cut]
