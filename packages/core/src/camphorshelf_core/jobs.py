"""The jobs that are offered to an admission queue."""

from enum import Enum, IntEnum


class QueueClass(Enum):
    """Whether a queued job will start in time for its latency objective."""

    IN_TIME = "in time"
    LATE = "late"


class LatePolicy(IntEnum):
    """What to do with a job that will miss its latency objective.

    The number is sent to other nodes. It also multiplies the capacity of the late queue and the
    number of offers for such a job.
    """

    REJECT = 0
    # An answer after the objective is still useful: the job is queued as late if there is capacity.
    QUEUE = 1
    # The job was held elsewhere for so long that a rejection now would come too late.
    QUEUE_HELD = 2


class JobState(Enum):
    """The state of a job from its offer to its end."""

    NEW = "new"
    QUEUED = "queued"
    DEQUEUED = "dequeued"
    RUNNING = "running"
    DONE = "done"


class Job:
    """One request that is offered to an admission queue.

    :param priority: the priority; 0 is the most urgent.
    :param objective_at: when its latency objective ends, in seconds on the monotonic clock.
    :param expires_at: its deadline, in seconds on the monotonic clock.
    :param work_s: how long such a request runs at a slowness of 1.0, in seconds.
    :param late_policy: its :class:`LatePolicy`.
    :param start: called when the job gets a slot.
    :param reject: called with the expected wait in seconds when the queued job is shed.
    :param organisation: the name of the organisation that it runs for; empty for calls.
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
        "organisation",
        "over_level",
        "is_displaced",
        "charged_s",
        "charged_at",
        "started_at",
    )

    def __init__(
        self,
        priority,
        objective_at,
        expires_at,
        work_s,
        late_policy,
        start,
        reject,
        organisation="",
    ):
        self.priority = priority
        self.objective_at = objective_at
        self.expires_at = expires_at
        self.work_s = work_s
        self.late_policy = late_policy
        self.start = start
        self.reject = reject
        self.state = JobState.NEW
        self.queue_class = QueueClass.IN_TIME
        # When its answer is due at this node: the objective, or the deadline once it is late.
        self.due_at = objective_at
        # How many jobs ran when it started, itself included.
        self.concurrency_at_start = 0
        self.organisation = organisation
        # How far its organisation was over its share when it was offered, 0 if it was within it.
        self.over_level = 0
        # Whether it was shed for a job of an organisation that has used less of its share.
        self.is_displaced = False
        # The slot-seconds that its organisation was charged in advance, and when.
        self.charged_s = 0.0
        self.charged_at = 0.0
        self.started_at = 0.0
