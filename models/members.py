"""The protocol of members: tell, suspect, refute, leave, restart, forget.

One address, at which one process follows another, and two observers; the second one forwards to
the first what it is told. Datagrams arrive in any order, at any later time, twice or never. A
member that is cut off needs no step of its own: it is one whose datagrams have not arrived yet.
Time is left out: a suspicion may come into force at any moment. docs/design/fleet.md maps the
properties to the code; :data:`MUTANTS` names the safeguards that the model can leave out.
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
_FORWARDING = 1
_FIRST = 9


class Member(NamedTuple):
    """The process that runs at the address."""

    process: int = 1
    incarnation: tuple = (_FIRST,)
    sequence: int = 0
    left: bool = False


class Status(NamedTuple):
    """A member's word on itself; the process is known to the properties only."""

    to: int
    process: int
    incarnation: tuple
    sequence: int
    left: bool


class Suspicion(NamedTuple):
    """An observer's word that an incarnation has not answered."""

    to: object
    incarnation: tuple


class View(NamedTuple):
    """What an observer holds of the address; an incarnation of () is none."""

    process: int = 0
    incarnation: tuple = ()
    sequence: int = 0
    left: bool = False
    is_suspected: bool = False
    past: tuple = ()


class Heard(NamedTuple):
    """All that an observer was ever told, whatever it made of it; for the properties only."""

    process: int = 0
    newest: tuple = ((), 0)
    left: frozenset = frozenset()
    # What was held when the suspicion came into force.
    suspected: tuple = ()


class State(NamedTuple):
    """Everything at one moment, and how much more may happen."""

    member: Member = Member()
    views: tuple = (View(), View())
    heard: tuple = (Heard(), Heard())
    wire: frozenset = frozenset()
    accused: frozenset = frozenset()
    is_unanswered: bool = False
    tells: int = 2
    restarts: int = 1
    suspicions: int = 2
    doubles: int = 1


def make_model(mutant=None, is_clock_behind=False, **budgets):
    """Make the model.

    :param mutant: the safeguard to leave out, or None; its search ends at the first violation.
    :param is_clock_behind: whether the next process draws an incarnation below that of the one
        before, as on a host whose clock is behind.
    :param budgets: how often a member tells, restarts, is suspected, and a datagram is doubled.
    :return: the :class:`minicheck.Protocol`.
    """
    violated = []

    def hold(predicate):
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

    chosen = _SURE if is_clock_behind else {**_SURE, **_BY_CLOCK}
    return Protocol(
        name=f"members without {mutant}" if mutant else "members",
        candidate=mutant is not None,
        fields=State._fields,
        initial=State(**budgets),
        transitions=list_steps,
        invariants={name: hold(predicate) for name, predicate in chosen.items()},
    )


def _is_ended_not_live(fields, mutant):
    for view, heard in zip(fields["views"], fields["heard"], strict=True):
        is_live = view.process and not view.left and not view.is_suspected
        if is_live and (view.process < heard.process or view.process in heard.left):
            return False
    return True


def _is_older_rejected(fields, mutant):
    pairs = zip(fields["views"], fields["heard"], strict=True)
    return all(not view.process or view.process >= heard.process for view, heard in pairs)


def _is_growing(fields, mutant):
    pairs = zip(fields["views"], fields["heard"], strict=True)
    return all(not view.process or _place(view) >= heard.newest for view, heard in pairs)


def _is_suspicion_of_held(fields, mutant):
    pairs = zip(fields["views"], fields["heard"], strict=True)
    return all(
        view.is_suspected == (bool(view.process) and heard.suspected == _place(view))
        for view, heard in pairs
    )


def _is_accused(fields, mutant):
    return all(
        not view.is_suspected or view.incarnation in fields["accused"] for view in fields["views"]
    )


def _is_suspicion_answered(fields, mutant):
    return not fields["is_unanswered"]


def _is_answer_believed(fields, mutant):
    for number, view in enumerate(fields["views"]):
        member = _speak(_outbid(fields["member"], view.incarnation, mutant), mutant)
        held = _take(view, Status(number, *member), mutant)
        if held.process != member.process or held.is_suspected:
            return False
    return True


# Those that hold whatever the hosts' clocks show, and those that need them in order.
_SURE = {
    "knowledge of an incarnation only grows": _is_growing,
    "a refutation ends the suspicion, and nothing older does": _is_suspicion_of_held,
    "who is suspected was accused under this incarnation": _is_accused,
    "a live member contradicts a suspicion that it hears": _is_suspicion_answered,
    "the answer of a live member to a probe is believed": _is_answer_believed,
}
_BY_CLOCK = {
    "what has left or was followed is not live again": _is_ended_not_live,
    "an older incarnation does not replace a newer one": _is_older_rejected,
}


