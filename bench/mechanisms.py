"""Disables single mechanisms of a node, to measure what each is worth.

Imported only in the copies that ``ablation.py`` makes. Each function replaces attributes of
decision modules before the node creates its components.
"""

from collections.abc import Callable

from camphorshelf_core import admissionqueue, hosts, placement, retrybudget, slotlimit
from camphorshelf_relay import announcer, crashes, peers, relay, router


def _hold_limit(share):
    def switch():
        slotlimit._STARTING_SHARE = share
        slotlimit.SlotLimit.consider_trial = lambda self, now: False
        slotlimit.SlotLimit.record = lambda self, at_once, ratio, now: None

    return switch


def _no_queue():
    admissionqueue._QUEUE_PER_SLOT = 0.0
    admissionqueue._LATE_PER_SLOT = 0.0


def _no_late_queue():
    admissionqueue._LATE_PER_SLOT = 0.0


def _no_priority():
    admissionqueue._key = lambda job: (
        job.queue_class is admissionqueue.QueueClass.LATE,
        0,
        job.objective_at,
    )


def _no_shedding():
    admissionqueue.AdmissionQueue.shed_late = lambda self, now: None


def _no_near_first():
    placement._LOCAL_OBJECTIVE_SHARE = 0.0
    placement._CROSS_DOMAIN_COST_FACTOR = 1.0
    placement._CROSS_DOMAIN_SECONDS = 0.0


def _no_slowness_in_choice():
    estimate = placement.estimate_times

    def ignore_slowness(view, work_s, usual_work_s, now):
        status, view.status = view.status, view.status._replace(slowness=1.0)
        try:
            return estimate(view, work_s, usual_work_s, now)
        finally:
            view.status = status

    placement.estimate_times = ignore_slowness


def _no_pace_in_choice():
    placement._RELATIVE_WORK_BOUNDS = (1.0, 1.0)


def _no_failing_in_choice():
    placement._FAILURE_WEIGHT = 0.0
    placement.MAX_FAILURE_SHARE = 2.0


def _no_warming_in_choice():
    placement._WARM_UP_SLOWDOWN = 1.0


def _no_crowding_in_choice():
    placement._FULL_TARGET_SLOWDOWN = 0.0


def _no_spare_slots():
    placement._SPARE_SLOTS = 0


def _no_hedging():
    relay.hedge_delays = lambda *terms: ()


def _no_retries():
    router.Router.spend_retry = lambda self, service, is_rerun: False


def _no_rerun_pool():
    retrybudget._RERUN_SHARE = 1.0


def _no_spread():
    relay.retry_after = lambda wait_s, objective_left_s, work_s, random: 0.1


def _no_overlap():
    router.Router.may_overlap = lambda self, request: False


def _no_quarantine():
    crashes.CrashTracker.is_quarantined = lambda self, name: False


def _no_short_statuses():
    peers.encode_short_status = announcer.encode_short_status = peers.encode


def _probe_always():
    hosts._PUSH_MAX_HOSTS = hosts._PUSH_RESUME_MAX_HOSTS = 0


def _push_always():
    hosts._PUSH_MAX_HOSTS = hosts._PUSH_RESUME_MAX_HOSTS = 10_000


MECHANISMS: dict[str, Callable[[], None]] = {
    "all-slots": _hold_limit(1.0),
    "fixed-limit": _hold_limit(0.8),
    "no-queue": _no_queue,
    "no-late-queue": _no_late_queue,
    "no-priority": _no_priority,
    "no-shedding": _no_shedding,
    "no-near-first": _no_near_first,
    "no-slowness": _no_slowness_in_choice,
    "no-pace": _no_pace_in_choice,
    "no-failing": _no_failing_in_choice,
    "no-warming": _no_warming_in_choice,
    "no-crowding": _no_crowding_in_choice,
    "no-spare-slots": _no_spare_slots,
    "no-hedging": _no_hedging,
    "no-retries": _no_retries,
    "no-rerun-pool": _no_rerun_pool,
    "no-spread": _no_spread,
    "no-overlap": _no_overlap,
    "no-quarantine": _no_quarantine,
    "whole-statuses": _no_short_statuses,
    "probe-always": _probe_always,
    "push-always": _push_always,
}


def switch_off(name):
    """Disable one mechanism.

    :param name: a key of ``MECHANISMS``.
    :return: None.
    """
    MECHANISMS[name]()
