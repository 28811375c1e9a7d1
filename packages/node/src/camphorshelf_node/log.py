"""The node's log: one line for each routing and placement decision, written in batches.

A logbook record takes about 30 us, a tenth of the time for a call. So the lines of decisions are
buffered, and several times a second all buffered lines are written as one record.
"""

import time
import traceback

import logbook

FORMAT = "{record.message}"
_FLUSH_SECONDS = 0.25
_MAX_BUFFERED_LINES = 5_000


class Log:
    """Writes structured log lines of ``key=value`` pairs."""

    def __init__(self, name, loop=None, level="INFO", record_decision=None):
        self._logger = logbook.Logger(name, level=logbook.lookup_level(level))
        self._name = name
        self._loop = loop
        self._record_decision = record_decision
        self._buffered = []
        self._is_info_enabled = self._logger.level <= logbook.INFO

    def decision(self, kind, **fields):
        """Buffer the line of a routing or placement decision.

        :param kind: the kind of decision, which becomes the line's event.
        :param fields: the decision's inputs and result.
        :return: None.
        """
        if self._record_decision is not None:
            self._record_decision(kind, fields)
        if self._is_info_enabled:
            self._append("info", kind, fields)

    def notable(self, event, **fields):
        """Buffer the line of a change of the node's state.

        :param event: the event's name.
        :param fields: its fields.
        :return: None.
        """
        if self._is_info_enabled:
            self._append("info", event, fields)

    def info(self, text):
        """Write a line about the node itself.

        :param text: the message, one sentence.
        :return: None.
        """
        if self._is_info_enabled:
            self._append("info", "node", {"text": repr(text)})
            self.flush()

    def fault(self, error):
        """Write the traceback of a fault in the node's own code.

        :param error: the exception, or its formatted traceback.
        :return: None.
        """
        if isinstance(error, BaseException):
            error = "".join(traceback.format_exception(error))
        self.flush()
        line = _format(time.time(), "error", self._name, "fault", {})
        self._logger.error(f"{line}\n{error.rstrip()}")

    def flush(self):
        """Write the buffered lines.

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
