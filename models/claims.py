"""Model of the claim protocol for one idempotency key.

Two entry nodes serve a few sends of one key: they claim it, read back, dispatch, void, resend and
take over. Every message to and from the table and the target may be late or lost, and a node may
crash at any moment. A pause needs no step of its own, since a node that takes no step for a while
behaves like a paused one. docs/design/at-most-once.md maps each step to the
code; :data:`MUTANTS` names the safeguards that the model can omit.
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
_ROW_OPEN, _ROW_VOIDED, _ROW_FINISHED = "open", "voided", "finished"


class Entry(NamedTuple):
    """An entry node and the send that it handles.

    ``attempt`` is the number of the attempt whose claim it writes in place of the row ``expected``;
    ``found_row`` is the open row of another attempt. ``may_be_written`` says whether the write may
    take effect although its answer was lost, ``is_known_not_run`` whether the key is known not to
    have run, and ``had_run_before`` whether it had run before this send.
    """

    incarnation: int = 0
    phase: str = "idle"
    attempt: int = 0
    expected: tuple = ()
    may_be_written: bool = False
    is_known_not_run: bool = False
    found_row: tuple = ()
    had_run_before: bool = False
    is_first_attempt: bool = False


class Attempt(NamedTuple):
    """An attempt and its state in the registry of its owner."""

    node: int
    incarnation: int
    state: str


class State(NamedTuple):
    """The state of the whole system.

    ``row`` is the claim's row: the number of an attempt and the state of that attempt in the row.
    ``writes``, ``answers``, ``dispatched`` and ``results`` are the messages in flight. ``ran`` has
    the attempts that ran, ``reported_not_run`` those that were reported as not run.
    ``has_false_not_run`` says whether NOT_RUN was reported for a key that had run before the send.
    ``sends`` and ``crashes`` are how many more of each may happen.
    """

    row: tuple = ()
    entries: tuple = (Entry(), Entry())
    attempts: tuple = ()
    writes: frozenset = frozenset()
    answers: frozenset = frozenset()
    dispatched: frozenset = frozenset()
    results: frozenset = frozenset()
    ran: frozenset = frozenset()
    reported_not_run: frozenset = frozenset()
    has_false_not_run: bool = False
    is_key_sent: bool = False
    sends: int = SENDS
    crashes: int = CRASHES


def make_model(mutant=None, after_void=False, crashes=None):
    """Create the model.

    :param mutant: the safeguard to omit, or None; with a mutant, the search ends at the first
        violation.
    :param after_void: start in the state in which an earlier send of the key was refused as
        not run and its claim was voided.
    :param crashes: the number of node crashes; by default 1, or 0 with ``after_void``.
    :return: the :class:`minicheck.Protocol`.
    """
    violated = []
    initial = _AFTER_VOID if after_void else State()
    if crashes is not None:
        initial = initial._replace(crashes=crashes)

    def record_violations(predicate):
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
        invariants={name: record_violations(predicate) for name, predicate in _INVARIANTS.items()},
    )


_AFTER_VOID = State(
    row=(1, _ROW_VOIDED),
    attempts=(Attempt(0, 0, _VOID),),
    reported_not_run=frozenset({1}),
    is_key_sent=True,
    crashes=0,
)
_INVARIANTS = {
    "the key runs at most once": lambda state: len(state["ran"]) <= 1,
    "an attempt reported as not run never runs": lambda state: not state["reported_not_run"]
    & state["ran"],
    "NOT_RUN is true when it is reported": lambda state: not state["has_false_not_run"],
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
        steps.append((f"send to {node}", _receive_send(state, node, mutant)))
    elif entry.phase == "writing":
        steps.append((f"{node}: the write times out", _time_out_write(state, node, mutant)))
    elif entry.phase == "reading":
        steps.append((f"{node}: reads back", _read_back(state, node, mutant)))
        steps.append((f"{node}: the read fails", _give_up(state, node, mutant)))
    elif entry.phase == "asking":
        steps.append((f"{node}: asks the owner", _ask_owner(state, node, mutant)))
        steps.append((f"{node}: the owner is unreachable", _end_send(state, node)))
    if entry.phase in ("writing", "reading", "asking"):
        steps.append((f"{node}: its caller disconnects", _give_up(state, node, mutant)))
    if state.crashes:
        steps.append((f"{node}: crashes", _crash_node(state, node)))
    return steps


def _receive_send(state, node, mutant):
    is_first = not state.is_key_sent
    entry = Entry(
        state.entries[node].incarnation, had_run_before=bool(state.ran), is_first_attempt=is_first
    )
    state = state._replace(sends=state.sends - 1, is_key_sent=True)
    return _claim(_with_entry(state, node, entry), node, (), mutant)


def _claim(state, node, expected, mutant):
    entry = state.entries[node]
    attempts = state.attempts
    attempt = len(attempts) + 1
    void = Attempt(node, entry.incarnation, _VOID)
    if mutant == "reuse_attempt" and void in attempts:
        attempt = attempts.index(void) + 1
    attempts = (*attempts[: attempt - 1], void._replace(state=_NEW), *attempts[attempt:])
    entry = entry._replace(
        phase="writing", attempt=attempt, expected=expected, may_be_written=False
    )
    writes = state.writes | {(attempt, expected, _ROW_OPEN)}
    return _with_entry(state._replace(attempts=attempts, writes=writes), node, entry)


def _time_out_write(state, node, mutant):
    entry = state.entries[node]
    if mutant == "dispatch_on_unknown":
        return _dispatch(state, node)
    if mutant == "drop_read_back":
        state = _with_entry(state, node, entry._replace(is_known_not_run=True, may_be_written=True))
        return _give_up(state, node, mutant)
    return _with_entry(state, node, entry._replace(phase="reading", may_be_written=True))


def _read_back(state, node, mutant):
    entry = state.entries[node]
    if state.row == entry.expected:
        state = _with_entry(state, node, entry._replace(is_known_not_run=True))
        return _give_up(state, node, mutant)
    return _handle_existing_row(state, node, state.row, mutant)


def _handle_existing_row(state, node, row, mutant):
    entry = state.entries[node]
    attempt, row_state = row
    if attempt == entry.attempt and row_state == _ROW_OPEN:
        return _dispatch(state, node)
    state = _set_attempt(state, entry.attempt, _VOID)
    if row_state == _ROW_FINISHED:
        return _end_send(state, node)
    if row_state == _ROW_VOIDED:
        return _take_over(state, node, row, mutant)
    return _with_entry(state, node, entry._replace(phase="asking", found_row=row))


def _ask_owner(state, node, mutant):
    found_row = state.entries[node].found_row
    attempt = state.attempts[found_row[0] - 1]
    is_gone = state.entries[attempt.node].incarnation != attempt.incarnation
    is_void = not is_gone and attempt.state == _VOID
    is_void |= mutant == "take_over_gone" and is_gone
    is_void |= mutant == "take_over_running" and attempt.state in (_NEW, _STARTED)
    is_void |= mutant == "forgotten_is_void" and attempt.state == _FORGOTTEN
    if is_void:
        return _take_over(state, node, found_row, mutant)
    return _end_send(state, node)


def _take_over(state, node, row, mutant):
    state = _with_entry(state, node, state.entries[node]._replace(is_known_not_run=True))
    return _claim(state, node, row, mutant)


def _give_up(state, node, mutant):
    entry = state.entries[node]
    if mutant != "drop_void":
        state = _set_attempt(state, entry.attempt, _VOID)
    if entry.may_be_written:
        mark = (entry.attempt, entry.expected, _ROW_VOIDED)
        state = state._replace(writes=state.writes | {mark})
    if entry.is_known_not_run or entry.is_first_attempt or mutant == "not_run_unproven":
        state = _report_not_run(state, node)
    return _end_send(state, node)


def _report_not_run(state, node):
    entry = state.entries[node]
    reported = state.reported_not_run | {entry.attempt}
    return state._replace(
        reported_not_run=reported, has_false_not_run=state.has_false_not_run or entry.had_run_before
    )


def _dispatch(state, node):
    attempt = state.entries[node].attempt
    state = _set_attempt(state, attempt, _STARTED)
    state = state._replace(dispatched=state.dispatched | {attempt})
    return _with_entry(state, node, state.entries[node]._replace(phase="running"))


def _crash_node(state, node):
    incarnation = state.entries[node].incarnation + 1
    state = state._replace(crashes=state.crashes - 1)
    return _with_entry(state, node, Entry(incarnation))


def _table_steps(state, mutant):
    steps = []
    for write in state.writes:
        attempt, expected, row_state = write
        remaining = state._replace(writes=state.writes - {write})
        steps.append((f"write {write} takes effect", _apply_write(remaining, write, mutant)))
    for answer in state.answers:
        attempt, found_row = answer
        remaining = state._replace(answers=state.answers - {answer})
        steps.append(
            (f"answer {answer} arrives", _on_write_answer(remaining, attempt, found_row, mutant))
        )
    return steps


def _apply_write(state, write, mutant):
    attempt, expected, row_state = write
    skips_comparison = (
        mutant == "overwrite_without_comparing" and expected and row_state == _ROW_OPEN
    )
    if state.row == expected or skips_comparison:
        state = state._replace(row=(attempt, row_state))
        answer = (attempt, ())
    elif row_state == _ROW_OPEN:
        answer = (attempt, state.row)
    elif state.row == (attempt, _ROW_OPEN):
        return state._replace(writes=state.writes | {(attempt, state.row, row_state)})
    else:
        return state
    if row_state != _ROW_OPEN or not _awaits_answer(state, attempt, mutant):
        return state
    return state._replace(answers=state.answers | {answer})


def _awaits_answer(state, attempt, mutant):
    """Check whether an answer can still have an effect; others are omitted to save states."""
    owner = state.attempts[attempt - 1]
    entry = state.entries[owner.node]
    is_alive = entry.incarnation == owner.incarnation
    is_awaiting = entry.phase == "writing" and entry.attempt == attempt
    return is_alive and (is_awaiting or mutant == "drop_void")


def _on_write_answer(state, attempt, found_row, mutant):
    owner = state.attempts[attempt - 1]
    entry = state.entries[owner.node]
    is_alive = entry.incarnation == owner.incarnation
    if is_alive and entry.phase == "writing" and entry.attempt == attempt:
        if not found_row:
            return _dispatch(state, owner.node)
        entry = entry._replace(is_known_not_run=False)
        return _handle_existing_row(
            _with_entry(state, owner.node, entry), owner.node, found_row, mutant
        )
    is_abandoned = entry.attempt != attempt
    if (
        mutant == "drop_void"
        and is_alive
        and is_abandoned
        and not found_row
        and owner.state == _NEW
    ):
        # The call was given up but not voided, so a late answer to its write still dispatches it.
        state = _set_attempt(state, attempt, _STARTED)
        return state._replace(dispatched=state.dispatched | {attempt})
    return state


def _target_steps(state, mutant):
    steps = []
    for attempt in state.dispatched:
        remaining = state._replace(dispatched=state.dispatched - {attempt})
        ran = remaining._replace(
            ran=remaining.ran | {attempt}, results=remaining.results | {(attempt, True)}
        )
        steps.append((f"{attempt} runs", ran))
        refused = remaining._replace(results=remaining.results | {(attempt, False)})
        steps.append((f"{attempt} is refused as not run", refused))
        steps.append((f"{attempt} does not reach the target", _on_result(state, attempt, True)))
    for result in state.results:
        remaining = state._replace(results=state.results - {result})
        steps.append((f"result {result} arrives", _on_result(remaining, *result)))
        steps.append((f"result {result} is lost", _on_result(remaining, result[0], True)))
    for number, attempt in enumerate(state.attempts, 1):
        if attempt.state == _FINISHED and mutant == "forgotten_is_void":
            steps.append((f"{number} is forgotten", _set_attempt(state, number, _FORGOTTEN)))
    return steps


def _on_result(state, attempt, may_have_run):
    owner = state.attempts[attempt - 1]
    entry = state.entries[owner.node]
    is_awaiting = entry.phase == "running" and entry.attempt == attempt
    if entry.incarnation != owner.incarnation or not is_awaiting:
        return state
    row_state = _ROW_FINISHED if may_have_run else _ROW_VOIDED
    state = state._replace(writes=state.writes | {(attempt, (attempt, _ROW_OPEN), row_state)})
    state = _set_attempt(state, attempt, _FINISHED if may_have_run else _VOID)
    if not may_have_run:
        state = _report_not_run(state, owner.node)
    return _end_send(state, owner.node)


def _end_send(state, node):
    return _with_entry(state, node, Entry(state.entries[node].incarnation))


def _set_attempt(state, attempt, new_state):
    changed = state.attempts[attempt - 1]._replace(state=new_state)
    attempts = (*state.attempts[: attempt - 1], changed, *state.attempts[attempt:])
    return state._replace(attempts=attempts)


def _with_entry(state, node, entry):
    entries = tuple(entry if index == node else state.entries[index] for index in NODES)
    return state._replace(entries=entries)
