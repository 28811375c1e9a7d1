"""The node's log: one line for each routing and placement decision."""

import traceback

import logbook


class Log:
    """Writes structured lines through logbook."""

    def __init__(self, name):
        self._logger = logbook.Logger(name)

    def decision(self, kind, **fields):
        """Write the line of a routing or placement decision.

        :param kind: what was decided.
        :param fields: the reasons.
        :return: None.
        """
        if self._logger.level <= logbook.DEBUG:
            self._logger.debug("{} {}", kind, " ".join(f"{k}={v}" for k, v in fields.items()))

    def info(self, text):
        """Write a line about the node itself.

        :param text: one sentence.
        :return: None.
        """
        self._logger.info(text)

    def fault(self, error):
        """Write what a fault in the node's own code left, for its developers.

        :param error: an exception or the text of its traceback.
        :return: None.
        """
        if isinstance(error, BaseException):
            error = "".join(traceback.format_exception(error))
        self._logger.error("fault inside the node: {}", error)
