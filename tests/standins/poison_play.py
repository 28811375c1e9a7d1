"""Simulates requests, one of which crashes its targets, and the quarantines of the nodes."""

import random

from camphorshelf_core.quarantine import Crashes, Quarantine, Standing
from camphorshelf_core.settings import QuarantineSettings

POISON = "poison"
_TARGETS = 6
_ROUNDS = 400
_CALLS = 8
_STEP_SECONDS = 0.05
INNOCENT_PER_PLAY = _ROUNDS * _CALLS


class Nodes:
    """The quarantines of several nodes, which receive each other's updates without delay."""

    def __init__(self, names):
        self.now = 1_000.0
        settings = QuarantineSettings()
        self.all = {name: Quarantine(settings, name) for name in names}

    def crash(self, node, requests):
        """Record at all nodes that the target of a node crashed while it ran some requests."""
        self.now += _STEP_SECONDS
        blamed = self.all[node].record_crash(requests, self.now)
        for request in blamed:
            crashes = self.all[node].counted_crashes(request)[0][node]
            for other in self.all.values():
                other.merge_crashes(request, node, crashes, self.now)

    def complete(self, node, request):
        """Record at all nodes that a request completed at a node."""
        self.now += _STEP_SECONDS
        if self.all[node].record_completed(request, self.now, self.now):
            self._clear(request)

    def lift(self, node, request):
        """Lift the quarantine of a request at a node, as an operator does, and at all others."""
        self.now += _STEP_SECONDS
        self.all[node].lift(request, self.now)
        self._clear(request)

    def standings(self, request):
        """Return the set of standings that the nodes assign to a request."""
        return {quarantine.standing(request, self.now) for quarantine in self.all.values()}

    def _clear(self, request):
        for other in self.all.values():
            other.merge_cleared(request, self.now)


def play_poison(seed, crash_probability=0.0):
    """Simulate requests to several targets; one request crashes every target that runs it.

    :param seed: the seed of the random numbers.
    :param crash_probability: the probability that a target crashes for another reason.
    :return: how often that request crashed a target, the set of refused requests, and the set of
        standings that the nodes assign to that request.
    """
    rng = random.Random(seed)
    nodes = Nodes([f"n{number}" for number in range(_TARGETS)])
    retries = [POISON]
    crashes, refused = 0, set()
    for step in range(_ROUNDS):
        node = f"n{rng.randrange(_TARGETS)}"
        new_requests = [f"r{step}-{number}" for number in range(_CALLS)]
        running, retries = _admit(nodes, node, new_requests + retries, refused)
        has_poison = POISON in running
        if has_poison or rng.random() < crash_probability:
            crashes += has_poison
            nodes.crash(node, running)
            retries += [request for request in running if rng.random() < 0.7]
            retries += [POISON] if has_poison and POISON not in retries else []
        else:
            for request in running:
                nodes.complete(node, request)
    return crashes, refused, nodes.standings(POISON)


def _admit(nodes, node, requests, refused):
    running, postponed, suspects = [], [], 0
    for request in requests:
        standing = nodes.all[node].standing(request, nodes.now)
        if standing is Standing.REFUSED:
            refused.add(request)
        elif standing is Standing.SUSPECT and suspects:
            postponed.append(request)
        else:
            suspects += standing is Standing.SUSPECT
            running.append(request)
    return running, postponed


def play_merges(seed):
    """Return the standings at three nodes that received the same updates in different orders."""
    rng = random.Random(seed)
    settings = QuarantineSettings()
    updates = []
    for _ in range(rng.randrange(1, 12)):
        at = float(rng.randrange(1, 30))
        if rng.random() < 0.3:
            updates.append(lambda one, at=at: one.merge_cleared(POISON, at))
        else:
            crashes = Crashes(rng.randrange(1, 3), at)
            node = f"n{rng.randrange(3)}"
            updates.append(
                lambda one, node=node, crashes=crashes: one.merge_crashes(
                    POISON, node, crashes, 30.0
                )
            )
    standings = []
    for name in ("a", "b", "c"):
        quarantine = Quarantine(settings, name)
        received = updates + rng.choices(updates, k=len(updates))
        rng.shuffle(received)
        for apply_update in received:
            apply_update(quarantine)
        standings.append(quarantine.standing(POISON, 30.0))
    return standings
