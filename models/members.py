"""Model of the membership protocol: send status, suspect, refute, leave, restart and forget.

The model has one address, at which processes run one after the other, and two observers. The second
observer forwards the statuses that it receives to the first. Datagrams arrive in any order, after
any delay, twice or never. A member without a network needs no step of its own, since its datagrams
just have not arrived yet. Time is omitted: an observer may suspect a member at any moment.
docs/design/fleet.md maps the properties to the code; :data:`MUTANTS` names the safeguards that the
model can omit.
"""

from typing import NamedTuple

from minicheck import Protocol

OBSERVERS = (0, 1)
MUTANTS = (
    "take_overtaken_status",
    "take_older_incarnation",
    "remember_heard_incarnations",
    "keep_suspicion",
    "suspect_any_incarnation",
    "ignore_suspicion",
    "refute_without_sequence",
    "reuse_incarnation",
    "forget_early",
    "never_outbid",
)

_MEMBER = "member"
_FORWARDER = 1
_FIRST_INCARNATION = 9


class Member(NamedTuple):
    """The process that runs at the address; ``process`` numbers the processes in their order."""

    process: int = 1
    incarnation: tuple = (_FIRST_INCARNATION,)
    sequence: int = 0
    left: bool = False


class Status(NamedTuple):
    """A member's status as sent to one observer; only the properties read ``process``."""

    to: int
    process: int
    incarnation: tuple
    sequence: int
    left: bool


class Suspicion(NamedTuple):
    """An observer's announcement that an incarnation did not respond."""

    to: object
    incarnation: tuple


class View(NamedTuple):
    """An observer's view of the address; without a known status, the incarnation is ()."""

    process: int = 0
    incarnation: tuple = ()
    sequence: int = 0
    left: bool = False
    is_suspected: bool = False
    past: tuple = ()


class Received(NamedTuple):
    """What an observer has received, whether applied or not; only the properties read it."""

    process: int = 0
    newest: tuple = ((), 0)
    left: frozenset = frozenset()
    # The order of the status that the observer held when it began to suspect the member.
    suspected: tuple = ()


class State(NamedTuple):
    """The state of the whole system, and how many more events of each kind may happen."""

    member: Member = Member()
    views: tuple = (View(), View())
    received: tuple = (Received(), Received())
    in_flight: frozenset = frozenset()
    suspected_incarnations: frozenset = frozenset()
    has_unrefuted_suspicion: bool = False
    tells: int = 2
    restarts: int = 1
    suspicions: int = 2
    doubles: int = 1


def make_model(mutant=None, is_clock_behind=False, **budgets):
    """Create the model.

    :param mutant: the safeguard to omit, or None; with a mutant, the search ends at the first
        violation.
    :param is_clock_behind: whether each new process chooses a lower incarnation than its
        predecessor, as on a host whose clock is behind.
    :param budgets: the number of statuses sent (``tells``), restarts, suspicions and duplicated
        datagrams (``doubles``).
    :return: the :class:`minicheck.Protocol`.
    """
    violated = []

    def record_violations(predicate):
        def check(fields):
            holds = predicate(fields, mutant)
            if not holds:
                violated.append(fields)
            return holds

        return check

    def list_steps(state):
        if mutant and violated:
            return []
        return _list_steps(State(*state), mutant, is_clock_behind)

    invariants = (
        _CLOCK_INDEPENDENT if is_clock_behind else {**_CLOCK_INDEPENDENT, **_CLOCK_DEPENDENT}
    )
    return Protocol(
        name=f"members without {mutant}" if mutant else "members",
        candidate=mutant is not None,
        fields=State._fields,
        initial=State(**budgets),
        transitions=list_steps,
        invariants={name: record_violations(predicate) for name, predicate in invariants.items()},
    )


def _is_ended_process_not_live(fields, mutant):
    for view, received in zip(fields["views"], fields["received"], strict=True):
        is_live = view.process and not view.left and not view.is_suspected
        if is_live and (view.process < received.process or view.process in received.left):
            return False
    return True


