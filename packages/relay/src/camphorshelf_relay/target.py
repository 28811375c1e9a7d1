"""The local target: which of its processes is running, its load and its failures.

A cold target, for example one whose process has just started, tolerates only part of its usual
load; see ``camphorshelf_core.warmup``. A target may also advertise a rate limit in its responses;
see ``camphorshelf_core.ratelimit``.

Only this node sends requests to the target. So only this node knows the target's current load, can
say for certain that a request did not run, and can stop all new work at once when the target
leaves.
"""

from camphorshelf_core.instances import InstanceRecord
from camphorshelf_core.routes import ServiceSettings

from .healthprobe import HealthProbe, ProbeHandlers
from .targetpool import TargetConnectionPool

# Weight of a new outcome in the moving average of failures.
_FAILURE_WEIGHT = 0.08
# Without new outcomes, the failure rate halves within this time. So a target that gets no requests
# because of its failures is tried again.
_FAILURE_HALF_LIFE_SECONDS = 1.5


def _do_nothing():
    """Default callback."""


class Target:
    """The state of the local target, and the connections to it.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param header_codec: the :class:`~camphorshelf_relay.settings.HeaderCodec`.
    :param admission: the :class:`~camphorshelf_core.admissionqueue.AdmissionQueue`.
    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    :param on_change: called after each change that other hosts may have to know of.
    :param on_crash: called when the target's process has ended without announcing it.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`, or None.
    """

    def __init__(
        self,
        loop,
        settings,
        header_codec,
        admission,
        log,
        on_change=_do_nothing,
        on_crash=_do_nothing,
        memory=None,
    ):
        self._loop = loop
        self._settings = settings
        self._admission = admission
        self._warm_up = admission.start_limits.warm_up
        self._rate_limit = admission.start_limits.rate_limit
        self._log = log
        self._record = InstanceRecord(loop.now())
        self._pool = TargetConnectionPool(
            loop,
            settings.addresses.target,
            header_codec,
            self._count_dial,
            self._record_stray,
            memory,
        )
        self._failing = 0.0
        self._failing_at = 0.0
        self._stopping = False
        self._is_configured = False
        self._is_evacuated = False
        # A slowness that the target reports already includes the effect of its warm-up.
        self.reports_slowness = False
        self.slowness = 1.0
        self.stray_counts = {"ahead": 0, "behind": 0, "idle": 0}
        self.invalid_header_counts = {"rate_limit": 0}
        self.on_change = on_change
        self._on_crash = on_crash
        handlers = ProbeHandlers(
            on_response=self._on_probe_response,
            on_lost=self.record_connection_lost,
            on_unreachable=self.record_unreachable,
            is_down=lambda: self._record.down,
            is_cold_state_unknown=lambda: not self._warm_up.is_known(loop.now()),
        )
        self._probe = HealthProbe(loop, settings, self._pool, handlers)
        self.counts = self._probe.counts
        self.counts["connection"] = 0

    @property
    def record(self):
        """The :class:`~camphorshelf_core.instances.InstanceRecord`."""
        return self._record

    @property
    def pool(self):
        """The :class:`~camphorshelf_relay.targetpool.TargetConnectionPool`."""
        return self._pool

    @property
    def accepting(self):
        """Whether the target accepts new requests."""
        is_enabled = self._is_configured and not self._is_evacuated and not self._stopping
        return is_enabled and self._record.usable and self._admission.limit > 0

    @property
    def closed_reason(self):
        """Why the target accepts no new requests, in one sentence."""
        if self._is_evacuated:
            return "the target's failure domain is evacuated"
        return "the target takes no work"

    @property
    def is_limited(self):
        """Whether request starts are rate-limited because the target is cold or may be."""
        return self._warm_up.is_limited(self._loop.now())

    @property
    def rate_limit_per_s(self):
        """The rate limit that the target advertises, in requests a second; None without one."""
        return self._rate_limit.per_s

    @property
    def warming_s(self):
        """For how many seconds the target remains slow without reporting its slowness."""
        return 0.0 if self.reports_slowness else self._record.warming_s(self._loop.now())

    @property
    def failing(self):
        """The failure rate: the share of recent requests that failed, decaying with time."""
        age = self._loop.now() - self._failing_at
        return self._failing * 0.5 ** (age / _FAILURE_HALF_LIFE_SECONDS)

    def apply_settings(self, settings):
        """Install reloaded settings.

        :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
        :return: None.
        """
        self._settings = settings
        self._probe.apply_settings(settings)

    def configure(self, service_settings):
        """Apply the configuration of the target's service.

        :param service_settings: the :class:`~camphorshelf_core.routes.ServiceSettings`, or None if
            the service is not configured.
        :return: None.
        """
        self._is_configured = True
        service_settings = service_settings or ServiceSettings(None)
        rate = service_settings.cold_rate_per_s
        self._warm_up.configure(
            rate, service_settings.cold_s, self._settings.warm_up, self._loop.now()
        )
        self._on_state_change("configuration")
        self._probe.configure(service_settings.health_path, may_be_cold=rate is not None)

    def set_evacuated(self, is_evacuated):
        """Set whether the target's failure domain is evacuated.

        :param is_evacuated: whether it is.
        :return: None.
        """
        if is_evacuated != self._is_evacuated:
            self._is_evacuated = is_evacuated
            self._on_state_change("evacuation")

    def stop(self):
        """Accept no new requests; running ones continue.

        :return: None.
        """
        self._stopping = True
        self._on_state_change("stopping")

    def handle_heartbeat(self, heartbeat):
        """Process a heartbeat of the target.

        :param heartbeat: the :class:`~camphorshelf_core.instances.Heartbeat`.
        :return: whether it was accepted; False if it is outdated or for another service.
        """
        if heartbeat.service != self._settings.service:
            self._log.notable("heartbeat_refused", instance=heartbeat.instance, reason="service")
            was_usable = self._record.usable
            self._record.record_foreign(heartbeat.instance)
            if was_usable != self._record.usable:
                self._on_state_change("another service")
            return False
        before = self._record.instance, self._record.leaving
        process = self._record.process
        accepted = self._record.record_heartbeat(heartbeat, self._loop.now())
        if accepted:
            self._update_start_limits(heartbeat, process)
        if accepted and heartbeat.slots != self._admission.slots:
            self._admission.resize(heartbeat.slots)
        if (self._record.instance, self._record.leaving) != before:
            if before[0] and before[0] != self._record.instance and not before[1]:
                self._on_crash()
            self._on_state_change("heartbeat")
        elif accepted:
            self._update_admission()
        return accepted

    def deregister(self, instance, started_ms):
        """Process the deregistration of one of the target's processes, which then leaves for good.

        :param instance: the id of the process.
        :param started_ms: when it started, in Unix milliseconds, or None.
        :return: None.
        """
        if self._record.record_leaving(instance, started_ms):
            self._on_state_change("farewell")

    def update_metadata(self, metadata):
        """Update load and slowness from the headers of a response.

        :param metadata: a :class:`~camphorshelf_relay.settings.TargetMetadata`.
        :return: None.
        """
        if metadata.running is None:
            return
        now = self._loop.now()
        self._probe.record_load_report()
        if metadata.slots and metadata.slots != self._admission.slots:
            self._admission.resize(metadata.slots)
        self.reports_slowness = metadata.slowness is not None
        if metadata.slowness is not None and metadata.slowness != self.slowness:
            is_much_slower = metadata.slowness > self.slowness * 1.3
            self.slowness = self._admission.slowness = metadata.slowness
            if is_much_slower:
                self._admission.shed_late(now)
            self.on_change()

    def record_response(self, metadata, process, sent_at):
        """Record what the response to a request says of the target itself.

        :param metadata: the response's :class:`~camphorshelf_relay.settings.TargetMetadata`.
        :param process: the process that the request was sent to, as the
            :attr:`~camphorshelf_core.instances.InstanceRecord.process` of that time.
        :param sent_at: when the request was sent, in seconds on the loop's clock.
        :return: None.
        """
        self.update_metadata(metadata)
        if not self._record.is_current(process):
            return
        self._record_leaving(metadata, "response")
        before = self.rate_limit_per_s
        if self._apply_rate_limit(metadata, "request"):
            return
        # Only a signed response is known to be complete in what it advertises.
        if metadata.is_signed and self._rate_limit.record_unadvertised(sent_at):
            self._on_rate_limit_change(before, "request")

    def record_outcome(self, failed):
        """Update the failure rate with the outcome of one request.

        :param failed: whether the request failed at the target.
        :return: None.
        """
        value = 1.0 if failed else 0.0
        rate = self.failing
        self._failing = rate + _FAILURE_WEIGHT * (value - rate)
        self._failing_at = self._loop.now()

    def record_connection_lost(self):
        """Record that a connection broke; the target's process may have been replaced.

        :return: None.
        """
        self._warm_up.record_replaced(self._loop.now())
        self._probe.probe_if_cold_state_unknown()

    def record_unreachable(self):
        """Record that the target accepts no connections or does not answer probes.

        :return: None.
        """
        self._warm_up.record_replaced(self._loop.now())
        if not self._record.down:
            if not self._record.leaving:
                self._on_crash()
            self._record.record_unreachable()
            self._on_state_change("unreachable")

    def record_other_process(self, instance):
        """Record that another process answers at the target's address.

        :param instance: the id of that process, or empty if it is unknown.
        :return: None.
        """
        before = self._record.instance
        self._record.record_other_instance(instance)
        if self._record.instance != before:
            self._rate_limit.record_replaced(self._loop.now())
        self.record_connection_lost()
        self._on_state_change("another process")

    def _count_dial(self):
        self.counts["connection"] += 1

    def _record_stray(self, request_id, place):
        self.stray_counts[place] += 1
        instance = self._record.instance
        self._log.notable("stray_answer", request=request_id, place=place, instance=instance)

    def _update_start_limits(self, heartbeat, process_before):
        now = self._loop.now()
        if self._record.process != process_before:
            self._warm_up.record_replaced(now)
        if process_before[0] and not self._record.is_current(process_before):
            self._rate_limit.record_replaced(now)
        self._warm_up.record_announced(heartbeat.warming_s, now)
        if self._warm_up.is_limited(now):
            self._admission.shed_late(now)

    def _on_probe_response(self, result):
        metadata = result.metadata
        before = self._record.usable, self._record.instance
        if result.response.status == 200 and metadata.instance:
            self._record.record_healthy(metadata.instance)
        else:
            self._record.record_unhealthy(metadata.instance)
        self._update_cold_state(metadata, before[1])
        self.update_metadata(metadata)
        self._update_advertised(metadata)
        if (self._record.usable, self._record.instance) != before:
            self._on_state_change("health")

    def _update_cold_state(self, metadata, instance_before):
        now = self._loop.now()
        if self._record.instance != instance_before:
            self._warm_up.record_replaced(now)
            if instance_before:
                self._rate_limit.record_replaced(now)
        if metadata.instance and metadata.instance != self._record.instance:
            return
        was_limited = self._warm_up.is_limited(now)
        self._warm_up.record_response(metadata.cold_left_s, now)
        if self._warm_up.is_limited(now):
            if not was_limited:
                self._admission.shed_late(now)
                self.on_change()
        elif was_limited:
            self._admission.dispatch(now)
            self.on_change()

    def _update_advertised(self, metadata):
        # A probe's response that doesn't mention a limit doesn't end one: only the responses to
        # requests are known to mention each limit.
        if not metadata.instance or metadata.instance != self._record.instance:
            return
        self._record_leaving(metadata, "health")
        self._apply_rate_limit(metadata, "probe")

    def _record_leaving(self, metadata, cause):
        if metadata.is_leaving and not self._record.leaves_for_good:
            self._record.record_leaving(*self._record.process)
            self._on_state_change(cause)

    def _apply_rate_limit(self, metadata, source):
        if metadata.is_rate_limit_invalid:
            self._record_invalid_rate_limit(source)
        if metadata.rate_limit_per_s is None:
            return False
        before = self.rate_limit_per_s
        self._rate_limit.record_advertised(metadata.rate_limit_per_s, self._loop.now())
        if self.rate_limit_per_s != before:
            self._on_rate_limit_change(before, source)
        return True

    def _on_rate_limit_change(self, before, source):
        now = self._loop.now()
        per_s = self.rate_limit_per_s
        instance = self._record.instance
        if per_s != before:
            self._log.notable(
                "rate_limit", before=before, per_s=per_s, source=source, instance=instance
            )
        self._admission.shed_late(now)
        self._admission.dispatch(now)
        self.on_change()

    def _record_invalid_rate_limit(self, source):
        if not self.invalid_header_counts["rate_limit"]:
            instance = self._record.instance
            self._log.notable("rate_limit_invalid", source=source, instance=instance)
        self.invalid_header_counts["rate_limit"] += 1

    def _on_state_change(self, cause):
        self._update_admission()
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

    def _update_admission(self):
        now = self._loop.now()
        if self.accepting:
            if self._admission.closed:
                self._admission.open(now)
        elif not self._admission.closed:
            self._admission.close(now)
