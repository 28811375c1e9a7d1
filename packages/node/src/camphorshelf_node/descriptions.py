"""The documents that tell operators of targets and plans."""

from camphorshelf_core.config import TargetIntent


def describe_target(name, candidate, intent):
    """Tell what is known and wanted of a target.

    :param name: the target's name.
    :param candidate: what routing knows of it, or None.
    :param intent: its :class:`TargetIntent`, or None.
    :return: a document.
    """
    intent = intent or TargetIntent()
    document = {"target": name, "state": intent.state, "weight": intent.weight}
    if candidate is None:
        return {**document, "known": False}
    return {
        **document,
        "known": True,
        "failure_domain": candidate.failure_domain,
        "slots": candidate.slots,
        "in_flight": candidate.reported_calls,
        "leaving": candidate.leaving,
    }


def describe_plan(planned):
    """Tell what a plan does.

    :param planned: the stored :class:`~camphorshelf_core.confirm.Planned`.
    :return: a document.
    """
    plan = planned.plan
    return {
        "plan": planned.digest,
        "base": plan.base,
        "changes": [change._asdict() for change in plan.changes],
        "effect": list(plan.effect),
        "confirmers": list(plan.confirmers),
        "planned_by": plan.planned_by,
        "planned_at": plan.planned_at,
    }
