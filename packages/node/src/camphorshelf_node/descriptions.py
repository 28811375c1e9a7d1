"""Builds the documents that describe targets and plans in the administration API."""

from camphorshelf_core.config import TargetIntent


def describe_target(name, candidate, intent):
    """Describe the state of a target and the operators' intent for it.

    :param name: the target's name.
    :param candidate: the target's :class:`~camphorshelf_core.routing.Candidate`, or None if this
        node does not know the target.
    :param intent: the target's :class:`TargetIntent`, or None.
    :return: the document.
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


def describe_plan(stored_plan):
    """Describe a plan.

    :param stored_plan: the :class:`~camphorshelf_core.confirm.StoredPlan`.
    :return: the document.
    """
    plan = stored_plan.plan
    return {
        "plan": stored_plan.digest,
        "base": plan.base,
        "changes": [change._asdict() for change in plan.changes],
        "effect": list(plan.effect),
        "confirmers": list(plan.confirmers),
        "planned_by": plan.planned_by,
        "planned_at": plan.planned_at,
    }
