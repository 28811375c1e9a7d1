"""The events that a node logs; docs/LOGS.md is their table."""

from typing import NamedTuple


class Event(NamedTuple):
    """One kind of log line.

    :param name: the line's ``event``.
    :param meaning: what happened, in a sentence.
    :param fields: its fields beside ``time``, ``host`` and ``event``.
    """

    name: str
    meaning: str
    fields: str


_REQUEST = "request route ms objective_ms config"
EVENTS = (
    Event(
        "answered",
        "A caller got a target's answer. `expected_ms` is what the choice foretold.",
        f"{_REQUEST} status service target expected_ms waited_ms ran_ms slowness offers bytes",
    ),
    Event(
        "refused",
        "A caller got a refusal of the node's own; `ran` tells what is known of the work.",
        f"{_REQUEST} code ran reason retry_after_ms service offers held_ms under_way",
    ),
    Event("caller_left", "A caller closed its connection first; its work is cancelled.", _REQUEST),
    Event(
        "declined",
        "A target's node gave no answer to an offer; the request may go on elsewhere.",
        "request route target expected_ms code wait_s",
    ),
    Event(
        "repeat",
        "An idempotent request failed at a target and goes to another one.",
        "request route target expected_ms status",
    ),
    Event(
        "hedge",
        "An idempotent request takes long and is hedged: sent to a second target, `to`, as well.",
        "request route target expected_ms to",
    ),
    Event(
        "turned_away",
        "The target's node did not let a request in or sent it away from the queue: not run.",
        "request code ran wait_ms running queued limit slowness cold instance held_ms",
    ),
    Event(
        "run_failed",
        "A request that was handed to the target got no answer from it.",
        "request code ran wait_ms running queued limit slowness cold instance held_ms",
    ),
    Event(
        "run_cancelled",
        "The entry node called a request off while the target had it, or while it waited there.",
        "request waited_ms ran_ms slowness instance",
    ),
    Event(
        "run_ended",
        "The target answered a request. `framing` tells what ended its body, `reused` whether the "
        "connection had carried another request, `skipped` how many answers to others came first.",
        "request status waited_ms ran_ms slowness instance bytes framing reused skipped",
    ),
    Event(
        "stray_answer",
        "The target said something that belongs to no request: `ahead` of the answer to `request`, "
        "`behind` it, or while the connection was `idle`. It was dropped.",
        "request place instance",
    ),
    Event(
        "limit_moved",
        "Another number of requests is let in at once, by how long they ran with one more or less.",
        "before limit slots instance",
    ),
    Event(
        "target",
        "What the node believes of its target changed; `cause` tells what told it.",
        "cause instance accepting leaving down evacuated cold",
    ),
    Event("heartbeat_refused", "A heartbeat was not understood or is not for this host.", "reason"),
    Event("crash_blamed", "The target ended while it had this request.", "fingerprint refused"),
    Event(
        "config_in_force",
        "Another version is in force; `source` is the store or a peer.",
        "version before source routes",
    ),
    Event(
        "evacuation",
        "A failure domain is evacuated, or not any more, by the operators' row of that version.",
        "domain evacuated row_version as_of",
    ),
    Event("config_refused", "A document could not be used; nothing changed.", "source reason"),
    Event("store_lost", "The store does not answer as it should.", "trouble reason"),
    Event("store_regained", "The store answers again.", "failures"),
    Event("host_found", "A host was found in the store's rows.", "address"),
    Event("host_heard", "A host tells its status for the first time or again.", "name address"),
    Event(
        "host_silent",
        "A host does not answer probes, or has stopped to push its status; `source` is who "
        "noticed: a probe of this node, the news of another one, or silence.",
        "address source",
    ),
    Event("host_rows_refused", "Rows of hosts that could not be read.", "count"),
    Event("start", "The node has started.", "service domain"),
    Event("reload", "The settings were read again.", "changed"),
    Event("reload_failed", "The settings could not be read again; the old ones hold.", ""),
    Event("stop", "The node was told to stop.", "running callers"),
    Event("stopped", "The node ends; `idle` tells whether nothing was cut off.", "idle"),
    Event("lines_dropped", "Lines left out so far, by reason.", "rate unread"),
    Event("fault", "A fault in the node's own code.", "traceback"),
)