def _is_older_process_rejected(fields, mutant):
    pairs = zip(fields["views"], fields["received"], strict=True)
    return all(not view.process or view.process >= received.process for view, received in pairs)


def _is_newest_status_held(fields, mutant):
    pairs = zip(fields["views"], fields["received"], strict=True)
    return all(
        not view.process or _status_order(view) >= received.newest for view, received in pairs
    )


def _is_suspicion_current(fields, mutant):
    pairs = zip(fields["views"], fields["received"], strict=True)
    return all(
        view.is_suspected == (bool(view.process) and received.suspected == _status_order(view))
        for view, received in pairs
    )


def _is_suspect_announced(fields, mutant):
    return all(
        not view.is_suspected or view.incarnation in fields["suspected_incarnations"]
        for view in fields["views"]
    )


def _is_suspicion_refuted(fields, mutant):
    return not fields["has_unrefuted_suspicion"]


def _is_probe_response_accepted(fields, mutant):
    for number, view in enumerate(fields["views"]):
        member = _increment_sequence(
            _raise_incarnation(fields["member"], view.incarnation, mutant), mutant
        )
        held = _apply_status(view, Status(number, *member), mutant)
        if held.process != member.process or held.is_suspected:
            return False
    return True


# Properties that hold whatever the hosts' clocks show, and those that need clocks in order.
_CLOCK_INDEPENDENT = {
    "an observer holds the newest status that it received": _is_newest_status_held,
    "only a newer status ends a suspicion": _is_suspicion_current,
    "a suspected incarnation was announced as suspected": _is_suspect_announced,
    "a live member refutes each suspicion that it receives": _is_suspicion_refuted,
    "a probe response of a live member is accepted": _is_probe_response_accepted,
}
_CLOCK_DEPENDENT = {
    "a process that left or was replaced does not count as live again": _is_ended_process_not_live,
    "an older process does not replace a newer one": _is_older_process_rejected,
}


def _list_steps(state, mutant, is_clock_behind):
    steps = _member_steps(state, mutant, is_clock_behind)
    for number in OBSERVERS:
        steps += _observer_steps(state, number, mutant)
    for message in state.in_flight:
        delivered = _deliver(state, message, mutant)
        left = delivered._replace(in_flight=delivered.in_flight - {message})
        steps.append((f"{message} arrives", left))
        if state.doubles:
            kept = delivered._replace(doubles=state.doubles - 1)
            steps.append((f"{message} arrives and is duplicated", kept))
    return steps


def _member_steps(state, mutant, is_clock_behind):
    steps = []
    member = state.member
    if state.tells and not member.left:
        with_fewer = state._replace(tells=state.tells - 1)
        steps.append(
            ("the member sends its status", _send_status(with_fewer, _increment_sequence(member)))
        )
        leaving = _increment_sequence(member._replace(left=True))
        steps.append(("the member leaves", _send_status(with_fewer, leaving)))
    if state.restarts:
        with_fewer = state._replace(restarts=state.restarts - 1)
        next_process = _increment_sequence(_next_process(member, mutant, is_clock_behind))
        steps.append(("the next process starts", _send_status(with_fewer, next_process)))
    return steps


def _next_process(member, mutant, is_clock_behind):
    process = member.process + 1
    incarnation = (
        (
            _FIRST_INCARNATION - member.process
            if is_clock_behind
            else _FIRST_INCARNATION + member.process
        ),
    )
    if mutant == "reuse_incarnation":
        incarnation = member.incarnation
    return Member(process, incarnation)


def _increment_sequence(member, mutant=None):
    if mutant == "refute_without_sequence":
        return member
    return member._replace(sequence=member.sequence + 1)


