"""The evacuations in force: from the store or from another node that knows of a newer change."""

from camphorshelf_core.evacuation import EvacuationRecord

from .announcer import Reach


class EvacuationKeeper:
    """Holds what this node knows of evacuations, and tells of changes.

    :param loop: the node's loop.
    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    """

    def __init__(self, loop, log):
        self._loop = loop
        self._log = log
        self._record = EvacuationRecord()
        self._on_change = []

    @property
    def held(self):
        """The :class:`~camphorshelf_core.evacuation.Evacuations` in force."""
        return self._record.held

    @property
    def changed_at(self):
        """The store's version of the last change that is known here."""
        return self._record.changed_at

    def is_evacuated(self, domain):
        """Tell whether no target of a failure domain may get a request.

        :param domain: its name.
        :return: True or False.
        """
        return self._record.is_evacuated(domain)

    def is_newer(self, changed_at):
        """Tell whether another node knows of a change that is not known here.

        :param changed_at: the version of the last change that it knows of.
        :return: True or False.
        """
        return self._record.is_newer(changed_at)

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
        before = self.held
        if self._record.take_rows(domains, version, self._loop.now()):
            self._tell(before, Reach.ALL)

    def take(self, evacuations, reach):
        """Take in what another node knows.

        :param evacuations: its :class:`~camphorshelf_core.evacuation.Evacuations`.
        :param reach: the :class:`~camphorshelf_relay.announcer.Reach` of those that have not heard
            of it.
        :return: None.
        """
        before = self.held
        if self._record.take(evacuations, self._loop.now()):
            self._tell(before, reach)

    def _tell(self, before, reach):
        held = self.held
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
