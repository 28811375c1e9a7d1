"""The evacuations in force: from the store or from another node that knows of a newer change."""

from camphorshelf_core.evacuation import Evacuations

from .announcer import Reach


class EvacuationKeeper:
    """Holds what this node knows of evacuations, and tells of changes.

    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    """

    def __init__(self, log):
        self._log = log
        self._held = Evacuations()
        self._on_change = []

    @property
    def held(self):
        """The :class:`~camphorshelf_core.evacuation.Evacuations` in force."""
        return self._held

    def on_change(self, callback):
        """Say what to do when other failure domains are evacuated than before.

        :param callback: takes the :class:`~camphorshelf_relay.announcer.Reach` of those that have
            not heard of it.
        :return: None.
        """
        self._on_change.append(callback)

    def take_rows(self, domains, version):
        """Take in what the store holds.

        :param domains: the versions of the operators' rows, by failure domain.
        :param version: the store's version for which they hold.
        :return: None.
        """
        self.take(self._held.with_updates(domains, version), Reach.ALL)

    def take(self, evacuations, reach):
        """Take in what another node knows, unless this one knows of a later version.

        :param evacuations: its :class:`~camphorshelf_core.evacuation.Evacuations`.
        :param reach: the :class:`~camphorshelf_relay.announcer.Reach` of those that have not heard
            of it.
        :return: None.
        """
        before = self._held
        if evacuations.as_of <= before.as_of:
            return
        self._held = evacuations
        if evacuations.domains != before.domains:
            self._tell(before, reach)

    def _tell(self, before, reach):
        held = self._held
        for domain in sorted(before.domains.keys() ^ held.domains.keys()):
            self._log.notable(
                "evacuation",
                domain=domain,
                evacuated=domain in held.domains,
                row_version=held.domains.get(domain, before.domains.get(domain)),
                as_of=held.as_of,
            )
        for callback in self._on_change:
            callback(reach)
