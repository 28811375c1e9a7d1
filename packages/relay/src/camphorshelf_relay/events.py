"""The events that a node logs; docs/LOGS.md lists them for operators."""

from typing import NamedTuple


class Event(NamedTuple):
    """One type of log line.

    :param name: the value of the line's ``event`` field.
    :param meaning: what happened, in one or two sentences.
    :param fields: the names of its fields besides ``time``, ``host`` and ``event``, separated by
        spaces.
    """

    name: str
    meaning: str
    fields: str


_REQUEST = "request route ms objective_ms config"
EVENTS = (
    Event(
        "answered",
        "A caller got a target's response. `expected_ms` is the latency predicted when the target "
        "was chosen.",
        f"{_REQUEST} status service target expected_ms waited_ms ran_ms slowness offers bytes "
        "organisation",
    ),
    Event(
        "refused",
        "A caller got an error response from the node itself. `ran` tells what is known about "
        "whether the request was executed. Of the requests refused with `UNKNOWN_KEY`, at most one "
        "a second is logged; `count` tells how many were refused since the line before.",
        f"{_REQUEST} code ran reason retry_after_ms service offers held_ms under_way organisation "
        "count wait_ms",
    ),
    Event(
        "quota_refused",
        "Requests of an organisation were refused with 429, `count` of them since the last such "
        "line; at most one line a second and organisation.",
        "organisation count owner owner_silent config",
    ),
    Event(
        "quota_owner",
        "Another host holds an organisation's quota.",
        "organisation owner",
    ),
    Event(
        "cut_short",
        "A response that was being streamed to its caller ended early. The caller's connection was "
        "closed, so that the response doesn't look complete.",
        f"{_REQUEST} code reason service target bytes",
    ),
    Event(
        "cut_off",
        "The process exits before a request has ended. `state` tells how far it was: `waiting` for "
        "a target, `offered` to the hosts `under_way`, or `sending` the response, of which `bytes` "
        "of `length` had arrived. In the last state its caller's connection ends, in the others it "
        "is refused.",
        f"{_REQUEST} state service under_way bytes length",
    ),
    Event(
        "connection_shed",
        "A connection or a message had to go because bytes from outside used up the node's memory "
        "(`cause` is `memory`) or its listener had no descriptor left (`descriptors`). `phase` "
        "tells whether it was `arriving` or `delivering`, `bytes` what it held, `stalled` whether "
        "it had made no progress. At most one line a second, about the latest; `count` tells how "
        "many there were since the line before.",
        "count listener cause phase bytes stalled held_bytes limit_bytes",
    ),
    Event(
        "caller_left",
        "A caller closed its connection before the response; its request is cancelled.",
        f"{_REQUEST} organisation",
    ),
    Event(
        "declined",
        "A target's node refused a request or its target failed. The request may be retried at "
        "another target.",
        "request route target expected_ms code wait_s",
    ),
    Event(
        "repeat",
        "An idempotent request failed at a target and is retried at another one.",
        "request route target expected_ms status",
    ),
    Event(
        "hedge",
        "An idempotent request is slow and is hedged: also sent to a second target, `to`.",
        "request route target expected_ms to",
    ),
    Event(
        "turned_away",
        "The target's node refused a request or removed it from the queue. It was not executed. "
        "`displaced` tells whether it left the queue for a request of an organisation that had "
        "used less of its share.",
        "request code ran wait_ms running queued limit slowness cold rate_limit instance held_ms "
        "organisation displaced",
    ),
    Event(
        "run_failed",
        "A request was started at the target but got no usable response.",
        "request code ran wait_ms running queued limit slowness cold rate_limit instance held_ms "
        "organisation",
    ),
    Event(
        "run_cancelled",
        "The entry node cancelled a request while it was running at the target or queued there.",
        "request waited_ms ran_ms slowness instance",
    ),
    Event(
        "run_ended",
        "The target answered a request. `framing` tells how the end of the body was found, "
        "`reused` whether the connection had carried another request before, `skipped` how many "
        "responses to other requests came first. `paused_ms`, for streamed responses only, is how "
        "long reading was paused because the caller was slow; `ran_ms` doesn't include it.",
        "request status waited_ms ran_ms slowness instance bytes paused_ms framing reused skipped",
    ),
    Event(
        "stray_answer",
        "The target sent bytes that belong to no request: `ahead` of the response to `request`, "
        "`behind` it, or while the connection was `idle`. They were discarded.",
        "request place instance",
    ),
    Event(
        "limit_moved",
        "The concurrency limit changed, based on how long requests ran with one more or one fewer "
        "at once.",
        "before limit slots instance",
    ),
    Event(
        "shares",
        "Requests wait for a slot. For the 20 organisations that demand most: the slots that their "
        "requests demand, those that their share entitles them to, and those that they have used, "
        "smoothed over 5 s. At most once in 5 s. `displaced` counts the requests displaced so far.",
        "slots organisations displaced shares",
    ),
    Event(
        "rate_limit",
        "The target advertised another rate limit, in requests a second, or none any more. "
        "`source` tells whether it did so in its response to a request or to a probe.",
        "before per_s source instance",
    ),
    Event(
        "rate_limit_invalid",
        "The target advertised a rate limit that could not be parsed; logged once. Counted as "
        "`target.invalid.headers`.",
        "source instance",
    ),
    Event(
        "target",
        "The state of the target changed; `cause` tells why.",
        "cause instance accepting leaving down evacuated cold",
    ),
    Event(
        "target_leaving",
        "A response of another host's target says that its process is about to end. This node "
        "sends it no more requests.",
        "target instance",
    ),
    Event(
        "heartbeat_refused",
        "A heartbeat could not be parsed or belongs to another service.",
        "reason",
    ),
    Event("crash_blamed", "The target crashed while it ran this request.", "fingerprint refused"),
    Event(
        "config_in_force",
        "Another version of the configuration is in force; `source` is the store or a peer.",
        "version before source routes organisations",
    ),
    Event(
        "evacuation",
        "A failure domain was evacuated or its evacuation ended. `row_version` is the version of "
        "the operators' row that says so.",
        "domain evacuated row_version as_of",
    ),
    Event(
        "contact_overdue",
        "For `age_ms` no contact with the store is known that could have brought a change, of this "
        "node or of another one. This node polls the store.",
        "age_ms",
    ),
    Event(
        "config_refused",
        "A configuration document was invalid; the configuration is unchanged.",
        "source reason",
    ),
    Event("store_lost", "The store is unreachable or fails.", "trouble reason"),
    Event("store_regained", "The store answers again.", "failures"),
    Event(
        "host_found",
        "A host was found in the store's rows or in the addresses that another host sent.",
        "address",
    ),
    Event("host_heard", "A host sent its status for the first time or again.", "name address"),
    Event(
        "host_silent",
        "A host does not answer probes or has stopped sending its status. `source` tells how this "
        "was detected: by a probe of this node, by a report of another node, or by a timeout.",
        "address source",
    ),
    Event("host_rows_refused", "Rows of hosts in the store could not be parsed.", "count"),
    Event("start", "The node has started.", "service domain"),
    Event("reload", "The settings were reloaded.", "changed"),
    Event("reload_failed", "The settings could not be reloaded; the old ones remain in force.", ""),
    Event(
        "stop",
        "The node was told to stop; it exits within `exit_s`. `late_ms` is the time between the "
        "signal and the start of the stop.",
        "running callers exit_s late_ms",
    ),
    Event(
        "stopped",
        "The node exits; `idle` tells whether no work was cut off. If not, `callers` waited for a "
        "response, `running` requests ran at the target, and `links_busy` tells whether responses "
        "to other nodes were left to send. `undelivered` bytes were written and not acknowledged.",
        "idle callers running links_busy undelivered",
    ),
    Event("lines_dropped", "Number of dropped log lines so far, by reason.", "rate unread"),
    Event("fault", "An unhandled exception in the node's own code.", "traceback"),
)
