"""Models of confirming and of spreading the configuration, with mutants that must be caught.

How the transitions map to the code:

=================  =============================================================================
confirm model
plan               ``camphorshelf_core.confirm.plan_steps``
read head          the ``ReadRow`` and ``_find_outcome`` at the start of ``confirm_steps``
swap ...           the ``CompareAndSetRow`` of ``_compare_and_set_head``: answered, answer lost, late, or never applied
read back          the ``ReadRow`` and ``_find_outcome`` inside ``_compare_and_set_head``
late write lands   a ``CompareAndSetRow`` that the table applies after its answer was given up
spread model
asks, answered     ``Configuration._read_head`` and ``_ask``, ``LocalVersion.on_head``, ``on_peer``
fetches            ``Configuration._fetch`` and ``LocalVersion.install``
freezes, wakes     ``LocalVersion.record_activity`` and ``_begin_epoch``
restarts           a new ``LocalVersion``
serving            ``LocalVersion.find_refusal`` gives None
=================  =============================================================================
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

MAX_STATES = 3_000_000
_MAX_TRIES = 2
_MAX_VERSION = 1
CONFIRM_MUTANTS = ("compare without base", "skip read-back")
SPREAD_MUTANTS = (
    "apply lower version",
    "serve with no version",
    "believe answers from before the freeze",
    "believe unproved peers",
    "believe one failure domain",
    "ask no one after waking",
)


class Operator(NamedTuple):
    """One operator's confirm: ``late`` is a swap that the table may still apply."""

    phase: str = "idle"
    base: int = 0
    late: bool = False
    tries: int = 0


def _apply_swap(chain, who, base, mutant):
    if len(chain) == base or mutant == "compare without base":
        return (*chain, who) if len(chain) < 4 else chain
    return chain


def _settle(chain, who, operator):
    won = chain[operator.base] == who
    return operator._replace(phase="won" if won else "lost")


def _confirm_moves(chain, who, operator, mutant):
    """List label, chain and operator after each thing that may happen to one operator."""
    phase, base = operator.phase, operator.base
    if operator.late:
        landed = operator._replace(late=False)
        yield "late write lands", _apply_swap(chain, who, base, mutant), landed
    if phase == "idle":
        yield "plan", chain, Operator("planned", len(chain))
    elif phase in ("planned", "unknown"):
        if len(chain) > base and mutant != "compare without base":
            yield "read head", chain, _settle(chain, who, operator)
        else:
            yield "read head", chain, operator._replace(phase="swapping", tries=0)
    elif phase == "swapping":
        after = _apply_swap(chain, who, base, mutant)
        answered = "won" if after != chain else "reading"
        reading = operator._replace(phase="reading")
        yield "swap answered", after, operator._replace(phase=answered)
        yield "swap applied, answer lost", after, reading
        yield "swap late", chain, reading._replace(late=True)
        yield "swap never applied", chain, reading
    elif phase == "reading":
        yield "read back", chain, _read_back(chain, who, operator, mutant)


def _read_back(chain, who, operator, mutant):
    if mutant == "skip read-back":
        return operator._replace(phase="lost")
    if len(chain) > operator.base:
        return _settle(chain, who, operator)
    if operator.tries + 1 < _MAX_TRIES:
        return operator._replace(phase="swapping", tries=operator.tries + 1)
    return operator._replace(phase="unknown")


def make_confirm_model(mutant=None):
    """Two operators plan and confirm; the chain is the versions by the plan that made them."""

    def transitions(state):
        chain, *operators = state
        moves = []
        for who, operator in enumerate(operators):
            for label, new_chain, changed in _confirm_moves(chain, who, operator, mutant):
                new = [*operators]
                new[who] = changed
                moves.append((f"{'AB'[who]}: {label}", (new_chain, *new)))
        return moves

    def each(check):
        def holds(fields):
            chain = fields["chain"]
            return all(check(chain, who, fields["AB"[who]]) for who in range(2))

        return holds

    return Protocol(
        name=f"confirm ({mutant or 'as built'})",
        candidate=False,
        fields=("chain", "A", "B"),
        initial=((), Operator(), Operator()),
        transitions=transitions,
        invariants={
            "a plan comes into force at most once": each(
                lambda chain, who, one: chain.count(who) <= 1
            ),
            "a plan follows the version it was made on": each(
                lambda chain, who, one: who not in chain or chain.index(who) == one.base
            ),
            "who was told won has won": each(
                lambda chain, who, one: one.phase != "won"
                or chain[one.base : one.base + 1] == (who,)
            ),
            "who was told lost has lost": each(
                lambda chain, who, one: one.phase != "lost" or who not in chain
            ),
        },
    )


class Peer(NamedTuple):
    """A peer in a failure domain of its own."""

    version: int = 0
    proved: bool = False


