"""Organisations and keys of the fault soak, and the rules that hold for them."""

import time
from typing import NamedTuple

_NAMES = ("north", "south")
_KEY_MARK = "soakkey"
_APPLY_SECONDS = 2.5
# A host may be interrupted for this long after a recorded time. A suspension has two of them, its
# start and its end at most 3.1 s later, which is then within what the start allows.
_INTERRUPTION_SECONDS = 1.0
# Without faults, a change is in force everywhere after this time.
CALM_APPLY_SECONDS = _APPLY_SECONDS + _INTERRUPTION_SECONDS
_SHOWN = 3


class Key(NamedTuple):
    """A key and its organisation; ``organisation`` is None for a key of no version."""

    text: str
    organisation: str | None


class KeyHistory:
    """The keys of two organisations: one each that stays, and one each that is replaced.

    ``added_at`` and ``removed_at`` hold when the store acknowledged a change, by key;
    ``removing_at`` holds when it was sent.
    """

    def __init__(self):
        self._steady = {name: Key(f"{_KEY_MARK}-{name}", name) for name in _NAMES}
        self._replaced = {name: Key(f"{_KEY_MARK}-{name}-0", name) for name in _NAMES}
        self._removed = []
        self.added_at, self.removing_at, self.removed_at = {}, {}, {}

    @property
    def organisations(self):
        """The specification of each organisation, for the operators' document."""
        return {
            name: {"api_keys": [self._steady[name].text, self._replaced[name].text]}
            for name in _NAMES
        }

    def replace(self, number, configure):
        """Replace a key of one of the organisations; ``configure`` writes the document."""
        name = _NAMES[number % len(_NAMES)]
        old, number = self._replaced[name], len(self._removed) + 1
        self._replaced[name] = new = Key(f"{_KEY_MARK}-{name}-{number}", name)
        self.removing_at[old] = time.time()
        configure()
        self.added_at[new] = self.removed_at[old] = time.time()
        self._removed.append(old)

    def pick(self, rng):
        """Choose the key of a request: mostly a valid one; None for a request without a key."""
        name, number = rng.choice(_NAMES), rng.random()
        if number < 0.7:
            return self._steady[name]
        if number < 0.85:
            return self._replaced[name]
        if number < 0.92:
            return self._removed[-1] if self._removed else self._steady[name]
        return Key(f"{_KEY_MARK}-unknown", None) if number < 0.96 else None


def make_headers(key, rng):
    """Make the headers of a request with a key, and often with a forged name."""
    headers = [] if key is None else [("Key", key.text)]
    forged = rng.choice([None, "Tenant", "TENANT", "tenant"])
    return headers if forged is None else [*headers, (forged, rng.choice(_NAMES))]


def find_key_violations(seen):
    """Check the rules on keys.

    :param seen: the :class:`~soak.checks.Observations`.
    :return: pairs of the violated rule and the details.
    """
    runs, identities = seen.deployment.all_runs(), seen.deployment.identities()
    for one in seen.outcomes:
        has_run, key = bool(runs[one.request_id]), one.key
        wanted = None if key is None else key.organisation
        if has_run and (wanted is None or identities[one.request_id] != (wanted, None)):
            yield "a request runs only for its key's organisation, which no key reaches", one
        if one.status == 401 and has_run:
            yield "a request that is denied has not run", one
        if one.status in (401, 403, 404) and _was_valid(seen, one):
            yield "a request that every version allows is not denied", one
        if has_run and _was_removed(seen, one):
            yield "a request with a removed key does not run", (one, seen.keys.removed_at[key])
    for name in seen.deployment.names:
        if _KEY_MARK in seen.deployment.log(f"node-{name}"):
            yield "no log line holds a key", name


def _was_valid(seen, one):
    if one.key is None or one.key.organisation is None:
        return False
    added_at = seen.keys.added_at.get(one.key)
    is_known = added_at is None or one.sent.sent_at > _applied_at(seen, one.sent.host, added_at)
    return is_known and one.sent.answered_at < seen.keys.removing_at.get(one.key, float("inf"))


def _was_removed(seen, one):
    removed_at = seen.keys.removed_at.get(one.key)
    return removed_at is not None and one.sent.sent_at > _applied_at(
        seen, one.sent.host, removed_at
    )


def _applied_at(seen, host, changed_at):
    """Compute when a change must be in force at a host, after outages and interruptions."""
    points = seen.interruptions.get(host, ())
    spans = [*seen.store_outages, *((at, at + _INTERRUPTION_SECONDS) for at in points)]
    due_at = changed_at + _APPLY_SECONDS
    for start, end in sorted(spans):
        if start < due_at and end + _APPLY_SECONDS > due_at:
            due_at = end + _APPLY_SECONDS
    return due_at
