"""The protocol of claims for one key: claim, read back, dispatch, void, resend, take over, crash.

Two entry nodes serve a few sends of one key. Every message to and from the table and the target
may be late or lost, and a node may die at any moment. A pause needs no step of its own: a node
that takes no step for a while is a paused node. docs/design/at-most-once.md maps each step to the
code; :data:`MUTANTS` names the safeguards that the model can leave out.
"""

from typing import NamedTuple

from minicheck import Protocol

SENDS = 2
CRASHES = 1
NODES = (0, 1)
MUTANTS = (
    "drop_void",
    "drop_read_back",
    "dispatch_on_unknown",
    "take_over_running",
    "take_over_gone",
    "reuse_attempt",
    "not_run_unproven",
    "overwrite_without_comparing",
    "forgotten_is_void",
)

_NEW, _STARTED, _VOID, _FINISHED, _FORGOTTEN = "new", "started", "void", "finished", "forgotten"
_OPEN, _MARKED_VOID, _MARKED_DONE = "open", "voided", "finished"


class Entry(NamedTuple):
    """An entry node and the one send that it works on."""

    incarnation: int = 0
    phase: str = "idle"
    attempt: int = 0
    expected: tuple = ()
    in_doubt: bool = False
    proven: bool = False
    met: tuple = ()
    had_run: bool = False
    first: bool = False


class Attempt(NamedTuple):
    """An attempt as its owner remembers it."""

    node: int
    incarnation: int
    state: str


class State(NamedTuple):
    """Everything at one moment; a row is its attempt and what it says of it."""

    row: tuple = ()
    entries: tuple = (Entry(), Entry())
    attempts: tuple = ()
    writes: frozenset = frozenset()
    answers: frozenset = frozenset()
    dispatched: frozenset = frozenset()
    results: frozenset = frozenset()
    ran: frozenset = frozenset()
    told_not_run: frozenset = frozenset()
    lied: bool = False
    sent: bool = False
    sends: int = SENDS
    crashes: int = CRASHES


def make_model(mutant=None, after_void=False, crashes=None):
    """Make the model.

    :param mutant: the safeguard to leave out, or None; its search ends at the first violation.
    :param after_void: start where an earlier send of the key was refused as not run, and its
        claim was marked void.
    :param crashes: how often a node dies; 1, or after a void claim 0, if left out.
    :return: the :class:`minicheck.Protocol`.
    """
    violated = []
    initial = _AFTER_VOID if after_void else State()
    if crashes is not None:
        initial = initial._replace(crashes=crashes)

    def hold(predicate):
        def check(state):
            holds = predicate(state)
            if not holds:
                violated.append(state)
            return holds

        return check

    def list_steps(state):
        return [] if mutant and violated else _list_steps(State(*state), mutant)

    return Protocol(
        name=f"claims without {mutant}" if mutant else "claims",
        candidate=mutant is not None,
        fields=State._fields,
        initial=initial,
        transitions=list_steps,
        invariants={name: hold(predicate) for name, predicate in _INVARIANTS.items()},
    )


_AFTER_VOID = State(
    row=(1, _MARKED_VOID),
    attempts=(Attempt(0, 0, _VOID),),
    told_not_run=frozenset({1}),
    sent=True,
    crashes=0,
)
_INVARIANTS = {
    "runs at most once": lambda state: len(state["ran"]) <= 1,
    "what was told not run never runs": lambda state: not state["told_not_run"] & state["ran"],
    "NOT_RUN is true when it is said": lambda state: not state["lied"],
}


def _list_steps(state, mutant):
    steps = []
    for node in NODES:
        steps += _entry_steps(state, node, mutant)
    steps += _table_steps(state, mutant)
    steps += _target_steps(state, mutant)
    return steps


def _entry_steps(state, node, mutant):
    entry = state.entries[node]
    steps = []
    if entry.phase == "idle" and state.sends:
        steps.append((f"send to {node}", _receive(state, node, mutant)))
    elif entry.phase == "writing":
        steps.append((f"{node}: no answer in time", _lose_answer(state, node, mutant)))
    elif entry.phase == "reading":
        steps.append((f"{node}: reads back", _read(state, node, mutant)))
        steps.append((f"{node}: cannot read", _give_up(state, node, mutant)))
    elif entry.phase == "asking":
        steps.append((f"{node}: asks the owner", _ask(state, node, mutant)))
        steps.append((f"{node}: cannot reach the owner", _end(state, node)))
    if entry.phase in ("writing", "reading", "asking"):
        steps.append((f"{node}: its caller leaves", _give_up(state, node, mutant)))
    if state.crashes:
        steps.append((f"{node}: dies", _crash(state, node)))
    return steps