class Subject(NamedTuple):
    """The node that starts, freezes and wakes; ``answer`` is the one on its way to it."""

    running: bool = True
    version: int = 0
    peak: int = 0
    proof: str = ""
    need: int = -1
    outage_seen: bool = False
    heard: frozenset = frozenset()
    best: int = 0
    platform_floor: int = 0
    peer_floor: int = 0
    answer: tuple | None = None


def _begin_epoch(subject, head, peers, mutant):
    """Forget every proof; what is on its way was asked in an earlier epoch."""
    answer = subject.answer and (*subject.answer[:-1], "old")
    fresh = Subject(
        version=subject.version,
        peak=subject.peak,
        platform_floor=head,
        peer_floor=max((peer.version for peer in peers if peer.proved), default=0),
        answer=answer,
    )
    if mutant == "serve with no version":
        return fresh._replace(proof="platform")
    if mutant == "ask no one after waking" and not subject.running:
        return fresh._replace(proof=subject.proof)
    return fresh


def _prove(subject, source):
    if not subject.proof and subject.need >= 0 and subject.version >= subject.need:
        return subject._replace(proof=source)
    return subject


def _weigh(subject, mutant):
    wanted = 1 if mutant == "believe one failure domain" else 2
    if subject.outage_seen and subject.need < 0 and len(subject.heard) >= wanted:
        return _prove(subject._replace(need=subject.best), "peers")
    return subject


def _deliver(subject, mutant):
    kind, *fields, age = subject.answer
    subject = subject._replace(answer=None)
    if age == "old" and mutant != "believe answers from before the freeze":
        return subject
    if kind == "no answer":
        return _weigh(subject._replace(outage_seen=True), mutant)
    if kind == "head":
        return _prove(subject._replace(need=fields[0]), "platform")
    number, peer = fields
    if not peer.proved and mutant != "believe unproved peers":
        return subject
    heard, best = subject.heard | {number}, max(subject.best, peer.version)
    return _weigh(subject._replace(heard=heard, best=best), mutant)


def _fetch(subject, version, mutant):
    if version <= subject.version and mutant != "apply lower version":
        return subject
    peak = max(subject.peak, version)
    return _prove(subject._replace(version=version, peak=peak), "platform")


def _subject_moves(head, up, peers, subject, mutant):
    yield "restarts", _begin_epoch(Subject(answer=None), head, peers, mutant)
    if not subject.running:
        yield "wakes", _begin_epoch(subject, head, peers, mutant)
        return
    yield "freezes", subject._replace(running=False)
    if subject.answer is not None:
        yield "is answered", _deliver(subject, mutant)
    else:
        asked = ("head", head, "new") if up else ("no answer", "new")
        yield "asks the platform", subject._replace(answer=asked)
        for number, peer in enumerate(peers):
            yield f"asks peer {number}", subject._replace(answer=("peer", number, peer, "new"))
    for version in range(head + 1):
        yield f"fetches version {version}", _fetch(subject, version, mutant)


def _peer_moves(head, up, peers):
    for number, peer in enumerate(peers):
        if up:
            yield f"peer {number} asks the platform", number, Peer(head, True)
        yield f"peer {number} restarts", number, Peer()
        heard = max(peer.version, peers[1 - number].version)
        yield f"peer {number} hears from the other", number, peer._replace(version=heard)


def make_spread_model(mutant=None):
    """A node and two peers, each in its own failure domain, through outages and freezes."""

    def transitions(state):
        head, up, one, two, subject = state
        peers = (one, two)
        moves = [("the platform fails or comes back", (head, not up, one, two, subject))]
        if up and head < _MAX_VERSION:
            moves.append(("a plan is confirmed", (head + 1, up, one, two, subject)))
        for label, number, peer in _peer_moves(head, up, peers):
            changed = (peer, two) if number == 0 else (one, peer)
            moves.append((label, (head, up, *changed, subject)))
        for label, changed in _subject_moves(head, up, peers, subject, mutant):
            moves.append((f"the node {label}", (head, up, one, two, changed)))
        return moves

    def floor(fields):
        subject = fields["node"]
        if not subject.running or not subject.proof:
            return True
        by_platform = subject.proof == "platform"
        return subject.version >= (subject.platform_floor if by_platform else subject.peer_floor)

    initial = _begin_epoch(Subject(), 0, (), mutant)
    return Protocol(
        name=f"spread ({mutant or 'as built'})",
        candidate=False,
        fields=("head", "up", "p0", "p1", "node"),
        initial=(0, True, Peer(), Peer(), initial),
        transitions=transitions,
        invariants={
            "a process never goes back": lambda fields: fields["node"].version
            >= fields["node"].peak,
            "a serving node is not behind what its proof must reach": floor,
        },
    )


def check(model):
    """Explore every state of a model.

    :param model: the ``Protocol``.
    :return: the pair of the number of states and the names of the violated invariants.
    """
    result = check_safety(model, max_states=MAX_STATES)
    if not result["exhaustive"]:
        raise AssertionError("the model was not explored to its end")
    broken = [name for name, one in result["properties"].items() if not one["holds"]]
    return result["reachable_states"], broken
