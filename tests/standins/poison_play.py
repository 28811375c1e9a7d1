"""Plays requests, one of them deadly, against a few targets and what their nodes know."""

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
    """Quarantines at several nodes that tell each other at once."""

    def __init__(self, names):
        self.now = 1_000.0
        settings = QuarantineSettings()
        self.all = {name: Quarantine(settings, name) for name in names}

    def crash(self, node, requests):
        """Let the target of a node die under requests and spread the news."""
        self.now += _STEP_SECONDS
        blamed = self.all[node].record_crash(requests, self.now)
        for request in blamed:
            crashes = self.all[node].counted_crashes(request)[0][node]
            for other in self.all.values():
                other.merge_crashes(request, node, crashes, self.now)

    def clean(self, node, request):
        """Let a request run to its answer at a node and spread the news."""
        self.now += _STEP_SECONDS
        if self.all[node].record_completed(request, self.now, self.now):
            self._clear(request)

    def lift(self, node, request):
        """Let an operator lift a request at a node and spread the news."""
        self.now += _STEP_SECONDS
        self.all[node].lift(request, self.now)
        self._clear(request)

    def standings(self, request):
        """What is held against a request, node by node."""
        return {quarantine.standing(request, self.now) for quarantine in self.all.values()}

    def _clear(self, request):
        for other in self.all.values():
            other.merge_cleared(request, self.now)


def play_poison(seed, chance_death=0.0):
    """Play one seed; gives the poison's own crashes and the innocent requests refused."""
    source = random.Random(seed)
    nodes = Nodes([f"n{number}" for number in range(_TARGETS)])
    again = [POISON]
    crashes, refused = 0, set()
    for step in range(_ROUNDS):
        node = f"n{source.randrange(_TARGETS)}"
        fresh = [f"r{step}-{number}" for number in range(_CALLS)]
        running, again = _let_in(nodes, node, fresh + again, refused)
        deadly = POISON in running
        if deadly or source.random() < chance_death:
            crashes += deadly
            nodes.crash(node, running)
            again += [request for request in running if source.random() < 0.7]
            again += [POISON] if deadly and POISON not in again else []
        else:
            for request in running:
                nodes.clean(node, request)
    return crashes, refused, nodes.standings(POISON)


def _let_in(nodes, node, requests, refused):
    running, later, suspects = [], [], 0
    for request in requests:
        standing = nodes.all[node].standing(request, nodes.now)
        if standing is Standing.REFUSED:
            refused.add(request)
        elif standing is Standing.SUSPECT and suspects:
            later.append(request)
        else:
            suspects += standing is Standing.SUSPECT
            running.append(request)
    return running, later


def play_news(seed):
    """Give the standings at three nodes that got the same news in different orders."""
    source = random.Random(seed)
    settings = QuarantineSettings()
    news = []
    for _ in range(source.randrange(1, 12)):
        at = float(source.randrange(1, 30))
        if source.random() < 0.3:
            news.append(lambda one, at=at: one.merge_cleared(POISON, at))
        else:
            crashes = Crashes(source.randrange(1, 3), at)
            node = f"n{source.randrange(3)}"
            news.append(
                lambda one, node=node, crashes=crashes: one.merge_crashes(
                    POISON, node, crashes, 30.0
                )
            )
    standings = []
    for name in ("a", "b", "c"):
        quarantine = Quarantine(settings, name)
        heard = news + source.choices(news, k=len(news))
        source.shuffle(heard)
        for item in heard:
            item(quarantine)
        standings.append(quarantine.standing(POISON, 30.0))
    return standings