def _receive(state, node, mutant):
    is_first = not state.sent
    entry = Entry(state.entries[node].incarnation, had_run=bool(state.ran), first=is_first)
    state = state._replace(sends=state.sends - 1, sent=True)
    return _claim(_with_entry(state, node, entry), node, (), mutant)


def _claim(state, node, expected, mutant):
    entry = state.entries[node]
    attempts = state.attempts
    attempt = len(attempts) + 1
    void = Attempt(node, entry.incarnation, _VOID)
    if mutant == "reuse_attempt" and void in attempts:
        attempt = attempts.index(void) + 1
    attempts = (*attempts[: attempt - 1], void._replace(state=_NEW), *attempts[attempt:])
    entry = entry._replace(phase="writing", attempt=attempt, expected=expected, in_doubt=False)
    writes = state.writes | {(attempt, expected, _OPEN)}
    return _with_entry(state._replace(attempts=attempts, writes=writes), node, entry)


def _lose_answer(state, node, mutant):
    entry = state.entries[node]
    if mutant == "dispatch_on_unknown":
        return _dispatch(state, node)
    if mutant == "drop_read_back":
        state = _with_entry(state, node, entry._replace(proven=True, in_doubt=True))
        return _give_up(state, node, mutant)
    return _with_entry(state, node, entry._replace(phase="reading", in_doubt=True))


def _read(state, node, mutant):
    entry = state.entries[node]
    if state.row == entry.expected:
        state = _with_entry(state, node, entry._replace(proven=True))
        return _give_up(state, node, mutant)
    return _meet(state, node, state.row, mutant)


def _meet(state, node, row, mutant):
    entry = state.entries[node]
    attempt, marked = row
    if attempt == entry.attempt and marked == _OPEN:
        return _dispatch(state, node)
    state = _set_attempt(state, entry.attempt, _VOID)
    if marked == _MARKED_DONE:
        return _end(state, node)
    if marked == _MARKED_VOID:
        return _take_over(state, node, row, mutant)
    return _with_entry(state, node, entry._replace(phase="asking", met=row))


def _ask(state, node, mutant):
    met = state.entries[node].met
    attempt = state.attempts[met[0] - 1]
    is_gone = state.entries[attempt.node].incarnation != attempt.incarnation
    is_void = not is_gone and attempt.state == _VOID
    is_void |= mutant == "take_over_gone" and is_gone
    is_void |= mutant == "take_over_running" and attempt.state in (_NEW, _STARTED)
    is_void |= mutant == "forgotten_is_void" and attempt.state == _FORGOTTEN
    if is_void:
        return _take_over(state, node, met, mutant)
    return _end(state, node)


def _take_over(state, node, row, mutant):
    state = _with_entry(state, node, state.entries[node]._replace(proven=True))
    return _claim(state, node, row, mutant)


def _give_up(state, node, mutant):
    entry = state.entries[node]
    if mutant != "drop_void":
        state = _set_attempt(state, entry.attempt, _VOID)
    if entry.in_doubt:
        mark = (entry.attempt, entry.expected, _MARKED_VOID)
        state = state._replace(writes=state.writes | {mark})
    if entry.proven or entry.first or mutant == "not_run_unproven":
        state = _tell_not_run(state, node)
    return _end(state, node)


def _tell_not_run(state, node):
    entry = state.entries[node]
    told = state.told_not_run | {entry.attempt}
    return state._replace(told_not_run=told, lied=state.lied or entry.had_run)


def _dispatch(state, node):
    attempt = state.entries[node].attempt
    state = _set_attempt(state, attempt, _STARTED)
    state = state._replace(dispatched=state.dispatched | {attempt})
    return _with_entry(state, node, state.entries[node]._replace(phase="running"))


def _crash(state, node):
    incarnation = state.entries[node].incarnation + 1
    state = state._replace(crashes=state.crashes - 1)
    return _with_entry(state, node, Entry(incarnation))


