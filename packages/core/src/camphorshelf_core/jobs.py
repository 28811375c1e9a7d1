"""What is offered to an admission queue, and on which terms."""

from enum import Enum, IntEnum


class QueueClass(Enum):
    """The terms on which a job is queued."""

    IN_TIME = "in time"
    LATE = "late"


class LatePolicy(IntEnum):
    """What becomes of a job that will miss its latency objective.

    The number goes over links, and late work is granted so many times the usual room and offers.
    """

    REJECT = 0
    # An answer after the objective is still wanted: queued as late while there is room.
    QUEUE = 1
    # It was held so long that a rejection would come too late.
    QUEUE_HELD = 2


class JobState(Enum):
    """Where a job is between its offer and its end."""

    NEW = "new"
    QUEUED = "queued"
    DEQUEUED = "dequeued"
    RUNNING = "running"
    DONE = "done"


class Job:
    """One request that is offered to the target.

    :param priority: 0 goes first.
    :param objective_at: when its latency objective ends, seconds on the monotonic clock.
    :param expires_at: when nobody waits for it any more.
    :param work_s: how long such work runs where the slowness is 1.0.
    :param late_policy: its :class:`LatePolicy`.
    :param start: called when its slot is there.
    :param reject: called with the expected wait when it was queued and is shed.
    """

    __slots__ = (
        "priority",
        "objective_at",
        "expires_at",
        "work_s",
        "late_policy",
        "start",
        "reject",
        "state",
        "queue_class",
        "due_at",
        "concurrency_at_start",
    )

    def __init__(self, priority, objective_at, expires_at, work_s, late_policy, start, reject):
        self.priority = priority
        self.objective_at = objective_at
        self.expires_at = expires_at
        self.work_s = work_s
        self.late_policy = late_policy
        self.start = start
        self.reject = reject
        self.state = JobState.NEW
        self.queue_class = QueueClass.IN_TIME
        # Until when its answer is wanted here.
        self.due_at = objective_at
        # How many ran when it started, itself included.
        self.concurrency_at_start = 0
