"""Asks the owners of organisations' quotas for tokens, and grants tokens where this host is one."""

import itertools

from camphorshelf_core.organisations import Organisation
from camphorshelf_core.ownership import Ownership
from camphorshelf_core.quotas import (
    HOLD_SECONDS,
    EntryQuota,
    FleetSize,
    OwnerBucket,
    TokenReply,
)

# A host that pushes its status several times a second counts as not responding after this time.
_RESPONDING_SECONDS = 1.0
# A response to a probe is missing after this time, which is longer than the pauses of slow hosts.
_OVERDUE_SECONDS = 0.3
# Without any event for this long, the process was suspended. Other hosts may have taken over.
_SUSPENDED_SECONDS = 1.0
# With fewer responding hosts than this share of all, other hosts have become the owners elsewhere.
_ISOLATED_SHARE = 0.4
_LOG_SECONDS = 1.0
_PURGE_SECONDS = 10.0
# Organisations come and go with configurations. Without a limit, the number of series would only
# grow.
_MAX_COUNTED_ORGANISATIONS = 100
_OTHER = "other"
_NUMBER_BITS = 40


class Quotas:
    """The quotas of all organisations with a limit, at one node.

    :param loop: the node's loop.
    :param own_address: the link address of this host.
    :param peers: the :class:`~camphorshelf_relay.peers.Peers`.
    :param config_sync: the :class:`~camphorshelf_relay.configsync.ConfigSynchronizer`.
    :param random: the source of random numbers.
    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    """

    def __init__(self, loop, own_address, peers, config_sync, random, log):
        self._loop = loop
        self._own_address = own_address
        self._own_ip = own_address.rpartition(":")[0]
        self._peers = peers
        self._config_sync = config_sync
        self._random = random
        self._log = log
        now = loop.now()
        self._ownership = Ownership(own_address, self._list_live, now)
        self._fleet = FleetSize(1, 1)
        # Replies to the numbers of an earlier process of this host don't count.
        self._numbers = itertools.count(random.getrandbits(_NUMBER_BITS))
        self._entries = {}
        self._buckets = {}
        # Names of organisations whose owner has to hear from this node regularly.
        self._reported = set()
        # Names of organisations with a timer for their held requests.
        self._timed = set()
        # When refusals of an organisation were last logged, and how many there were since.
        self._refusals = {}
        # When each host last sent a token request, by its IP address.
        self._contacts = {}
        self._is_isolated = False
        self._has_limits = False
        self._active_at = now
        self._purged_at = now
        self._counted_names = set()
        # Counts by organisation and outcome.
        self.counts = {}
        peers.on_token_request = self._on_request
        peers.on_token_reply = self._on_reply
        peers.on_tick(self._on_tick)
        config_sync.on_change(self._on_config)

    def count_silent_owners(self):
        """Count the organisations whose owner doesn't reply to this node.

        :return: the number of organisations.
        """
        now = self._loop.now()
        return sum(entry.is_silent(now) for entry in self._entries.values())

    def acquire(self, organisation, on_result):
        """Decide whether a request may run within its organisation's quota.

        :param organisation: the :class:`~camphorshelf_core.organisations.Organisation`, which has a
            limit.
        :param on_result: takes the :class:`~camphorshelf_core.quotas.Verdict`; called at once or
            within about 20 ms.
        :return: None.
        """
        now = self._loop.now()
        self._renew(now)
        name = organisation.name
        entry = self._entry(name, now)
        verdict = entry.acquire(on_result, organisation.rate_per_s, self._fleet.known, now)
        if verdict is not None:
            self._conclude(name, on_result, verdict, now)
        self._ask(organisation, entry, now)
        if entry.due_at is not None:
            self._schedule_expiry(organisation, entry, now)

    def give_back(self, organisation, verdict):
        """Take the token back of a request that was refused and has not run.

        :param organisation: the request's :class:`~camphorshelf_core.organisations.Organisation`.
        :param verdict: its :class:`~camphorshelf_core.quotas.Verdict`.
        :return: None.
        """
        entry = self._entries.get(organisation.name)
        if entry is not None:
            entry.give_back(verdict, self._loop.now())

    def _entry(self, name, now):
        entry = self._entries.get(name)
        if entry is None:
            entry = self._entries[name] = EntryQuota(self._numbers, self._random, now)
        owner = self._ownership.owner(name)
        if entry.set_owner(owner, now):
            self._log.notable("quota_owner", organisation=name, owner=owner)
        return entry

    def _ask(self, organisation, entry, now):
        name = organisation.name
        request = entry.poll(name, self._config_sync.version, now)
        if entry.is_promised:
            self._reported.add(name)
        if request is None:
            return
        self._count(name, "requested", max(0, request.wanted))
        owner = self._ownership.owner(name)
        if owner == self._own_address:
            self._on_request(request, self._own_ip)
        else:
            self._peers.send(owner.rpartition(":")[0], request)

    def _on_reply(self, reply):
        entry = self._entries.get(reply.organisation)
        if entry is None:
            return
        now = self._loop.now()
        entry.on_reply(reply, now)
        organisation = self._organisation(reply.organisation)
        self._settle(organisation, entry, now)
        if entry.due_at is not None:
            self._ask(organisation, entry, now)

    def _settle(self, organisation, entry, now):
        settled = entry.settle(organisation.rate_per_s, self._fleet.known, now)
        for on_result, verdict in settled:
            self._conclude(organisation.name, on_result, verdict, now)

    def _schedule_expiry(self, organisation, entry, now):
        if organisation.name in self._timed:
            return
        self._timed.add(organisation.name)

        def expire():
            self._timed.discard(organisation.name)
            expired_at = self._loop.now()
            self._settle(organisation, entry, expired_at)
            if entry.due_at is not None:
                self._ask(organisation, entry, expired_at)
                self._schedule_expiry(organisation, entry, expired_at)

        self._loop.call_later(min(HOLD_SECONDS, max(0.0, entry.due_at - now)), expire)

    def _conclude(self, name, on_result, verdict, now):
        if verdict.is_fallback:
            self._count(name, "fallback")
        if verdict.is_admitted:
            self._count(name, "admitted")
        else:
            self._count(name, "refused")
            refusals = self._refusals.setdefault(name, [now - _LOG_SECONDS, 0])
            refusals[1] += 1
            self._log_refusals(name, refusals, now)
        on_result(verdict)

    def _log_refusals(self, name, refusals, now):
        logged_at, count = refusals
        if count and now - logged_at >= _LOG_SECONDS:
            refusals[:] = now, 0
            owner = self._ownership.owner(name)
            is_silent = name in self._entries and self._entries[name].is_silent(now)
            self._log.notable(
                "quota_refused",
                organisation=name,
                count=count,
                owner=owner,
                owner_silent=is_silent,
                config=self._config_sync.version,
            )

    def _on_request(self, request, ip):
        now = self._loop.now()
        self._renew(now)
        if ip != self._own_ip:
            self._contacts[ip] = now
        table = self._table()
        organisation = None if table is None else table.get(request.organisation)
        if organisation is None:
            # The configuration in force here is older. The asking node uses its fallback bucket.
            return
        if organisation.rate_per_s is None:
            granted = max(0, request.wanted)
            reply = TokenReply(
                organisation.name, request.number, granted, 0.0, request.demand_per_s
            )
        else:
            reply = self._grant(organisation, request, ip, now)
        if ip == self._own_ip:
            self._on_reply(reply)
        else:
            self._peers.send(ip, reply)

    def _grant(self, organisation, request, ip, now):
        name = organisation.name
        is_owner = self._ownership.owner(name) == self._own_address
        bucket = self._buckets.get(name)
        if bucket is None:
            since = self._ownership.shrunk_at if is_owner else now
            bucket = self._buckets[name] = OwnerBucket(since)
        return bucket.grant(ip, request, organisation, self._fleet, is_owner, now, self._random)

    def _renew(self, now):
        if now - self._active_at > _SUSPENDED_SECONDS:
            self._buckets.clear()
            self._ownership.restart(now)
        self._active_at = now
        if self._ownership.renew(now):
            owner = self._ownership.owner
            self._buckets = {
                name: bucket
                for name, bucket in self._buckets.items()
                if owner(name) == self._own_address
            }

    def _list_live(self, now):
        directory = self._peers.directory
        live = directory.live(now)
        responding, heard, overdue = 1, 1, 0
        for view in live:
            is_recent = now - view.heard_at <= _RESPONDING_SECONDS
            if view.suspected_at is None and (is_recent or not view.pushes_load):
                responding += 1
                heard += is_recent
                overdue += view.probed_at is not None and now - view.probed_at > _OVERDUE_SECONDS
            else:
                overdue += 1
        # In a large fleet a host without a network suspects the others only one by one. Compared
        # with the hosts heard lately, those that don't respond tell at once how many are left. If
        # they are the majority, or none was heard, only the hosts heard count.
        self._contacts = {
            ip: at for ip, at in self._contacts.items() if now - at <= _RESPONDING_SECONDS
        }
        heard += len(self._contacts)
        known = directory.size + 1
        is_cut_off = heard == 1 or overdue > heard
        estimate = heard if is_cut_off else known * heard / (heard + overdue)
        self._fleet = FleetSize(min(responding, estimate), known)
        self._track_isolation(now)
        return [view.status.address for view in live]

    def _track_isolation(self, now):
        share = self._fleet.responding / self._fleet.known
        if share >= _ISOLATED_SHARE and self._is_isolated:
            # The hosts that have returned had other owners meanwhile.
            self._buckets.clear()
            self._ownership.restart(now)
        self._is_isolated = share < _ISOLATED_SHARE

    def _on_tick(self):
        if not self._has_limits:
            return
        now = self._loop.now()
        self._renew(now)
        self._report(now)
        for name, refusals in self._refusals.items():
            self._log_refusals(name, refusals, now)
        if now - self._purged_at > _PURGE_SECONDS:
            self._purge(now)

    def _report(self, now):
        for name in list(self._reported):
            entry = self._entries[name]
            if entry.is_promised:
                self._entry(name, now)
                self._ask(self._organisation(name), entry, now)
            else:
                self._reported.discard(name)

    def _purge(self, now):
        self._purged_at = now
        self._entries = {
            name: entry for name, entry in self._entries.items() if not entry.is_idle(now)
        }
        self._reported &= self._entries.keys()
        self._refusals = {
            name: refusals
            for name, refusals in self._refusals.items()
            if now - refusals[0] < _PURGE_SECONDS
        }

    def _on_config(self, config):
        table = config.organisations
        names = () if table is None else {one.name for one in table if one.rate_per_s is not None}
        if names and not self._has_limits:
            # No owner was tracked before.
            self._ownership.restart(self._loop.now())
            self._active_at = self._loop.now()
        self._has_limits = bool(names)
        self._ownership.retain(names)
        self._buckets = {name: one for name, one in self._buckets.items() if name in names}

    def _table(self):
        config = self._config_sync.config
        return None if config is None else config.organisations

    def _organisation(self, name):
        table = self._table()
        found = None if table is None else table.get(name)
        if found is None or found.rate_per_s is None:
            # The limit was removed while requests were held. Those that remain are decided as if
            # the owner did not reply.
            return Organisation(name, rate_per_s=0.0)
        return found

    def _count(self, name, outcome, amount=1):
        if name not in self._counted_names:
            if len(self._counted_names) >= _MAX_COUNTED_ORGANISATIONS:
                name = _OTHER
            self._counted_names.add(name)
        key = name, outcome
        self.counts[key] = self.counts.get(key, 0) + amount
