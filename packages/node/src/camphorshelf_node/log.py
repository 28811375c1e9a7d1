"""The node's log: one line for each routing and placement decision."""

import logbook


class Log:
    """Writes structured lines through logbook."""

    def __init__(self, name, decisions):
        self._logger = logbook.Logger(name)
        self._decisions = decisions

    def decision(self, kind, **fields):
        """Write the line of a routing or placement decision.

        :param kind: what was decided.
        :param fields: the reasons.
        :return: None.
        """
        self._decisions.note(kind, fields)
        if self._logger.level <= logbook.DEBUG:
            self._logger.debug("{} {}", kind, " ".join(f"{k}={v}" for k, v in fields.items()))

    def error(self, error):
        """Write the line of an error that was answered for, with its traceback.

        :param error: the exception.
        :return: None.
        """
        self._logger.error("{!r}", error, exc_info=(type(error), error, error.__traceback__))

    def info(self, text):
        """Write a line about the node itself.

        :param text: one sentence.
        :return: None.
        """
        self._logger.info(text)
