"""Random downloads with faults of the targets, slow readers, pipelines and callers that leave."""

import random
import threading
import time
from collections import Counter
from typing import NamedTuple

from standins.relaytarget import make_body
from standins.streamcaller import StreamCaller

_CALLERS = 6
_PART_BYTES = 50_000
_SIZES = (0, 5, 3_000, 17_000, 90_000, 90_000, 540_000, 2_000_000)
_SLOW_BUFFER_BYTES = 8_192


class Download(NamedTuple):
    """One download.

    :param path: its path and query.
    :param size: the size of the target's body.
    :param is_whole: whether the target sends all of it; None if nothing in what it sends tells.
    """

    path: str
    size: int
    is_whole: bool | None


def expect_body(size):
    """Make the whole body of a download of this size."""
    return b"".join(
        make_body(start, min(size, start + _PART_BYTES)) for start in range(0, size, _PART_BYTES)
    )


def _choose_download(rng):
    size, framing = rng.choice(_SIZES), rng.choice(("length", "chunked", "none"))
    query, is_whole = f"size={size}&framing={framing}", True
    if size and rng.random() < 0.35:
        ends = ("reset", "close", "garbage") if framing == "chunked" else ("reset", "close")
        end = rng.choice(ends)
        query += f"&at={rng.randrange(size)}&end={end}"
        is_whole = None if framing == "none" and end == "close" else False
    if rng.random() < 0.2:
        query += "&pace_ms=3"
    route = rng.choice(("file", "file", "file", "look"))
    return Download(f"/{route}/x?{query}", size, is_whole)


class RandomDownloads:
    """Callers that download at all nodes of a deployment for a time.

    :param deployment: the :class:`~standins.relays.RelayDeployment`.
    :param seconds: for how long.
    :param seed: the seed of the random choices; the order of events still depends on the machine.
    """

    def __init__(self, deployment, seconds, seed):
        self._deployment = deployment
        self._end_at = time.monotonic() + seconds
        self._seed = seed
        self.counts = Counter()
        # Descriptions of responses that looked whole and were not, or held other bytes.
        self.wrong = []

    def run(self):
        """Run all callers until the time is over."""
        threads = [
            threading.Thread(target=self._run_caller, args=(random.Random(f"{self._seed}-{one}"),))
            for one in range(_CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _run_caller(self, rng):
        while time.monotonic() < self._end_at:
            name = rng.choice(self._deployment.names)
            buffer_bytes = rng.choice((None, None, _SLOW_BUFFER_BYTES))
            caller = StreamCaller(self._deployment.address("callers", name), buffer_bytes)
            try:
                self._download(
                    rng, caller, [_choose_download(rng) for _ in range(rng.choice((1, 3)))]
                )
            except EOFError:
                self.counts["closed"] += 1
            finally:
                caller.close()

    def _download(self, rng, caller, downloads):
        for one in downloads:
            headers = (("Request-Id", self._deployment.next_id()), ("Deadline-Ms", 5_000))
            caller.send("GET", one.path, headers)
        if rng.random() < 0.1:
            time.sleep(rng.random() * 0.3)
            self.counts["left"] += 1
            return
        for one in downloads:
            caller.read_head()
            if rng.random() < 0.2:
                time.sleep(rng.random())
            body = caller.read_body()
            if not self._check(one, caller, body):
                return

    def _check(self, download, caller, body):
        if caller.status != 200:
            self.counts[caller.status] += 1
            return True
        self.counts["whole" if body.is_whole else "part"] += 1
        if not body.is_whole:
            if not expect_body(download.size).startswith(body.data) or not caller.is_at_end():
                self.wrong.append((download, len(body.data), "other bytes"))
        elif download.is_whole is False:
            self.wrong.append((download, len(body.data), "looks whole"))
        elif download.is_whole and body.data != expect_body(download.size):
            self.wrong.append((download, len(body.data), "other bytes"))
        return body.is_whole
