"""Admission at the target beside the node: what may run there, and when."""

from camphorshelf_core.errors import Code, Ran

from .run import Run


class Gate:
    """Admission at the target: all work for it passes here."""

    def __init__(self, loop, settings, dialect, admission, target, crashes, log):
        self._loop = loop
        self._settings = settings
        self.crashes = crashes
        self.dialect = dialect
        self.admission = admission
        self.target = target
        self.log = log
        self.counts = {}
        self._pace_timer = None
        self._ends_at = None
        self.on_answer = lambda waited_s, ran_s: None

    def run(self, message, reply):
        """Run a request, let it wait, or decline it.

        :param message: the :class:`~camphorshelf_core.messages.RelayMessage`.
        :param reply: takes a :class:`~camphorshelf_core.messages.RelayAnswerMessage` or a
            :class:`~camphorshelf_core.messages.RelayRefusedMessage`, once.
        :return: a function that breaks it off, or None when it is answered already.
        """
        run = Run(self, self._loop, message, reply)
        if not self.target.accepting or message.service != self._settings.service:
            run.decline(Code.NO_TARGET, self.target.closed_reason, Ran.NOT_RUN)
            return None
        if self._ends_at is not None and self._loop.now() + message.remaining_s > self._ends_at:
            run.decline(Code.NO_TARGET, "the node may end before the request", Ran.NOT_RUN)
            return None
        if self.crashes.is_refused(run.fingerprint):
            run.decline(Code.QUARANTINED, "targets crash under this request", Ran.NOT_RUN)
            return None
        cancel = run.offer()
        self.keep_pace()
        self.target.on_change()
        return cancel

    def end_work_by(self, moment):
        """Let in only what will have ended by a moment.

        :param moment: seconds on the loop's clock.
        :return: None.
        """
        self._ends_at = moment

    def keep_pace(self):
        """Start what is queued for a cold target when it may get more.

        :return: None.
        """
        wait = self.admission.next_dispatch_s(self._loop.now())
        if wait is None or self._pace_timer is not None:
            return
        self._pace_timer = self._loop.call_later(wait, self._on_paced)

    def _on_paced(self):
        self._pace_timer = None
        self.admission.dispatch(self._loop.now())
        self.keep_pace()

    def count(self, outcome):
        """Count what became of a request.

        :param outcome: a short name.
        :return: None.
        """
        self.counts[outcome] = self.counts.get(outcome, 0) + 1