def _raise_incarnation(member, incarnation, mutant):
    if incarnation <= member.incarnation or mutant == "never_outbid":
        return member
    # The random part may be greater for the earlier of two processes that exceed the same
    # incarnation.
    random_part = _FIRST_INCARNATION - member.process
    return member._replace(incarnation=(*incarnation, random_part))


def _send_status(state, member):
    sent = {Status(number, *member) for number in OBSERVERS}
    return state._replace(member=member, in_flight=state.in_flight | sent)


def _observer_steps(state, number, mutant):
    view = state.views[number]
    steps = []
    if state.suspicions and view.process and not view.is_suspected:
        steps.append(
            (
                f"{number} gets no response and suspects the member",
                _suspect_silent_member(state, number),
            )
        )
    is_overdue = any(isinstance(message, Status) for message in state.in_flight)
    if view.is_suspected and (not is_overdue or mutant == "forget_early"):
        received = state.received[number]._replace(newest=((), 0), suspected=())
        steps.append((f"{number} forgets the member", _with_view(state, number, View(), received)))
    return steps


def _suspect_silent_member(state, number):
    incarnation = state.views[number].incarnation
    sent = {Suspicion(to, incarnation) for to in (_MEMBER, 1 - number)}
    state = state._replace(
        suspicions=state.suspicions - 1,
        suspected_incarnations=state.suspected_incarnations | {incarnation},
        in_flight=state.in_flight | sent,
    )
    return _suspect(state, number)


def _suspect(state, number):
    view = state.views[number]
    received = state.received[number]._replace(suspected=_status_order(view))
    return _with_view(state, number, view._replace(is_suspected=True), received)


def _deliver(state, message, mutant):
    if message.to == _MEMBER:
        return _refute(state, message.incarnation, mutant)
    if isinstance(message, Suspicion):
        view = state.views[message.to]
        is_same_incarnation = (
            view.incarnation == message.incarnation or mutant == "suspect_any_incarnation"
        )
        is_new = view.process and is_same_incarnation and not view.is_suspected
        return _suspect(state, message.to) if is_new else state
    if message.to == _FORWARDER:
        state = state._replace(in_flight=state.in_flight | {message._replace(to=1 - _FORWARDER)})
    view = _apply_status(state.views[message.to], message, mutant)
    return _with_view(state, message.to, view, _record_status(state.received[message.to], message))


def _refute(state, incarnation, mutant):
    if incarnation < state.member.incarnation:
        return state
    if mutant == "ignore_suspicion":
        return state._replace(has_unrefuted_suspicion=True)
    member = _increment_sequence(_raise_incarnation(state.member, incarnation, mutant), mutant)
    is_newer = _status_order(member) > max(_status_order(state.member), (incarnation, 0))
    return _send_status(state, member)._replace(has_unrefuted_suspicion=not is_newer)


def _apply_status(view, status, mutant):
    if not _is_newer(view, status, mutant):
        return view
    is_suspected = view.is_suspected and mutant == "keep_suspicion"
    past = view.past
    if mutant == "remember_heard_incarnations" and view.incarnation != status.incarnation:
        past = (*past, view.incarnation)
    return View(*status[1:], is_suspected, past)


def _is_newer(view, status, mutant):
    if status.incarnation == view.incarnation:
        return status.sequence > view.sequence or mutant == "take_overtaken_status"
    if mutant == "remember_heard_incarnations":
        return status.incarnation not in view.past
    return status.incarnation > view.incarnation or mutant == "take_older_incarnation"


def _record_status(received, status):
    return received._replace(
        process=max(received.process, status.process),
        newest=max(received.newest, _status_order(status)),
        left=received.left | ({status.process} if status.left else set()),
    )


def _with_view(state, number, view, received):
    def replace_at(values, value):
        return tuple(value if index == number else values[index] for index in OBSERVERS)

    return state._replace(
        views=replace_at(state.views, view), received=replace_at(state.received, received)
    )


def _status_order(held):
    return held.incarnation, held.sequence
