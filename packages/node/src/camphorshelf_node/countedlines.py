"""Log lines of a frequent event, at most one a second, with the number of events."""

_INTERVAL_SECONDS = 1.0


class CountedLines:
    """Logs at most one line a second and counts the events that the line stands for.

    :param loop: the node's loop.
    :param log: the log, with a method ``notable``.
    """

    def __init__(self, loop, log):
        self._loop = loop
        self._log = log
        self._count = 0
        self._latest = None
        self._is_timer_running = False

    def record(self, event, **fields):
        """Log an event now, or together with later ones when a second has passed.

        :param event: the event's name.
        :param fields: its fields; a line has those of the latest event and ``count``.
        :return: None.
        """
        self._count += 1
        self._latest = event, fields
        if not self._is_timer_running:
            self._write()

    def _write(self):
        event, fields = self._latest
        self._log.notable(event, count=self._count, **fields)
        self._count, self._latest = 0, None
        self._is_timer_running = True
        self._loop.call_later(_INTERVAL_SECONDS, self._on_timer)

    def _on_timer(self):
        self._is_timer_running = False
        if self._count:
            self._write()