def _list_steps(state, mutant, is_clock_behind):
    steps = _member_steps(state, mutant, is_clock_behind)
    for number in OBSERVERS:
        steps += _observer_steps(state, number, mutant)
    for message in state.wire:
        arrived = _arrive(state, message, mutant)
        left = arrived._replace(wire=arrived.wire - {message})
        steps.append((f"{message} arrives", left))
        if state.doubles:
            kept = arrived._replace(doubles=state.doubles - 1)
            steps.append((f"{message} arrives, and will once more", kept))
    return steps


def _member_steps(state, mutant, is_clock_behind):
    steps = []
    member = state.member
    if state.tells and not member.left:
        fewer = state._replace(tells=state.tells - 1)
        steps.append(("the member tells its status", _tell(fewer, _speak(member))))
        leaving = _speak(member._replace(left=True))
        steps.append(("the member leaves", _tell(fewer, leaving)))
    if state.restarts:
        fewer = state._replace(restarts=state.restarts - 1)
        follower = _speak(_follow(member, mutant, is_clock_behind))
        steps.append(("the next process starts", _tell(fewer, follower)))
    return steps


def _follow(member, mutant, is_clock_behind):
    process = member.process + 1
    drawn = (_FIRST - member.process if is_clock_behind else _FIRST + member.process,)
    if mutant == "reuse_incarnation":
        drawn = member.incarnation
    return Member(process, drawn)


def _speak(member, mutant=None):
    if mutant == "refute_without_sequence":
        return member
    return member._replace(sequence=member.sequence + 1)


def _outbid(member, incarnation, mutant):
    if incarnation <= member.incarnation or mutant == "never_outbid":
        return member
    # Chance may favour the earlier of two processes that outbid the same one.
    chance = _FIRST - member.process
    return member._replace(incarnation=(*incarnation, chance))


def _tell(state, member):
    said = {Status(number, *member) for number in OBSERVERS}
    return state._replace(member=member, wire=state.wire | said)


def _observer_steps(state, number, mutant):
    view = state.views[number]
    steps = []
    if state.suspicions and view.process and not view.is_suspected:
        steps.append((f"{number} gets no answer and suspects", _accuse(state, number)))
    is_overdue = any(isinstance(message, Status) for message in state.wire)
    if view.is_suspected and (not is_overdue or mutant == "forget_early"):
        heard = state.heard[number]._replace(newest=((), 0), suspected=())
        steps.append((f"{number} forgets", _with_view(state, number, View(), heard)))
    return steps


def _accuse(state, number):
    incarnation = state.views[number].incarnation
    said = {Suspicion(to, incarnation) for to in (_MEMBER, 1 - number)}
    state = state._replace(
        suspicions=state.suspicions - 1,
        accused=state.accused | {incarnation},
        wire=state.wire | said,
    )
    return _suspect(state, number)


def _suspect(state, number):
    view = state.views[number]
    heard = state.heard[number]._replace(suspected=_place(view))
    return _with_view(state, number, view._replace(is_suspected=True), heard)


def _arrive(state, message, mutant):
    if message.to == _MEMBER:
        return _contradict(state, message.incarnation, mutant)
    if isinstance(message, Suspicion):
        view = state.views[message.to]
        is_meant = view.incarnation == message.incarnation or mutant == "suspect_any_incarnation"
        is_news = view.process and is_meant and not view.is_suspected
        return _suspect(state, message.to) if is_news else state
    if message.to == _FORWARDING:
        state = state._replace(wire=state.wire | {message._replace(to=1 - _FORWARDING)})
    view = _take(state.views[message.to], message, mutant)
    return _with_view(state, message.to, view, _note(state.heard[message.to], message))


def _contradict(state, incarnation, mutant):
    if incarnation < state.member.incarnation:
        return state
    if mutant == "ignore_suspicion":
        return state._replace(is_unanswered=True)
    member = _speak(_outbid(state.member, incarnation, mutant), mutant)
    is_newer = _place(member) > max(_place(state.member), (incarnation, 0))
    return _tell(state, member)._replace(is_unanswered=not is_newer)


def _take(view, status, mutant):
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


def _note(heard, status):
    return heard._replace(
        process=max(heard.process, status.process),
        newest=max(heard.newest, _place(status)),
        left=heard.left | ({status.process} if status.left else set()),
    )


def _with_view(state, number, view, heard):
    def put(values, value):
        return tuple(value if one == number else values[one] for one in OBSERVERS)

    return state._replace(views=put(state.views, view), heard=put(state.heard, heard))


def _place(held):
    return held.incarnation, held.sequence
