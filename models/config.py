"""Models of how a configuration is confirmed and distributed, with mutants that must be caught.

The labels of the transitions correspond to this code:

=================  =============================================================================
confirm model
plan               ``camphorshelf_core.confirm.plan_steps``
read head          ``_read_head`` and ``_find_outcome`` in ``confirm_steps``
write ...          ``CompareAndSetRow`` in ``_compare_and_set_head``: answered, answer lost, late or
                   never applied
read back          ``ReadRow`` and ``_find_outcome`` in ``_compare_and_set_head``
late write         a ``CompareAndSetRow`` that the table applies after its answer timed out
distribution model
asks, answered     ``Configuration._request_proof``, ``LocalVersion.on_head`` and ``on_peer``
fetches            ``Configuration._fetch`` and ``LocalVersion.install``
freezes, resumes   ``LocalVersion.record_activity`` and ``_begin_epoch``
restarts           a new ``LocalVersion``
serving            ``LocalVersion.find_refusal`` returns None
=================  =============================================================================
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

MAX_STATES = 3_000_000
_MAX_COMPARE_AND_SET_ATTEMPTS = 2
_MAX_VERSION = 1
CONFIRM_MUTANTS = ("write without comparing", "skip read-back")
SPREAD_MUTANTS = (
    "apply lower version",
    "serve with no version",
    "accept answers from before the freeze",
    "accept unproved peers",
    "accept one failure domain",
    "keep the proof after resuming",
)


class Operator(NamedTuple):
    """One operator's confirm; ``late`` says whether the table may still apply a write of it."""

    phase: str = "idle"
    base: int = 0
    late: bool = False
    attempts: int = 0


def _compare_and_set(chain, index, base, mutant):
    if len(chain) == base or mutant == "write without comparing":
        return (*chain, index) if len(chain) < 4 else chain
    return chain


def _find_outcome(chain, index, operator):
    won = chain[operator.base] == index
    return operator._replace(phase="won" if won else "lost")


def _operator_steps(chain, index, operator, mutant):
    """Yield the label, new chain and new operator of each possible step of one operator."""
    phase, base = operator.phase, operator.base
    if operator.late:
        applied = operator._replace(late=False)
        yield "late write", _compare_and_set(chain, index, base, mutant), applied
    if phase == "idle":
        yield "plan", chain, Operator("planned", len(chain))
    elif phase in ("planned", "unknown"):
        if len(chain) > base and mutant != "write without comparing":
            yield "read head", chain, _find_outcome(chain, index, operator)
        else:
            yield "read head", chain, operator._replace(phase="writing", attempts=0)
    elif phase == "writing":
        after = _compare_and_set(chain, index, base, mutant)
        answered = "won" if after != chain else "reading"
        reading = operator._replace(phase="reading")
        yield "write answered", after, operator._replace(phase=answered)
        yield "write applied, answer lost", after, reading
        yield "write late", chain, reading._replace(late=True)
        yield "write never applied", chain, reading
    elif phase == "reading":
        yield "read back", chain, _read_back(chain, index, operator, mutant)


def _read_back(chain, index, operator, mutant):
    if mutant == "skip read-back":
        return operator._replace(phase="lost")
    if len(chain) > operator.base:
        return _find_outcome(chain, index, operator)
    if operator.attempts + 1 < _MAX_COMPARE_AND_SET_ATTEMPTS:
        return operator._replace(phase="writing", attempts=operator.attempts + 1)
    return operator._replace(phase="unknown")


def make_confirm_model(mutant=None):
    """Create the model of two operators that plan and confirm.

    ``chain`` lists the versions by the operator whose plan made them.

    :param mutant: the mutant to explore, or None for the protocol as built.
    :return: the :class:`minicheck.Protocol`.
    """

    def transitions(state):
        chain, *operators = state
        steps = []
        for index, operator in enumerate(operators):
            for label, new_chain, changed in _operator_steps(chain, index, operator, mutant):
                new = [*operators]
                new[index] = changed
                steps.append((f"{'AB'[index]}: {label}", (new_chain, *new)))
        return steps

    def for_each_operator(check):
        def holds(fields):
            chain = fields["chain"]
            return all(check(chain, index, fields["AB"[index]]) for index in range(2))

        return holds

    return Protocol(
        name=f"confirm ({mutant or 'as built'})",
        candidate=False,
        fields=("chain", "A", "B"),
        initial=((), Operator(), Operator()),
        transitions=transitions,
        invariants={
            "a plan is put in force at most once": for_each_operator(
                lambda chain, index, operator: chain.count(index) <= 1
            ),
            "a plan follows the version it was made on": for_each_operator(
                lambda chain, index, operator: index not in chain
                or chain.index(index) == operator.base
            ),
            "a confirm reported as in force is in force": for_each_operator(
                lambda chain, index, operator: operator.phase != "won"
                or chain[operator.base : operator.base + 1] == (index,)
            ),
            "a confirm reported as a conflict is not in force": for_each_operator(
                lambda chain, index, operator: operator.phase != "lost" or index not in chain
            ),
        },
    )


class Peer(NamedTuple):
    """A peer in its own failure domain; ``proved`` says whether its version is proved current."""

    version: int = 0
    proved: bool = False


