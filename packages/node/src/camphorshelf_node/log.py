"""The node's log: one line for each routing and placement decision, written in batches.

A line through logbook costs some 30 us, a tenth of a call. So a decision is only noted when it is
made, and a few times a second all that were noted go through logbook as one record.
"""

import time
import traceback

import logbook

FORMAT = "{record.message}"
_FLUSH_SECONDS = 0.25
_MAX_NOTED = 5_000


class Log:
    """Writes structured lines of ``key=value`` through logbook."""

    def __init__(self, name, loop=None, level="INFO", note_decision=None):
        self._logger = logbook.Logger(name, level=logbook.lookup_level(level))
        self._name = name
        self._loop = loop
        self._note_decision = note_decision
        self._noted = []
        self._decides = self._logger.level <= logbook.INFO

    def decision(self, kind, **fields):
        """Note the line of a routing or placement decision.

        :param kind: what was decided.
        :param fields: the reasons.
        :return: None.
        """
        if self._note_decision is not None:
            self._note_decision(kind, fields)
        if self._decides:
            self._note("info", kind, fields)

    def info(self, text):
        """Write a line about the node itself.

        :param text: one sentence.
        :return: None.
        """
        if self._decides:
            self._note("info", "node", {"text": repr(text)})
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
        noted, self._noted = self._noted, []
        if noted:
            lines = [_format(when, level, self._name, *rest) for when, level, *rest in noted]
            self._logger.info("\n".join(lines))

    def _note(self, level, kind, fields):
        noted = self._noted
        noted.append((time.time(), level, kind, fields))
        if self._loop is None or len(noted) >= _MAX_NOTED:
            self.flush()
        elif len(noted) == 1:
            self._loop.call_later(_FLUSH_SECONDS, self.flush)


def _format(when, level, name, kind, fields):
    moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(when))
    start = f"time={moment}.{int(when % 1 * 1000):03d}Z level={level} node={name} event={kind}"
    return " ".join([start, *[f"{key}={value}" for key, value in fields.items()]])
