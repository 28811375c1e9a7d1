"""The target beside the node, watched closely: which process runs, its load and its failures.

Only this node can reach the target, so only it can know the load of this moment, say "not run"
and be right, and end all new work at one point when the target leaves.
"""

from camphorshelf_core.instances import InstanceRecord
from camphorshelf_core.routes import ServiceTerms

from .healthprobe import HealthProbe, ProbeHandlers
from .targetlink import TargetLink

_FAILURE_WEIGHT = 0.08
# A share of failures halves within this time, so a target that gets no work for its failures is
# tried again.
_FAILURE_HALF_LIFE = 1.5


def _do_nothing():
    """Stands for nobody who wants to know."""


class Target:
    """What the node knows of its target, and the connections to it.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param dialect: how the target is spoken to.
    :param admission: the :class:`~camphorshelf_core.admissionqueue.AdmissionQueue`.
    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    :param on_change: told after every change that others may want to know of.
    :param on_crash: told when the target's process has ended without a word.
    """

    def __init__(
        self, loop, settings, dialect, admission, log, on_change=_do_nothing, on_crash=_do_nothing
    ):
        self._loop = loop
        self._settings = settings
        self._admission = admission
        self._warm_up = admission.warm_up
        self._log = log
        self._record = InstanceRecord()
        self._link = TargetLink(
            loop, settings.addresses.target, dialect, self._note_dial, self._note_stray
        )
        self._failing = 0.0
        self._failing_at = 0.0
        self._stopping = False
        self._is_configured = False
        self._is_evacuated = False
        # What the target says of its speed includes its slow start.
        self.tells_slowness = False
        self.slowness = 1.0
        self.strays = {"ahead": 0, "behind": 0, "idle": 0}
        self.on_change = on_change
        self._on_crash = on_crash
        handlers = ProbeHandlers(
            on_answer=self._on_health,
            on_lost=self.note_lost,
            on_unreachable=self.note_unreachable,
            is_down=lambda: self._record.down,
            is_doubted=lambda: not self._warm_up.is_known(loop.now()),
        )
        self._probe = HealthProbe(loop, settings, self._link, handlers)
        self.counts = self._probe.counts
        self.counts["connection"] = 0

    @property
    def record(self):
        """The :class:`~camphorshelf_core.instances.InstanceRecord`."""
        return self._record

    @property
    def link(self):
        """The :class:`~camphorshelf_relay.targetlink.TargetLink`."""
        return self._link

    @property
    def accepting(self):
        """Whether new work is let in."""
        is_wanted = self._is_configured and not self._is_evacuated and not self._stopping
        return is_wanted and self._record.usable and self._admission.limit > 0

    @property
    def closed_reason(self):
        """Why no work is let in, in one sentence."""
        if self._is_evacuated:
            return "the target's failure domain is evacuated"
        return "the target takes no work"

    @property
    def is_limited(self):
        """Whether requests are held back because the target is cold, or may be."""
        return self._warm_up.is_limited(self._loop.now())

    @property
    def warming_s(self):
        """For how long the target is slow without saying so."""
        return 0.0 if self.tells_slowness else self._record.warming_s(self._loop.now())

    @property
    def failing(self):
        """The share of recent requests that failed, fading with time."""
        age = self._loop.now() - self._failing_at
        return self._failing * 0.5 ** (age / _FAILURE_HALF_LIFE)

    def take_settings(self, settings):
        """Take changed bounds.

        :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
        :return: None.
        """
        self._settings = settings
        self._probe.take_settings(settings)

    def configure(self, terms):
        """Take what is configured for the target's service.

        :param terms: :class:`~camphorshelf_core.routes.ServiceTerms`, or None.
        :return: None.
        """
        self._is_configured = True
        terms = terms or ServiceTerms(None)
        rate = terms.cold_rate_per_s
        self._warm_up.configure(rate, terms.cold_s, self._settings.warm_up, self._loop.now())
        self._settle("configuration")
        self._probe.configure(terms.health_path, may_be_cold=rate is not None)

    def evacuate(self, is_evacuated):
        """Take in whether the target's failure domain is evacuated.

        :param is_evacuated: whether it is.
        :return: None.
        """
        if is_evacuated != self._is_evacuated:
            self._is_evacuated = is_evacuated
            self._settle("evacuation")

    def stop(self):
        """Let no more work in; what runs goes on.

        :return: None.
        """
        self._stopping = True
        self._settle("stopping")

    def beat(self, heartbeat):
        """Take in a heartbeat of the target.

        :param heartbeat: the :class:`~camphorshelf_core.instances.Heartbeat`.
        :return: whether it was taken in.
        """
        if heartbeat.service != self._settings.service:
            self._log.notable("heartbeat_refused", instance=heartbeat.instance, reason="service")
            return False
        before = self._record.instance, self._record.leaving
        started_ms = self._record.started_ms
        taken = self._record.record_heartbeat(heartbeat, self._loop.now())
        if taken:
            self._note_announced(heartbeat, before[0], started_ms)
        if taken and heartbeat.slots != self._admission.slots:
            self._admission.resize(heartbeat.slots)
        if (self._record.instance, self._record.leaving) != before:
            if before[0] and before[0] != self._record.instance and not before[1]:
                self._on_crash()
            self._settle("heartbeat")
        elif taken:
            self._refresh()
        return taken

    def leave(self, instance, started_ms):
        """Take in that a process of the target goes for good.

        :param instance: its id.
        :param started_ms: when it started, Unix milliseconds, or None.
        :return: None.
        """
        if self._record.record_leaving(instance, started_ms):
            self._settle("farewell")

    def note_word(self, word):
        """Take in what the target said on an answer.

        :param word: a :class:`~camphorshelf_relay.settings.TargetWord`.
        :return: None.
        """
        if word.running is None:
            return
        now = self._loop.now()
        self._probe.note_load_told()
        if word.slots and word.slots != self._admission.slots:
            self._admission.resize(word.slots)
        self.tells_slowness = word.slowness is not None
        if word.slowness is not None and word.slowness != self.slowness:
            slower = word.slowness > self.slowness * 1.3
            self.slowness = self._admission.slowness = word.slowness
            if slower:
                self._admission.shed_late(now)
            self.on_change()

    def note_outcome(self, failed):
        """Count a request that the target finished or failed.

        :param failed: whether it failed there.
        :return: None.
        """
        value = 1.0 if failed else 0.0
        share = self.failing
        self._failing = share + _FAILURE_WEIGHT * (value - share)
        self._failing_at = self._loop.now()

    def note_lost(self):
        """Take in that a connection broke off: another process may run there by now.

        :return: None.
        """
        self._warm_up.note_replaced(self._loop.now())
        self._probe.ask_if_doubted()

    def note_unreachable(self):
        """Take in that the target took no connection.

        :return: None.
        """
        self._warm_up.note_replaced(self._loop.now())
        if not self._record.down:
            if not self._record.leaving:
                self._on_crash()
            self._record.record_unreachable()
            self._settle("unreachable")

    def note_other(self, instance):
        """Take in that another process answers at the target's address.

        :param instance: its id, empty when it was not named.
        :return: None.
        """
        self._record.record_other_instance(instance)
        self.note_lost()
        self._settle("another process")

    def _note_dial(self):
        self.counts["connection"] += 1

    def _note_stray(self, request_id, place):
        self.strays[place] += 1
        instance = self._record.instance
        self._log.notable("stray_answer", request=request_id, place=place, instance=instance)

    def _note_announced(self, heartbeat, instance, started_ms):
        now = self._loop.now()
        if (self._record.instance, self._record.started_ms) != (instance, started_ms):
            self._warm_up.note_replaced(now)
        self._warm_up.note_announced(heartbeat.warming_s, now)
        if self._warm_up.is_limited(now):
            self._admission.shed_late(now)

    def _on_health(self, answered):
        word = answered.word
        before = self._record.usable, self._record.instance
        if answered.response.status == 200 and word.instance:
            self._record.record_healthy(word.instance)
        else:
            self._record.record_unhealthy(word.instance)
        self._note_told(word, before[1])
        self.note_word(word)
        if (self._record.usable, self._record.instance) != before:
            self._settle("health")

    def _note_told(self, word, instance_before):
        now = self._loop.now()
        if self._record.instance != instance_before:
            self._warm_up.note_replaced(now)
        if word.instance and word.instance != self._record.instance:
            return
        was_limited = self._warm_up.is_limited(now)
        self._warm_up.note_told(word.cold_left_s, now)
        if self._warm_up.is_limited(now):
            if not was_limited:
                self._admission.shed_late(now)
                self.on_change()
        elif was_limited:
            self._admission.dispatch(now)
            self.on_change()

    def _settle(self, cause):
        self._refresh()
        record = self._record
        self._log.notable(
            "target",
            cause=cause,
            instance=record.instance,
            accepting=self.accepting,
            leaving=record.leaving,
            down=record.down,
            evacuated=self._is_evacuated,
            cold=self.is_limited,
        )
        self.on_change()

    def _refresh(self):
        now = self._loop.now()
        if self.accepting:
            if self._admission.closed:
                self._admission.open(now)
        elif not self._admission.closed:
            self._admission.close(now)
