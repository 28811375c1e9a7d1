"""The node's log: one line for each routing and placement decision."""

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
