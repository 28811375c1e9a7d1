"""The operators' part of the administration API: status, plans, history and quarantines."""

import time

from returns.result import Success

from camphorshelf_core.confirm import (
    MAX_HISTORY,
    StoredPlan,
    confirm_steps,
    history_steps,
    plan_steps,
    read_plan_steps,
)
from camphorshelf_core.decoding import load_json
from camphorshelf_core.effects import TargetCapacity
from camphorshelf_core.errors import Code, ProtocolError, Refusal
from camphorshelf_core.intents import parse_intents, updates_from_changes
from camphorshelf_core.teams import find_operator

from .descriptions import describe_plan, describe_target
from .reply import reply_refusal
from .steps import run_steps

_DEFAULT_HISTORY = 20


class Operators:
    """Handles operators' requests; each of them must carry an operator's token."""

    def __init__(
        self, settings, configuration, platform, roster, load_tracker, decisions, quarantine
    ):
        self._settings = settings
        self._configuration = configuration
        self._platform = platform
        self._roster = roster
        self._load_tracker = load_tracker
        self._decisions = decisions
        self._quarantine = quarantine
        self._routes = {
            "status": {"GET": self._status},
            "plans": {"POST": self._plan, "GET": self._show_plan},
            "confirm": {"POST": self._confirm},
            "history": {"GET": self._history},
            "explain": {"GET": self._explain},
            "quarantines": {"GET": self._list_quarantines, "DELETE": self._lift_quarantine},
        }

    def handle(self, request, reply):
        """Handle a request.

        :param request: the :class:`~camphorshelf_node.admin.AdminRequest`.
        :param reply: called with the HTTP status and the document of the response.
        :return: None.
        """
        operator = None
        if request.token is not None:
            operator = find_operator(self._settings.administration.tokens, request.token)
        if operator is None:
            reason = "a valid bearer token is required"
            reply_refusal(reply, Refusal(Code.UNAUTHENTICATED, reason))
            return
        route, argument = self._find_route(request.path)
        if route is None:
            reply_refusal(reply, Refusal(Code.UNKNOWN_RESOURCE, "this path does not exist"))
        elif request.method not in route:
            allowed = ", ".join(sorted(route))
            reply_refusal(reply, Refusal(Code.WRONG_METHOD, f"allowed here: {allowed}"))
        else:
            route[request.method](operator, request, argument, reply)

    def _find_route(self, path):
        version, _, rest = path.strip("/").partition("/")
        name, _, argument = rest.partition("/")
        if version != "v1":
            return None, None
        if name == "plans" and argument.endswith("/confirm"):
            return self._routes["confirm"], argument.removesuffix("/confirm")
        return self._routes.get(name), argument

    def _status(self, operator, _request, _argument, reply):
        local_version = self._configuration.local_version
        refusal = self._configuration.find_refusal()
        names = {*self._roster.services(), *self._configuration.services}
        reply(
            200,
            {
                "node": self._settings.name,
                "failure_domain": self._settings.failure_domain,
                "version": local_version.version,
                "digest": local_version.digest,
                "in_force": refusal is None,
                "reason": None if refusal is None else refusal.reason,
                "services": {
                    name: self._describe_service(name)
                    for name in sorted(names)
                    if self._can_see(operator, name)
                },
            },
        )

    def _describe_service(self, name):
        config = self._configuration.services.get(name)
        intents = config.targets if config is not None else {}
        candidates = {
            candidate.target: candidate for candidate in self._load_tracker.all_candidates(name)
        }
        return {
            "owner": config.owner if config is not None else "",
            "targets": [
                describe_target(target, candidates.get(target), intents.get(target))
                for target in sorted({*candidates, *intents})
            ],
        }

    def _can_see(self, operator, service):
        """Return whether an operator's team owns a service, or may own it while it has no owner.

        Competitors share the platform, so a team can't see other teams' services.
        """
        config = self._configuration.services.get(service)
        if config is not None and config.owner:
            return config.owner == operator.team
        return service in operator.services

    def _plan(self, operator, request, argument, reply):
        if argument:
            reply_refusal(reply, Refusal(Code.WRONG_METHOD, "a stored plan cannot be changed"))
            return
        updates = _read_intents(request.body)
        if not isinstance(updates, Success):
            reply_refusal(reply, updates.failure())
            return
        self._create_plan(operator, updates.unwrap(), lambda result: _reply_plan(reply, result))

    def _create_plan(self, operator, updates, on_done):
        targets = {
            service: {
                candidate.target: TargetCapacity(candidate.slots, candidate.failure_domain)
                for candidate in self._load_tracker.all_candidates(service)
            }
            for service in {update.service for update in updates}
        }
        steps = plan_steps(updates, operator, targets, int(time.time()))
        run_steps(steps, self._platform, on_done)

    def _show_plan(self, operator, _request, digest, reply):
        def done(result):
            if isinstance(result, StoredPlan) and operator.team not in result.plan.confirmers:
                # The same refusal as for a plan that doesn't exist, so that it doesn't reveal
                # whether another team has such a plan.
                result = Refusal(Code.UNKNOWN_PLAN, "there is no plan with this digest")
            _reply_plan(reply, result, status=200)

        run_steps(read_plan_steps(digest), self._platform, done)

    def _confirm(self, operator, _request, digest, reply):
        def done(result):
            if not isinstance(result, Refusal):
                self._configuration.install_confirmed(result.head, result.body)
                version = {"version": result.version, "digest": result.head.digest}
                reply(200, {**version, "newest": result.head.version, "plan": digest})
            elif result.code is Code.CONFLICT:
                self._plan_on_newest(operator, digest, result, reply)
            else:
                reply_refusal(reply, result, plan=digest)

        run_steps(confirm_steps(digest, operator), self._platform, done)

    def _plan_on_newest(self, operator, digest, conflict, reply):
        """Reply to a conflict with a new plan of the same changes, based on the newest version."""

        def done(result):
            fresh_plan = describe_plan(result) if isinstance(result, StoredPlan) else None
            reason = None if fresh_plan is not None else result.reason
            reply_refusal(reply, conflict, plan=digest, fresh_plan=fresh_plan, no_fresh_plan=reason)

        def plan(result):
            if isinstance(result, Refusal):
                done(result)
            else:
                self._create_plan(operator, updates_from_changes(result.plan.changes), done)

        run_steps(read_plan_steps(digest), self._platform, plan)

    def _history(self, operator, request, _argument, reply):
        limit = request.query.get("limit", str(_DEFAULT_HISTORY))
        if not limit.isdigit() or not 1 <= int(limit) <= MAX_HISTORY:
            reason = f"limit: must be 1 to {MAX_HISTORY}; saw {limit:.20}"
            reply_refusal(reply, Refusal(Code.MALFORMED_REQUEST, reason))
            return

        def done(result):
            if isinstance(result, Refusal):
                reply_refusal(reply, result)
            else:
                versions = [self._describe_version(operator, document) for document in result]
                reply(200, {"versions": versions})

        run_steps(history_steps(int(limit)), self._platform, done)

    def _describe_version(self, operator, document):
        visible = [change for change in document.changes if self._can_see(operator, change.service)]
        if operator.team in document.confirmed_by:
            visible = list(document.changes)
        return {
            "version": document.version,
            "planned_at": document.planned_at,
            "planned_by": document.planned_by if visible else None,
            "confirmed_by": list(document.confirmed_by) if visible else [],
            "plan": document.plan if visible else None,
            "changes": [change._asdict() for change in visible],
            "hidden_changes": len(document.changes) - len(visible),
        }

    def _explain(self, operator, _request, call, reply):
        matching = [
            decision
            for decision in self._decisions.find(call)
            if self._can_see(operator, decision.fields.get("service"))
        ]
        if not matching:
            reason = "this node keeps no decision about a call with this id to your services"
            reply_refusal(reply, Refusal(Code.UNKNOWN_CALL, reason))
            return
        decisions = [
            {"at": decision.at, "kind": decision.kind, **decision.fields} for decision in matching
        ]
        reply(200, {"call": call, "node": self._settings.name, "decisions": decisions})

    def _list_quarantines(self, operator, _request, _argument, reply):
        rows = self._quarantine.list_entries()
        visible = [row for row in rows if self._can_see(operator, row["service"])]
        reply(200, {"quarantines": visible})

    def _lift_quarantine(self, operator, _request, entry, reply):
        rows = {row["id"]: row for row in self._quarantine.list_entries()}
        row = rows.get(entry)
        if row is None or not self._can_see(operator, row["service"]):
            reply_refusal(reply, Refusal(Code.UNKNOWN_QUARANTINE, "there is no such quarantine"))
            return
        self._quarantine.lift(entry)
        reply(200, {"lifted": entry})


def _read_intents(body):
    try:
        document = load_json(body)
    except ProtocolError:
        document = None
    intents = document.get("intents") if isinstance(document, dict) else None
    return parse_intents(intents)


def _reply_plan(reply, result, status=201):
    if isinstance(result, Refusal):
        reply_refusal(reply, result)
    else:
        reply(status, describe_plan(result))
