"""Patches that remove one safeguard of the membership code; random runs must detect each."""

from unittest.mock import patch

from camphorshelf_core import directory
from camphorshelf_core.hosts import HostView
from camphorshelf_relay.announcer import Announcer
from camphorshelf_relay.peers import Peers

_apply, _suspect = HostView.apply, HostView.suspect


def _apply_always(view, status, now):
    view.status = None
    return _apply(view, status, now)


def _apply_overtaken(view, status, now):
    """Accept an older status of the same incarnation."""
    if view.status is not None and view.status.incarnation == status.incarnation:
        return _apply_always(view, status, now)
    return _apply(view, status, now)


def _apply_older(view, status, now):
    """Accept a status of any other incarnation as newer."""
    if view.status is not None and view.status.incarnation != status.incarnation:
        return _apply_always(view, status, now)
    return _apply(view, status, now)


class _RememberHeard(HostView):
    """Accepts any incarnation as newer, except those that it has held before."""

    __slots__ = ("_earlier_incarnations",)

    def __init__(self):
        super().__init__()
        self._earlier_incarnations = set()

    def apply(self, status, now):
        held = self.status
        if held is not None and held.incarnation != status.incarnation:
            if status.incarnation in self._earlier_incarnations:
                return False
            self._earlier_incarnations.add(held.incarnation)
            self.status = None
        return super().apply(status, now)


def _keep_suspicion(view, status, now):
    """Keep a suspicion after it was refuted."""
    suspected_at = view.suspected_at
    is_newer = _apply(view, status, now)
    view.suspected_at = suspected_at
    return is_newer


def _suspect_any(view, incarnation, now):
    """Apply a suspicion of one incarnation to another one."""
    return _suspect(view, view.status.incarnation, now)


def _suspect_just_heard(view, incarnation, now):
    """Accept a suspicion of a member that was heard from a moment ago."""
    if view.suspected_at is not None or view.status.incarnation != incarnation:
        return False
    view.suspected_at = now
    return True


def _do_nothing(*_arguments):
    """Replace a safeguard by a function without effect."""


MUTANTS = {
    "take_overtaken": (HostView, "apply", _apply_overtaken),
    "take_older": (HostView, "apply", _apply_older),
    "remember_heard": (directory, "HostView", _RememberHeard),
    "keep_suspicion": (HostView, "apply", _keep_suspicion),
    "suspect_any": (HostView, "suspect", _suspect_any),
    "suspect_just_heard": (HostView, "suspect", _suspect_just_heard),
    "never_outbid": (Announcer, "raise_incarnation", _do_nothing),
    "never_seek": (Peers, "_greet_forgotten", _do_nothing),
}


def patch_mutant(name):
    """Remove a safeguard while the returned context is active.

    :param name: one of :data:`MUTANTS`.
    :return: the context manager that patches it.
    """
    return patch.object(*MUTANTS[name])
