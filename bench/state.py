"""Measures the memory per entry of the node's data that grows with the size of the system."""

import gc
import os
import random
import sys
import tracemalloc
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from camphorshelf_core.answers import AnswerCache  # noqa: E402
from camphorshelf_core.calls import AttemptId, Response  # noqa: E402
from camphorshelf_core.config import Document, ServiceConfig, TargetIntent  # noqa: E402
from camphorshelf_core.invariants import Invariants  # noqa: E402
from camphorshelf_core.replica import Replica  # noqa: E402
from camphorshelf_core.roster import Announcement, Entry, Member, MemberState  # noqa: E402
from camphorshelf_core.settings import ClaimSettings, LimitSettings  # noqa: E402
from camphorshelf_core.tickets import TicketStore  # noqa: E402
from camphorshelf_node.decisions import DecisionLog  # noqa: E402
from camphorshelf_node.http import HttpConnection  # noqa: E402
from standins.fakes import FakeLoop, FakeStream  # noqa: E402

_COUNTS = (500, 1_000, 2_000)


def measure():
    """Print one line per kind of entry: the bytes per entry at several counts."""
    for name, make in _MAKERS.items():
        slopes = [_measure_one(make, count) for count in _COUNTS]
        print(f"{name}_bytes {' '.join(f'{slope:.0f}' for slope in slopes)}", flush=True)


def _measure_one(make, count):
    make(10)
    gc.collect()
    tracemalloc.start()
    kept = make(count)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return used / count


def _make_members(count):
    replica = Replica()
    for number in range(count):
        target = Announcement(f"service-{number % 230}", f"10.1.{number % 250}.7:8080", 10)
        member = Member(
            f"host-{number}",
            1_790_000_000_000 + number,
            1,
            MemberState.ALIVE,
            os.urandom(8).hex(),
            f"10.1.{number // 250}.{number % 250}:7001",
            f"fd-{number % 12}",
            target,
        )
        replica.merge_member(member, 0.0)
    return replica


def _make_entries(count):
    replica = Replica()
    for number in range(count):
        entry = Entry(f"topic-{number // 1_000}", f"{number:032x}", 1, [number, "reason" * 10])
        replica.merge_entry(entry, 0.0)
    return replica


def _make_answers(count):
    memory = AnswerCache(ClaimSettings(kept_answers=1_000_000, kept_answer_bytes=1 << 30))
    for number in range(count):
        key = ("orders", f"key-{number:032x}")
        response = Response(200, ((b"content-type", b"application/json"),), os.urandom(512))
        memory.store(key, AttemptId("0123456789abcdef", number), os.urandom(32), response, 0.0)
    return memory


def _make_tickets(count):
    settings = ClaimSettings(tickets=1_000_000)
    book = TicketStore(settings, "host-1", "0123456789abcdef", b"secret", Invariants())
    for _ in range(count):
        book.mint("orders", 0.0)
    return book


def _make_intents(count):
    services = {}
    for number in range(count):
        name = f"service-{number // 9}"
        targets = services.setdefault(name, {})
        targets[f"host-{number}"] = TargetIntent(weight=random.randrange(100))
    configs = {
        name: ServiceConfig(owner="team", targets=targets) for name, targets in services.items()
    }
    return Document(services=configs)


def _make_decisions(count):
    decisions = DecisionLog(count)
    for number in range(count):
        fields = {"call": f"0123456789abcdef-{number}", "service": "orders", "target": "host-1"}
        decisions.record("route", fields)
    return decisions


def _make_callers(count):
    loop, limits = FakeLoop(), LimitSettings()
    return [
        HttpConnection(FakeStream(), limits, loop, lambda exchange: None, lambda error: None)
        for _ in range(count)
    ]


_MAKERS = {
    "member": _make_members,
    "published_fact": _make_entries,
    "kept_answer_512": _make_answers,
    "ticket": _make_tickets,
    "target_intent": _make_intents,
    "decision": _make_decisions,
    "caller_connection": _make_callers,
}


if __name__ == "__main__":
    fire.Fire(measure)
