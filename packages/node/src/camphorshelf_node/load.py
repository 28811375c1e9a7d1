"""The controller that keeps what this entry node knows of each target's load."""

from camphorshelf_core.load import LoadView
from camphorshelf_core.routing import Candidate


class LoadKeeper:
    """Own calls in flight, reports with their age, and health, by target."""

    def __init__(self, loop, settings, roster):
        self._loop = loop
        self._settings = settings
        self._roster = roster
        self._views = {}

    def candidates(self, service):
        """List the targets of a service with what is known of them.

        :param service: its name.
        :return: a list of :class:`Candidate`.
        """
        now = self._loop.now()
        members = self._roster.serving(service)
        return [self._candidate(member, now) for member in members]

    def note_sent(self, target):
        """Count a call on its way to a target.

        :param target: the target's name.
        :return: None.
        """
        self._view(target).note_sent()

    def note_done(self, target, load):
        """Count a call as done.

        :param target: the target's name.
        :param load: the :class:`LoadReport` that came with the answer, or None.
        :return: None.
        """
        view = self._view(target)
        view.note_done()
        if load is not None:
            view.note_report(load, self._loop.now())

    def _view(self, target):
        view = self._views.get(target)
        if view is None:
            view = self._views[target] = LoadView()
        return view