class Node(NamedTuple):
    """The node that starts, freezes and resumes.

    ``highest_version`` is the highest version that it ever had in force. ``required`` is the
    version that its proof requires, -1 if not known yet. ``answered_peers`` and ``highest_answer``
    are the proved peers that answered and their highest version. ``platform_floor`` and
    ``peer_floor`` are the versions that a proof by the platform or by peers must reach at least.
    ``answer`` is the answer in flight to the node, or None.
    """

    running: bool = True
    version: int = 0
    highest_version: int = 0
    proof: str = ""
    required: int = -1
    outage_seen: bool = False
    answered_peers: frozenset = frozenset()
    highest_answer: int = 0
    platform_floor: int = 0
    peer_floor: int = 0
    answer: tuple | None = None


def _begin_epoch(node, head, peers, mutant):
    """Discard the proof; an answer in flight belongs to a request of an earlier epoch."""
    answer = node.answer and (*node.answer[:-1], "old")
    fresh = Node(
        version=node.version,
        highest_version=node.highest_version,
        platform_floor=head,
        peer_floor=max((peer.version for peer in peers if peer.proved), default=0),
        answer=answer,
    )
    if mutant == "serve with no version":
        return fresh._replace(proof="platform")
    if mutant == "keep the proof after resuming" and not node.running:
        return fresh._replace(proof=node.proof)
    return fresh


def _update_proof(node, source):
    if not node.proof and node.required >= 0 and node.version >= node.required:
        return node._replace(proof=source)
    return node


def _evaluate_peers(node, mutant):
    required_domains = 1 if mutant == "accept one failure domain" else 2
    if node.outage_seen and node.required < 0 and len(node.answered_peers) >= required_domains:
        return _update_proof(node._replace(required=node.highest_answer), "peers")
    return node


def _receive_answer(node, mutant):
    kind, *fields, age = node.answer
    node = node._replace(answer=None)
    if age == "old" and mutant != "accept answers from before the freeze":
        return node
    if kind == "no answer":
        return _evaluate_peers(node._replace(outage_seen=True), mutant)
    if kind == "head":
        return _update_proof(node._replace(required=fields[0]), "platform")
    number, peer = fields
    if not peer.proved and mutant != "accept unproved peers":
        return node
    answered_peers, highest_answer = node.answered_peers | {number}, max(
        node.highest_answer, peer.version
    )
    return _evaluate_peers(
        node._replace(answered_peers=answered_peers, highest_answer=highest_answer), mutant
    )


def _fetch(node, version, mutant):
    if version <= node.version and mutant != "apply lower version":
        return node
    highest_version = max(node.highest_version, version)
    return _update_proof(
        node._replace(version=version, highest_version=highest_version), "platform"
    )


def _node_steps(head, up, peers, node, mutant):
    yield "restarts", _begin_epoch(Node(answer=None), head, peers, mutant)
    if not node.running:
        yield "resumes", _begin_epoch(node, head, peers, mutant)
        return
    yield "freezes", node._replace(running=False)
    if node.answer is not None:
        yield "is answered", _receive_answer(node, mutant)
    else:
        asked = ("head", head, "new") if up else ("no answer", "new")
        yield "asks the platform", node._replace(answer=asked)
        for number, peer in enumerate(peers):
            yield f"asks peer {number}", node._replace(answer=("peer", number, peer, "new"))
    for version in range(head + 1):
        yield f"fetches version {version}", _fetch(node, version, mutant)


def _peer_steps(head, up, peers):
    for number, peer in enumerate(peers):
        if up:
            yield f"peer {number} asks the platform", number, Peer(head, True)
        yield f"peer {number} restarts", number, Peer()
        newest = max(peer.version, peers[1 - number].version)
        yield f"peer {number} receives the other peer's version", number, peer._replace(
            version=newest
        )


def make_spread_model(mutant=None):
    """Create the model of a node and two peers through outages and freezes.

    Each is in its own failure domain.

    :param mutant: the mutant to explore, or None for the protocol as built.
    :return: the :class:`minicheck.Protocol`.
    """

    def transitions(state):
        head, up, one, two, node = state
        peers = (one, two)
        steps = [("the platform fails or recovers", (head, not up, one, two, node))]
        if up and head < _MAX_VERSION:
            steps.append(("a plan is confirmed", (head + 1, up, one, two, node)))
        for label, number, peer in _peer_steps(head, up, peers):
            changed = (peer, two) if number == 0 else (one, peer)
            steps.append((label, (head, up, *changed, node)))
        for label, changed in _node_steps(head, up, peers, node, mutant):
            steps.append((f"the node {label}", (head, up, one, two, changed)))
        return steps

    def is_not_behind_proof(fields):
        node = fields["node"]
        if not node.running or not node.proof:
            return True
        by_platform = node.proof == "platform"
        return node.version >= (node.platform_floor if by_platform else node.peer_floor)

    initial = _begin_epoch(Node(), 0, (), mutant)
    return Protocol(
        name=f"distribution ({mutant or 'as built'})",
        candidate=False,
        fields=("head", "up", "p0", "p1", "node"),
        initial=(0, True, Peer(), Peer(), initial),
        transitions=transitions,
        invariants={
            "a process never returns to an older version": lambda fields: fields["node"].version
            >= fields["node"].highest_version,
            "a serving node is not behind what its proof requires": is_not_behind_proof,
        },
    )


def check(model):
    """Explore every state of a model.

    :param model: the :class:`minicheck.Protocol`.
    :return: the number of reachable states, and the names of the violated invariants.
    :raises AssertionError: when the model could not be explored completely.
    """
    result = check_safety(model, max_states=MAX_STATES)
    if not result["exhaustive"]:
        raise AssertionError(f"the model was not explored completely within {MAX_STATES} states")
    broken = [name for name, one in result["properties"].items() if not one["holds"]]
    return result["reachable_states"], broken