def _table_steps(state, mutant):
    steps = []
    for write in state.writes:
        attempt, expected, marked = write
        left = state._replace(writes=state.writes - {write})
        steps.append((f"write {write} takes effect", _apply(left, write, mutant)))
    for answer in state.answers:
        attempt, met = answer
        left = state._replace(answers=state.answers - {answer})
        steps.append((f"answer {answer} comes", _on_answer(left, attempt, met, mutant)))
    return steps


def _apply(state, write, mutant):
    attempt, expected, marked = write
    blind = mutant == "overwrite_without_comparing" and expected and marked == _OPEN
    if state.row == expected or blind:
        state = state._replace(row=(attempt, marked))
        answer = (attempt, ())
    elif marked == _OPEN:
        answer = (attempt, state.row)
    elif state.row == (attempt, _OPEN):
        return state._replace(writes=state.writes | {(attempt, state.row, marked)})
    else:
        return state
    if marked != _OPEN or not _awaits_answer(state, attempt, mutant):
        return state
    return state._replace(answers=state.answers | {answer})


def _awaits_answer(state, attempt, mutant):
    """Tell whether an answer can still change anything; others are left out of the states."""
    owner = state.attempts[attempt - 1]
    entry = state.entries[owner.node]
    is_alive = entry.incarnation == owner.incarnation
    is_waiting = entry.phase == "writing" and entry.attempt == attempt
    return is_alive and (is_waiting or mutant == "drop_void")


def _on_answer(state, attempt, met, mutant):
    owner = state.attempts[attempt - 1]
    entry = state.entries[owner.node]
    is_alive = entry.incarnation == owner.incarnation
    if is_alive and entry.phase == "writing" and entry.attempt == attempt:
        if not met:
            return _dispatch(state, owner.node)
        entry = entry._replace(proven=False)
        return _meet(_with_entry(state, owner.node, entry), owner.node, met, mutant)
    is_left = entry.attempt != attempt
    if mutant == "drop_void" and is_alive and is_left and not met and owner.state == _NEW:
        # The call was given up and is not void: its claim comes after all and is dispatched.
        state = _set_attempt(state, attempt, _STARTED)
        return state._replace(dispatched=state.dispatched | {attempt})
    return state


def _target_steps(state, mutant):
    steps = []
    for attempt in state.dispatched:
        left = state._replace(dispatched=state.dispatched - {attempt})
        ran = left._replace(ran=left.ran | {attempt}, results=left.results | {(attempt, True)})
        steps.append((f"{attempt} runs", ran))
        refused = left._replace(results=left.results | {(attempt, False)})
        steps.append((f"{attempt} is refused as not run", refused))
        steps.append((f"{attempt} is out of reach", _on_result(state, attempt, True)))
    for result in state.results:
        left = state._replace(results=state.results - {result})
        steps.append((f"result {result} comes", _on_result(left, *result)))
        steps.append((f"result {result} is lost", _on_result(left, result[0], True)))
    for number, attempt in enumerate(state.attempts, 1):
        if attempt.state == _FINISHED and mutant == "forgotten_is_void":
            steps.append((f"{number} is forgotten", _set_attempt(state, number, _FORGOTTEN)))
    return steps


def _on_result(state, attempt, may_have_run):
    owner = state.attempts[attempt - 1]
    entry = state.entries[owner.node]
    is_waiting = entry.phase == "running" and entry.attempt == attempt
    if entry.incarnation != owner.incarnation or not is_waiting:
        return state
    marked = _MARKED_DONE if may_have_run else _MARKED_VOID
    state = state._replace(writes=state.writes | {(attempt, (attempt, _OPEN), marked)})
    state = _set_attempt(state, attempt, _FINISHED if may_have_run else _VOID)
    if not may_have_run:
        state = _tell_not_run(state, owner.node)
    return _end(state, owner.node)


def _end(state, node):
    return _with_entry(state, node, Entry(state.entries[node].incarnation))


def _set_attempt(state, attempt, what):
    changed = state.attempts[attempt - 1]._replace(state=what)
    attempts = (*state.attempts[: attempt - 1], changed, *state.attempts[attempt:])
    return state._replace(attempts=attempts)


def _with_entry(state, node, entry):
    entries = tuple(entry if one == node else state.entries[one] for one in NODES)
    return state._replace(entries=entries)
