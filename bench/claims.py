"""Measures claims per second and the store writes that they take, with and without batching."""

import sys
import time
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from camphorshelf_core.calls import AttemptId  # noqa: E402
from camphorshelf_core.claimactions import WriteClaim  # noqa: E402
from camphorshelf_core.claimrecords import ClaimKey, ClaimRecord  # noqa: E402
from camphorshelf_core.settings import ClaimSettings, PlatformSettings  # noqa: E402
from camphorshelf_core.table import WriteOutcome  # noqa: E402
from camphorshelf_node.claimwriter import ClaimWriter  # noqa: E402
from camphorshelf_node.platform import Platform  # noqa: E402
from standins.deployment import Deployment  # noqa: E402
from standins.inner import InnerLoop  # noqa: E402

_CLAIMS = 2_000
_AT_ONCE = 64
_PLATFORM_DELAY_MS = 5


def main():
    """Claim distinct keys, several at the same time, and print the figures."""
    for batch_items in (1, 25):
        _measure(ClaimSettings(batch_items=batch_items))


def _measure(settings):
    deployment = Deployment(())
    try:
        deployment.set_faults(delay_ms=_PLATFORM_DELAY_MS)
        inner = InnerLoop()
        address = deployment.platform
        platform = Platform(
            inner.loop, PlatformSettings(address, address, requests_per_second=10_000)
        )
        writer = ClaimWriter(inner.loop, settings, platform, lambda mark, written: None)
        outcomes = []
        started = time.monotonic()
        for number in range(_CLAIMS):
            inner.run_until(lambda sent=number: sent - len(outcomes) < _AT_ONCE)
            writer.write(_make_claim(number), lambda written: outcomes.append(written.outcome))
        inner.run_until(lambda: len(outcomes) == _CLAIMS)
        seconds = time.monotonic() - started
        applied = outcomes.count(WriteOutcome.APPLIED)
        writes = deployment.counts()["writes"]
        print(
            f"batch of at most {settings.batch_items}: {applied} of {_CLAIMS} claims applied, "
            f"{applied / seconds:.0f} claims/s with {writes / seconds:.0f} writes/s, "
            f"{applied / writes:.1f} claims a write"
        )
    finally:
        deployment.close()


def _make_claim(number):
    record = ClaimRecord(AttemptId("bench", number + 1), "n", "127.0.0.1:1", b"d" * 16)
    version = Random(number).getrandbits(53)
    return WriteClaim(ClaimKey("orders", f"k{number}"), record, None, version)


if __name__ == "__main__":
    main()
