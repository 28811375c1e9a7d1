"""The node's log: one line for each routing and placement decision, written in batches.

A line through logbook costs some 30 us, a tenth of a call. So a decision is only noted when it is
made, and a few times a second all that were noted go through logbook as one record.
"""

import time
import traceback

import logbook

FORMAT = "{record.message}"
_FLUSH_SECONDS = 0.25
_MAX_BUFFERED_LINES = 5_000


class Log:
    """Writes structured lines of ``key=value`` through logbook."""

    def __init__(self, name, loop=None, level="INFO", record_decision=None):
        self._logger = logbook.Logger(name, level=logbook.lookup_level(level))
        self._name = name
        self._loop = loop
        self._record_decision = record_decision
        self._buffered = []
        self._is_info_enabled = self._logger.level <= logbook.INFO

    def decision(self, kind, **fields):
        """Note the line of a routing or placement decision.

        :param kind: what was decided.
        :param fields: the reasons.
        :return: None.
        """
        if self._record_decision is not None:
            self._record_decision(kind, fields)
        if self._is_info_enabled:
            self._append("info", kind, fields)

    def info(self, text):
        """Write a line about the node itself.

        :param text: one sentence.
        :return: None.
        """
        if self._is_info_enabled:
            self._append("info", "node", {"text": repr(text)})
            self.flush()

    def fault(self, error):
        """Write what a fault in the node's own code left, for its developers.

        :param error: an exception or the text of its traceback.
        :return: None.
        """
        if isinstance(error, BaseException):
            error = "".join(traceback.format_exception(error))
        self.flush()
        line = _format(time.time(), "error", self._name, "fault", {})
        self._logger.error(f"{line}\n{error.rstrip()}")

    def flush(self):
        """Write what was noted.

        :return: None.
        """
        buffered, self._buffered = self._buffered, []
        if buffered:
            lines = [_format(at, level, self._name, *rest) for at, level, *rest in buffered]
            self._logger.info("\n".join(lines))

    def _append(self, level, kind, fields):
        buffered = self._buffered
        buffered.append((time.time(), level, kind, fields))
        if self._loop is None or len(buffered) >= _MAX_BUFFERED_LINES:
            self.flush()
        elif len(buffered) == 1:
            self._loop.call_later(_FLUSH_SECONDS, self.flush)


def _format(at, level, name, kind, fields):
    timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(at))
    prefix = f"time={timestamp}.{int(at % 1 * 1000):03d}Z level={level} node={name} event={kind}"
    return " ".join([prefix, *[f"{key}={value}" for key, value in fields.items()]])
