"""The entry side of a node: finds the route of a caller's request and starts its :class:`Relay`."""

from camphorshelf_core.callroutes import CallRoutes
from camphorshelf_core.calls import Response, header
from camphorshelf_core.creditwindows import (
    SendWindow,
    WindowBudget,
    choose_node_bytes,
    choose_window_bytes,
)
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.leavinginstances import LeavingInstances
from camphorshelf_core.loadprobes import choose_probes, is_sufficient
from camphorshelf_core.organisations import authenticate, request_priority
from camphorshelf_core.retryafter import retry_after_quota, retry_after_stop
from camphorshelf_core.retrybudget import RetryBudget
from camphorshelf_core.routes import ServicePicker
from camphorshelf_core.slotlimit import FEW_SLOTS
from camphorshelf_node.countedlines import CountedLines

from .relay import Relay
from .routestats import RouteStatsTable

_STARTING_RETRY_AFTER_MS = 200
_STALE_RETRY_AFTER_MS = 500


class Router:
    """Routes callers' requests, and holds the state that all requests at this entry node share.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param header_codec: the :class:`~camphorshelf_relay.settings.HeaderCodec`.
    :param config_sync: the :class:`~camphorshelf_relay.configsync.ConfigSynchronizer`.
    :param peers: the :class:`~camphorshelf_relay.peers.Peers`.
    :param admission_controller: the
        :class:`~camphorshelf_relay.admissioncontroller.AdmissionController` of this host's target.
    :param own_view: returns this host's :class:`~camphorshelf_core.hosts.HostView`.
    :param random: the source of random numbers.
    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    :param memory_bytes: how many bytes from outside the node may hold; None if not limited.
    """

    def __init__(
        self,
        loop,
        settings,
        header_codec,
        config_sync,
        peers,
        admission_controller,
        own_view,
        random,
        log,
        memory_bytes=None,
    ):
        self.loop = loop
        self.random = random
        self.log = log
        self.domain = settings.domain
        self.service = settings.service
        self.route_stats = RouteStatsTable()
        self.windows = WindowBudget(
            choose_window_bytes(settings.link_mbps), choose_node_bytes(memory_bytes)
        )
        self._settings = settings
        self._header_codec = header_codec
        self._config_sync = config_sync
        self._peers = peers
        self._admission_controller = admission_controller
        self._own_view = own_view
        self._own_address = settings.addresses.links.text
        self._service_picker = ServicePicker(random)
        self._retry_budgets = {}
        self._leaving_instances = LeavingInstances()
        self._call_routes = CallRoutes()
        # Counts of granted and denied retries, by service and verdict.
        self.retry_counts = {}
        # Returns whether the configuration may be too old to authenticate by it.
        self.is_config_stale = lambda: False
        self._unknown_key_lines = CountedLines(loop, log)
        # Called with the route's name, the outcome and the seconds of each finished request.
        self.on_outcome = lambda route, outcome, seconds: None
        # The :class:`~camphorshelf_relay.quotas.Quotas`, of which organisations with a limit need
        # tokens; without it there are no limits.
        self.quotas = None
        # Every started :class:`Relay` whose caller has no whole response yet.
        self.active_relays = set()
        # The ShutdownPlan of a node that stops, None before.
        self._shutdown = None
        config_sync.on_change(self._on_config)

    def probe(self, candidates, probed, on_done):
        """Probe the load of some candidates, if that is needed to choose a target.

        :param candidates: the request's :class:`~camphorshelf_core.placement.Candidate` list, best
            first.
        :param probed: the addresses probed for this request so far; the new ones are added.
        :param on_done: called without arguments when enough hosts have answered or the probes have
            timed out.
        :return: whether any host is probed; if not, ``on_done`` is not called.
        """
        has_few_slots = bool(candidates) and self._has_few_slots(candidates[0].address)
        addresses = choose_probes(candidates, probed, self.random, has_few_slots)
        if not addresses:
            return False
        probed.update(addresses)
        self._peers.prober.probe(
            addresses, lambda view: is_sufficient(view, self.domain, self.loop.now()), on_done
        )
        return True

    def apply_settings(self, settings):
        """Apply reloaded settings; changed retry limits start with new retry budgets.

        :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
        :return: None.
        """
        if settings.retry != self._settings.retry:
            self._retry_budgets = {}
        self._settings = settings

    def set_shutdown(self, plan):
        """Start only requests that the stop of this node does not cut off.

        :param plan: the :class:`~camphorshelf_core.shutdown.ShutdownPlan`.
        :return: None.
        """
        self._shutdown = plan

    def can_start(self, expires_at):
        """Tell whether a request may be sent to a target, or must be refused as the node stops.

        :param expires_at: when the request ends at the latest, on the loop's clock.
        :return: True or False.
        """
        return self._shutdown is None or self._shutdown.can_start(expires_at)

    def retry_after_stop(self):
        """Choose the delay for a caller that was refused because this node stops.

        :return: seconds.
        """
        return retry_after_stop(self._shutdown.exit_at - self.loop.now(), self.random)

    def handle(self, exchange):
        """Handle a caller's request.

        :param exchange: the :class:`~camphorshelf_node.exchange.Exchange`.
        :return: None.
        """
        caller_metadata = self._header_codec.parse_caller(exchange.request.headers)
        if self._config_sync.config is None:
            refusal = Refusal(
                Code.NODE_STARTING,
                "the node has no configuration yet",
                retry_after_ms=_STARTING_RETRY_AFTER_MS,
            )
            self.refuse(exchange, caller_metadata.request_id, refusal, None)
            return
        route = self._find_route(exchange.request)
        if route is None:
            refusal = Refusal(Code.UNKNOWN_ROUTE, "no route matches the request")
            self.refuse(exchange, caller_metadata.request_id, refusal, None)
            return
        refusal, organisation = self.authenticate(route, caller_metadata.key)
        if refusal is not None:
            fields = {} if organisation is None else {"organisation": organisation.name}
            self.refuse(exchange, caller_metadata.request_id, refusal, route, **fields)
            return
        if self.quotas is None or organisation is None or organisation.rate_per_s is None:
            Relay(self, exchange, route, caller_metadata, organisation).start()
        else:
            self._acquire(exchange, route, caller_metadata, organisation)

    def _acquire(self, exchange, route, caller_metadata, organisation):
        quotas = self.quotas

        def on_result(verdict):
            def give_back():
                quotas.give_back(organisation, verdict)

            if not verdict.is_admitted:
                self._refuse_over_quota(exchange, route, caller_metadata, organisation, verdict)
            elif exchange.finished:
                give_back()
            else:
                Relay(self, exchange, route, caller_metadata, organisation, give_back).start()

        exchange.set_disconnect_handler(lambda: self.log_outcome(exchange, route, "caller_left"))
        quotas.acquire(organisation, exchange.guard(on_result))

    def _refuse_over_quota(self, exchange, route, caller_metadata, organisation, verdict):
        if exchange.finished:
            return
        retry_after_s = retry_after_quota(verdict.wait_s, self.random)
        refusal = Refusal(
            Code.QUOTA_EXCEEDED,
            (
                "the quota's owner does not reply, and this node's part of the quota is used up"
                if verdict.is_fallback
                else "the organisation is over its quota"
            ),
            retry_after_ms=max(1, round(retry_after_s * 1000)),
        )
        self.refuse(
            exchange,
            caller_metadata.request_id,
            refusal,
            route,
            organisation=organisation.name,
            wait_ms=round(verdict.wait_s * 1000, 1),
        )

    @property
    def organisations(self):
        """The :class:`~camphorshelf_core.organisations.OrganisationTable` in force, or None."""
        return self._config_sync.config.organisations

    def authenticate(self, route, key):
        """Authenticate a request by the configuration in force.

        :param route: the request's :class:`~camphorshelf_core.routes.Route`.
        :param key: the key that the caller sent, as bytes; None without one.
        :return: the :class:`~camphorshelf_core.errors.Refusal`, or None if the request may run; and
            the :class:`~camphorshelf_core.organisations.Organisation` that holds the key, or None.
        """
        is_allowed, organisation = authenticate(self.organisations, route, key)
        refusal = None
        if self.organisations is not None and not route.is_public and self.is_config_stale():
            reason = "the node can't tell whether the request's key is still valid"
            refusal = Refusal(
                Code.CONFIGURATION_STALE, reason, retry_after_ms=_STALE_RETRY_AFTER_MS
            )
        elif not is_allowed:
            refusal = Refusal(Code.UNKNOWN_KEY, "no organisation has the request's key")
        return refusal, organisation

    def may_overlap(self, request):
        """Tell whether a request may run concurrently with others of the same connection.

        Callers may pipeline several idempotent requests on one connection. If each started only
        after the response to the previous one, it would wait for all earlier ones although targets
        have free slots.

        :param request: the :class:`~camphorshelf_core.calls.Request`.
        :return: True or False.
        """
        route = self._find_route(request) if self._config_sync.config is not None else None
        return route is not None and route.idempotent

    def is_call(self, route, service):
        """Tell whether a request is a call that a target makes while it runs another request.

        Where organisations are configured, these are the requests that need no key. Elsewhere calls
        are told from the moments of their arrival, for services whose targets have few slots.

        :param route: the request's :class:`~camphorshelf_core.routes.Route`.
        :param service: the service that it is sent to.
        :return: True or False.
        """
        is_idle = self._admission_controller.admission.running == 0
        self._call_routes.record(route.name, is_idle)
        if self._config_sync.config.organisations is not None:
            return route.is_public and self._call_routes.is_called(route.name)
        if not self._call_routes.is_called(route.name):
            return False
        views = self._peers.directory.targets(service, self.domain, self.loop.now(), self.random)
        return bool(views) and max(view.status.limit for view in views) <= FEW_SLOTS

    def _has_few_slots(self, address):
        view = self._peers.directory.view(address)
        return view is not None and view.status.limit <= FEW_SLOTS

    def prepare_headers(self, headers, organisation):
        """Remove what a caller says of its organisation, and name its authenticated one.

        :param headers: the caller's headers, without hop-by-hop headers.
        :param organisation: the :class:`~camphorshelf_core.organisations.Organisation`, or None.
        :return: the headers to send; the same ones if no organisation is configured.
        """
        if self.organisations is None:
            return headers
        name = None if organisation is None else organisation.name
        return self._header_codec.set_organisation(headers, name)

    def priority(self, route, organisation):
        """Compute the priority of a request at its target.

        :param route: the request's :class:`~camphorshelf_core.routes.Route`.
        :param organisation: its :class:`~camphorshelf_core.organisations.Organisation`, or None.
        :return: a number; the smallest is the most urgent.
        """
        return request_priority(route, organisation, self.organisations is not None)

    def pick_service(self, route):
        """Choose the service for a request.

        :param route: the request's :class:`~camphorshelf_core.routes.Route`.
        :return: the service's name.
        """
        return self._service_picker.pick(route)

    def list_targets(self, service):
        """List the hosts with a usable target of a service; a sample if there are many.

        Hosts in evacuated failure domains are left out, and so are those whose target's process has
        said in a response that it leaves.

        :param service: the service's name.
        :return: a list of :class:`~camphorshelf_core.hosts.HostView`.
        """
        now = self.loop.now()
        views = self._peers.directory.targets(service, self.domain, now, self.random)
        if self._settings.service == service:
            own_view = self._own_view()
            if own_view.is_usable(now):
                views.append(own_view)
        evacuated = self._config_sync.evacuations.current.domains
        is_leaving = self._leaving_instances.is_leaving
        return [
            view
            for view in views
            if view.status.domain not in evacuated and not is_leaving(view.status, now)
        ]

    def list_evacuated(self):
        """List the evacuated failure domains.

        :return: the domains' names, sorted.
        """
        return sorted(self._config_sync.evacuations.current.domains)

    def send(self, address, message, on_done):
        """Send a request to a target's node.

        :param address: the node's link address.
        :param message: the :class:`~camphorshelf_core.messages.RelayMessage`.
        :param on_done: takes the node's response message, or the
            :class:`~camphorshelf_core.errors.Refusal` with which the link reports its loss.
        :return: a function that cancels the request.
        """
        if address == self._own_address:
            return self._admission_controller.submit(message, on_done)
        return self._peers.link(address).call(message, on_done)

    def send_streamed(self, address, message, on_message, window_bytes):
        """Send a request whose response may be streamed to a target's node.

        :param address: the node's link address.
        :param message: the :class:`~camphorshelf_core.messages.RelayMessage`.
        :param on_message: takes each message of the response, or a refusal as in :meth:`send`.
        :param window_bytes: how many bytes of the body may be sent before credit is returned.
        :return: a function that cancels the request, and one that returns credit, in bytes.
        """
        if address == self._own_address:
            window = SendWindow(window_bytes)
            cancel = self._admission_controller.submit(message, on_message, window)
            return cancel, window.add
        return self._peers.link(address).call_streamed(message, on_message, window_bytes)

    def record_request(self, service):
        """Count a caller's request, which raises the service's retry budget.

        :param service: the service's name.
        :return: None.
        """
        self._retry_budget(service).record_request(self.loop.now())

    def spend_retry(self, service, is_rerun):
        """Spend one retry of a service's retry budget.

        :param service: the service's name.
        :param is_rerun: whether the request may have run before.
        :return: whether the budget allowed the retry.
        """
        budget = self._retry_budget(service)
        now = self.loop.now()
        budget.set_node_count(len(self._peers.directory.live(now)) + 1)
        granted = budget.spend(now, is_rerun)
        key = service, "granted" if granted else "denied"
        self.retry_counts[key] = self.retry_counts.get(key, 0) + 1
        return granted

    def record_sent(self, address):
        """Count a request that the target's last known status cannot include.

        :param address: the link address of the target's node.
        :return: that :class:`~camphorshelf_core.hosts.HostStatus`; None for this host.
        """
        view = self._peers.directory.view(address)
        if view is None:
            return None
        view.requests_since_status += 1
        return view.status

    def record_response(self, status, headers):
        """Record whether a response says that the target's process is about to end.

        :param status: the :class:`~camphorshelf_core.hosts.HostStatus` for which the target was
            chosen; None for this host, whose target's state is always known.
        :param headers: the response's headers.
        :return: None.
        """
        if status is None or not self._header_codec.is_leaving(headers):
            return
        if self._leaving_instances.record(status, self.loop.now()):
            self.log.notable("target_leaving", target=status.address, instance=status.instance)

    def refuse(self, exchange, request_id, refusal, route, **fields):
        """Answer a caller's request with a refusal, and log it.

        :param exchange: the request's :class:`~camphorshelf_node.exchange.Exchange`.
        :param request_id: the caller's id of the request.
        :param refusal: the :class:`~camphorshelf_core.errors.Refusal`.
        :param route: the request's route, or None.
        :param fields: further fields of the log line.
        :return: None.
        """
        self.log_outcome(
            exchange,
            route,
            "refused",
            code=refusal.code.name,
            ran=refusal.ran.value,
            reason=refusal.reason,
            retry_after_ms=refusal.retry_after_ms,
            **fields,
        )
        status, headers = self._header_codec.build_refusal(refusal, request_id)
        body = f"{refusal.code.value} {refusal.code.name}: {refusal.reason}\n".encode()
        exchange.answer(Response(status, headers, body))

    def log_outcome(self, exchange, route, outcome, **fields):
        """Log and count the outcome of a request.

        :param exchange: the request's :class:`~camphorshelf_node.exchange.Exchange`.
        :param route: the request's route, or None.
        :param outcome: ``answered``, ``refused``, ``cut_short``, ``cut_off`` or ``caller_left``.
        :param fields: further fields of the log line; ``answered`` needs ``status``.
        :return: None.
        """
        seconds = self.loop.now() - exchange.received
        name = "" if route is None else route.name
        label = fields.get("code") or (str(fields["status"]) if "status" in fields else outcome)
        self.on_outcome(name, label, seconds)
        is_success = outcome == "answered" and fields["status"] < 500
        # There may be thousands of requests over a quota; the line ``quota_refused`` counts them.
        is_routine = is_success or label == Code.QUOTA_EXCEEDED.name
        log = self.log.routine if is_routine else self.log.notable
        if label == Code.UNKNOWN_KEY.name:
            log = self._unknown_key_lines.record
        log(
            outcome,
            request=self._header_codec.parse_caller(exchange.request.headers).request_id,
            route=name,
            ms=round(seconds * 1000, 1),
            objective_ms=0 if route is None else round(route.objective_s * 1000),
            config=self._config_sync.version,
            **fields,
        )

    def _find_route(self, request):
        host, path = find_host_and_path(request)
        return self._config_sync.route_table.find(host, path)

    def _retry_budget(self, service):
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = RetryBudget(
                self._settings.retry, self.random, self.loop.now()
            )
        return budget

    def _on_config(self, config):
        self._service_picker.retain_routes(config.routes)
        self.route_stats.retain(config.routes)
        self._call_routes.retain(config.routes)


def find_host_and_path(request):
    """Find the host and the path by which a request's route is chosen.

    :param request: the :class:`~camphorshelf_core.calls.Request`.
    :return: the host in lower case without a port, and the path without query and fragment.
    """
    host = (header(request.headers, b"host") or b"").decode("latin-1").strip().lower()
    path = request.path.decode("latin-1")
    if not path.startswith("/") and "://" in path:
        # An absolute URI. The connection has checked that it names the same host as the header.
        path = "/" + path.partition("://")[2].partition("/")[2]
    return _strip_port(host), path.partition("?")[0].partition("#")[0]


def _strip_port(host):
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
