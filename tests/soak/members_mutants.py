"""Peers with one safeguard taken out; random runs must catch each of them."""

from unittest.mock import patch

from camphorshelf_core import directory
from camphorshelf_core.hosts import HostView
from camphorshelf_relay.announcer import Announcer
from camphorshelf_relay.peers import Peers

_take, _suspect = HostView.apply, HostView.suspect


def _take_always(view, status, now):
    view.status = None
    return _take(view, status, now)


def _take_overtaken(view, status, now):
    """Take an earlier status of the same incarnation."""
    if view.status is not None and view.status.incarnation == status.incarnation:
        return _take_always(view, status, now)
    return _take(view, status, now)


def _take_older(view, status, now):
    """Take any other incarnation for a newer one."""
    if view.status is not None and view.status.incarnation != status.incarnation:
        return _take_always(view, status, now)
    return _take(view, status, now)


class _RememberHeard(HostView):
    """Takes any incarnation for a newer one but those that it has held itself."""

    __slots__ = ("_past",)

    def __init__(self):
        super().__init__()
        self._past = set()

    def apply(self, status, now):
        held = self.status
        if held is not None and held.incarnation != status.incarnation:
            if status.incarnation in self._past:
                return False
            self._past.add(held.incarnation)
            self.status = None
        return super().apply(status, now)


def _keep_suspicion(view, status, now):
    """Hold on to a suspicion that was refuted."""
    suspected_at = view.suspected_at
    is_newer = _take(view, status, now)
    view.suspected_at = suspected_at
    return is_newer


def _suspect_any(view, incarnation, now):
    """Let a suspicion of an incarnation count against another one."""
    return _suspect(view, view.status.incarnation, now)


def _suspect_just_heard(view, incarnation, now):
    """Let a suspicion count against a member that was just heard."""
    if view.suspected_at is not None or view.status.incarnation != incarnation:
        return False
    view.suspected_at = now
    return True


def _do_nothing(*_arguments):
    """Leave a safeguard out."""


MUTANTS = {
    "take_overtaken": (HostView, "apply", _take_overtaken),
    "take_older": (HostView, "apply", _take_older),
    "remember_heard": (directory, "HostView", _RememberHeard),
    "keep_suspicion": (HostView, "apply", _keep_suspicion),
    "suspect_any": (HostView, "suspect", _suspect_any),
    "suspect_just_heard": (HostView, "suspect", _suspect_just_heard),
    "never_outbid": (Announcer, "outbid", _do_nothing),
    "never_seek": (Peers, "_seek_forgotten", _do_nothing),
}


def patch_mutant(name):
    """Leave a safeguard out.

    :param name: one of :data:`MUTANTS`.
    :return: the context in which it is left out.
    """
    return patch.object(*MUTANTS[name])
