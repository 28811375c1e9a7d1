"""The entry side of a node: finds a request's route and hands it to a :class:`Relay`."""

from camphorshelf_core.calls import Response, header
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.loadprobes import choose_probes, is_sufficient
from camphorshelf_core.retrybudget import RetryBudget
from camphorshelf_core.routes import PartPicker

from .relay import Relay
from .routebook import RouteBook

_STARTING_RETRY_MS = 200


class Router:
    """What all requests of callers at this node share."""

    def __init__(self, loop, settings, dialect, config, peers, gate, own_view, random, log):
        self.loop = loop
        self.random = random
        self.log = log
        self.domain = settings.domain
        self.service = settings.service
        self.book = RouteBook()
        self._settings = settings
        self._dialect = dialect
        self._config = config
        self._peers = peers
        self._gate = gate
        self._own_view = own_view
        self._own_address = settings.addresses.links.text
        self._picker = PartPicker(random)
        self._budgets = {}
        self.retries = {}
        self.on_outcome = lambda route, outcome, seconds: None
        config.on_change(self._on_config)

    def probe(self, candidates, probed, on_done):
        """Ask some hosts for their status of this moment, if that is needed for a choice.

        :param candidates: the request's candidates, the best first.
        :param probed: addresses that were probed for this request; takes in the new ones.
        :param on_done: called when they have answered or had the time to.
        :return: whether any is probed; otherwise ``on_done`` is not called.
        """
        addresses = choose_probes(candidates, probed, self.random)
        if not addresses:
            return False
        probed.update(addresses)
        self._peers.prober.probe(
            addresses, lambda view: is_sufficient(view, self.domain, self.loop.now()), on_done
        )
        return True

    def take_settings(self, settings):
        """Take changed bounds; budgets start anew by them.

        :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
        :return: None.
        """
        if settings.retry != self._settings.retry:
            self._budgets = {}
        self._settings = settings

    def handle(self, exchange):
        """Take a caller's request.

        :param exchange: the :class:`~camphorshelf_node.exchange.Exchange`.
        :return: None.
        """
        terms = self._dialect.read_caller(exchange.request.headers)
        if self._config.config is None:
            refusal = Refusal(
                Code.NODE_STARTING,
                "the node has no configuration yet",
                retry_after_ms=_STARTING_RETRY_MS,
            )
            self.refuse(exchange, terms.request_id, refusal, None)
            return
        route = self._find_route(exchange.request)
        if route is None:
            refusal = Refusal(Code.UNKNOWN_ROUTE, "no route matches the request")
            self.refuse(exchange, terms.request_id, refusal, None)
            return
        Relay(self, exchange, route, terms).start()

    def may_overlap(self, request):
        """Tell whether a request may be under way together with others of its connection.

        Load pattern: callers that pipeline several lookups on one connection. Begun only after the
        answer before it, each would wait for all before it though targets have free slots.

        :param request: the :class:`~camphorshelf_core.calls.Request`.
        :return: True or False.
        """
        route = self._find_route(request) if self._config.config is not None else None
        return route is not None and route.idempotent

    def pick_part(self, route):
        """Choose the service for a request.

        :param route: its :class:`~camphorshelf_core.routes.Route`.
        :return: the service's name.
        """
        return self._picker.pick(route)

    def views(self, service):
        """List hosts whose target runs a service and takes work; a sample where there are many.

        :param service: the service's name.
        :return: a list of :class:`~camphorshelf_core.hosts.HostView`.
        """
        now = self.loop.now()
        views = self._peers.directory.targets(service, self.domain, now, self.random)
        if self._settings.service == service:
            own = self._own_view()
            if own.is_usable(now):
                views.append(own)
        evacuated = self._config.evacuations.held.domains
        if not evacuated:
            return views
        return [view for view in views if view.status.domain not in evacuated]

    def list_evacuated(self):
        """List the failure domains that are evacuated.

        :return: their names.
        """
        return sorted(self._config.evacuations.held.domains)

    def send(self, address, message, on_done):
        """Send a request to a target's node.

        :param address: the node's address for links.
        :param message: the :class:`~camphorshelf_core.messages.RelayMessage`.
        :param on_done: takes the answering message or a refusal of the link.
        :return: a function that cancels it.
        """
        if address == self._own_address:
            return self._gate.run(message, on_done)
        return self._peers.link(address).call(message, on_done)

    def note_request(self, service):
        """Count a caller's request to a service.

        :param service: the service's name.
        :return: None.
        """
        self._budget(service).note_request(self.loop.now())

    def spend_retry(self, service, is_rerun):
        """Take one from the budget of retries.

        :param service: the service's name.
        :param is_rerun: whether the request may have run before.
        :return: whether there was one.
        """
        budget = self._budget(service)
        now = self.loop.now()
        budget.share_among(len(self._peers.directory.live(now)) + 1)
        granted = budget.spend(now, is_rerun)
        key = service, "granted" if granted else "denied"
        self.retries[key] = self.retries.get(key, 0) + 1
        return granted

    def note_sent(self, address):
        """Count a request that the target's next status may not yet count.

        :param address: the target's node.
        :return: None.
        """
        view = self._peers.directory.view(address)
        if view is not None:
            view.requests_since_status += 1

    def refuse(self, exchange, request_id, refusal, route, **fields):
        """Give a caller the final refusal of its request.

        :param exchange: the request.
        :param request_id: the caller's id of it.
        :param refusal: the :class:`~camphorshelf_core.errors.Refusal`.
        :param route: its route, or None.
        :param fields: what decided it, for the log.
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
        status, headers = self._dialect.write_refusal(refusal, request_id)
        body = f"{refusal.code.value} {refusal.code.name}: {refusal.reason}\n".encode()
        exchange.answer(Response(status, headers, body))

    def log_outcome(self, exchange, route, outcome, **fields):
        """Log and count what became of a request.

        :param exchange: the request.
        :param route: its route, or None.
        :param outcome: ``answered``, ``refused`` or ``caller_left``.
        :param fields: what decided it.
        :return: None.
        """
        seconds = self.loop.now() - exchange.received
        name = "" if route is None else route.name
        word = fields.get("code") or (str(fields["status"]) if "status" in fields else outcome)
        self.on_outcome(name, word, seconds)
        went_well = outcome == "answered" and fields["status"] < 500
        note = self.log.routine if went_well else self.log.notable
        note(
            outcome,
            request=self._dialect.read_caller(exchange.request.headers).request_id,
            route=name,
            ms=round(seconds * 1000, 1),
            objective_ms=0 if route is None else round(route.objective_s * 1000),
            config=self._config.version,
            **fields,
        )

    def _find_route(self, request):
        host, path = find_host_and_path(request)
        return self._config.table.find(host, path)

    def _budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                self._settings.retry, self.random, self.loop.now()
            )
        return budget

    def _on_config(self, config):
        self._picker.keep(config.routes)
        self.book.keep(config.routes)


def find_host_and_path(request):
    """Find what a request's route is chosen by.

    :param request: the :class:`~camphorshelf_core.calls.Request`.
    :return: the host in lower case without a port, and the path without a query.
    """
    host = (header(request.headers, b"host") or b"").decode("latin-1").strip().lower()
    path = request.path.decode("latin-1")
    if not path.startswith("/") and "://" in path:
        # The connection has checked that both name the same host.
        path = "/" + path.partition("://")[2].partition("/")[2]
    return _strip_port(host), path.partition("?")[0].partition("#")[0]


def _strip_port(host):
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
