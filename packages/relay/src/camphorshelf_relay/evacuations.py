"""The evacuations in force, as read from the store or received from another node."""

from camphorshelf_core.evacuation import Evacuations

from .announcer import AnnouncementScope


class EvacuationState:
    """Holds the newest evacuations known to this node and reports changes to callbacks.

    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    """

    def __init__(self, log):
        self._log = log
        self._current = Evacuations()
        self._on_change = []

    @property
    def current(self):
        """The :class:`~camphorshelf_core.evacuation.Evacuations` in force."""
        return self._current

    def on_change(self, callback):
        """Register a callback for changes of the set of evacuated failure domains.

        :param callback: takes the :class:`~camphorshelf_relay.announcer.AnnouncementScope` in
            which the change has to be announced.
        :return: None.
        """
        self._on_change.append(callback)

    def apply_rows(self, domains, version):
        """Apply the evacuations read from the store.

        :param domains: the versions of the operators' rows, by failure domain.
        :param version: the store's version at which the rows were read.
        :return: None.
        """
        self.apply(self._current.with_updates(domains, version), AnnouncementScope.ALL)

    def apply(self, evacuations, scope):
        """Replace the evacuations in force if the given ones are newer.

        :param evacuations: the :class:`~camphorshelf_core.evacuation.Evacuations` to apply.
        :param scope: the :class:`~camphorshelf_relay.announcer.AnnouncementScope` in which a change
            has to be announced.
        :return: None.
        """
        before = self._current
        if evacuations.as_of <= before.as_of:
            return
        self._current = evacuations
        if evacuations.domains != before.domains:
            self._report_change(before, scope)

    def _report_change(self, before, scope):
        current = self._current
        for domain in sorted(before.domains.keys() ^ current.domains.keys()):
            self._log.notable(
                "evacuation",
                domain=domain,
                evacuated=domain in current.domains,
                row_version=current.domains.get(domain, before.domains.get(domain)),
                as_of=current.as_of,
            )
        for callback in self._on_change:
            callback(scope)
