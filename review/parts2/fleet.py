"""A small deployment on loopback: real nodes, and stand-ins of the store, instances and requesters.

The stand-ins use the standard library only and run in the process of the script. Each machine has
its own loopback address; all machines use the same ports. Everything that is sent, answered and run
is written to the script's ``record.txt``.
"""

import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "shop.example"
PORT_NAMES = ("outbound", "inbound", "ready", "control", "link", "app", "store")
BEAT_S = 1.5
CONTACT_S = 3
DRAIN_S = 2
CONFIG_APPLY_S = 2


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The file that holds what was sent, answered and run, with times from the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self):
        """Seconds since the start of the script."""
        return time.monotonic() - self._started

    def write(self, kind, **fields):
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {kind} {text}\n")
        self._file.flush()


async def read_message(reader):
    """Read one HTTP message with a length; return its first line, headers and body, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


def render(status, headers, body):
    """Render an HTTP response."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def serve(address, answer):
    """Serve HTTP at ``(ip, port)``; ``answer(first, headers, body, writer)`` returns the bytes.

    ``None`` instead of bytes closes the connection without an answer.
    """

    async def handle(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                data = await answer(*message, writer)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, *address, limit=1 << 20)


async def ask(address, method, path, headers=(), body=b"", timeout_s=1.0):
    """Send one request on a new connection; return the status, headers and body, or None."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join([*lines, "", ""]).encode() + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            writer.write(data)
            await writer.drain()
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    first, headers, body = message
    return int(first.split()[1]), headers, body


class Store:
    """The platform's store: rows in tables, with versions."""

    def __init__(self):
        self.rows = {}
        self.version = 1

    def put(self, table, key, value):
        """Write a row, as the operator or a node does."""
        self.version += 1
        self.rows[table, key] = value, self.version

    async def answer(self, first, headers, body, writer):
        """Answer a call."""
        method, target, _ = first.split()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(0.004)
        fields = {}
        if url.path == "/api/rows-get":
            start = query.get("from", "")
            fields["rows"] = [
                {"table": table, "part": "", "key": key, "value": value, "ver": version}
                for (table, key), (value, version) in sorted(self.rows.items())
                if table == query["table"] and key >= start
            ]
            fields["truncated"] = False
        elif url.path == "/api/rows-tx":
            transaction = json.loads(body)
            for row in transaction["precondition"]:
                if self.rows.get((row["table"], row["key"]), (None, 0))[1] != row["ver"]:
                    return render(412, (("Content-Type", "application/json"),), b'{"rows":[]}')
            for row in transaction["writes"]:
                self.put(row["table"], row["key"], row["value"])
            for row in transaction["delete"]:
                self.rows.pop((row["table"], row["key"]), None)
        else:
            return render(404, (), b"")
        fields |= {"ver": self.version, "now_s": time.monotonic()}
        return render(200, (("Content-Type", "application/json"),), json.dumps(fields).encode())


class Instance:
    """One boot of an instance; it runs what expects it and answers its liveness check.

    ``make_body`` takes the path and returns the body of a success.
    """

    def __init__(self, fleet, machine, service, name=None, work_s=0.02, make_body=None):
        self.fleet = fleet
        self.machine = machine
        self.service = service
        self.id = name or f"i-{random.SystemRandom().getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.work_s = work_s
        self.make_body = make_body or (lambda path: f"{self.id} {path}\n".encode())
        self.sequence = 0
        self.leaving = False
        self.running = 0
        self.slots = 9
        self.runs = []
        self._server = None
        self._writers = set()
        self._beats = None

    async def start(self, beats=True):
        """Listen at the machine's address, and send liveness reports."""
        self._server = await serve(self.fleet.address(self.machine, "app"), self._answer)
        self.fleet.record.write(
            "instance_starts", machine=self.machine, id=self.id, service=self.service
        )
        if beats:
            self._beats = asyncio.create_task(self._beat())

    def crash(self):
        """End without a word: all connections are reset and nothing listens any more."""
        self.stop_beats()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.fleet.record.write("instance_ends", machine=self.machine, id=self.id)

    def stop_beats(self):
        """Send no more liveness reports."""
        if self._beats is not None:
            self._beats.cancel()

    def make_beat(self):
        """Make the next liveness report; it may be sent later."""
        self.sequence += 1
        host, port = self.fleet.address(self.machine, "app")
        fields = {
            "service": self.service,
            "addr": f"{host}:{port}",
            "zone": self.fleet.zone(self.machine),
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.leaving else "ready",
            "cold_left_s": 0,
            "seq": self.sequence,
            "born": self.born,
        }
        return json.dumps(fields).encode()

    async def send_beat(self, body):
        """Send a liveness report to the node beside the instance; return whether it counts."""
        return await self._tell("PUT", body)

    async def deregister(self):
        """Say that the instance leaves, without a report of ``draining`` before."""
        self.stop_beats()
        self.leaving = True
        return await self._tell("DELETE", json.dumps({"born": self.born}).encode())

    async def _tell(self, method, body):
        address = self.fleet.address(self.machine, "control")
        headers = (("Host", "node"), ("Content-Type", "application/json"))
        answer = await ask(address, method, f"/api/instances/{self.id}", headers, body)
        is_taken = answer is not None and 200 <= answer[0] < 300
        self.fleet.record.write(
            "report",
            machine=self.machine,
            id=self.id,
            method=method,
            answer=answer and answer[0],
            body=body.decode(),
        )
        return is_taken

    async def _beat(self):
        while True:
            await self.send_beat(self.make_beat())
            await asyncio.sleep(BEAT_S)

    async def _answer(self, first, headers, body, writer):
        self._writers.add(writer)
        method, path, _ = first.split()
        load = ("Instance-Load", f"{self.running},0,{self.slots},100")
        known = [("Instance", self.id), load]
        if path == "/health":
            return render(503 if self.leaving else 200, known, b"")
        request_id = headers.get("request-id")
        if request_id is None:
            return render(400, [*known, ("Not-Executed", "1")], b"")
        known.append(("Request-Id", request_id))
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.id:
            self.fleet.record.write("misdirected", id=self.id, request=request_id, expects=expected)
            return render(421, known, b"")
        if self.running >= self.slots:
            return render(503, [*known, ("Not-Executed", "1")], b"")
        self.running += 1
        self.runs.append((self.fleet.record.now(), request_id, path))
        self.fleet.record.write(
            "runs",
            request=request_id,
            id=self.id,
            service=self.service,
            path=path,
            caller=headers.get("caller"),
            body=len(body),
        )
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return render(200, [*known, ("Response-Stamp", f"stamp.{self.id}")], self.make_body(path))


class Fleet:
    """The machines, the store and the record of one case.

    ``machines`` is a dict from the name of a machine to the service of its instance.
    """

    def __init__(self, folder, machines, **terms):
        self.record = Record(folder)
        self.store = Store()
        self._terms = terms
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self._directory = Path(self._temporary.name)
        rng = random.SystemRandom()
        self._network = f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}"
        first = rng.randrange(10_000, 32_000)
        self._ports = {name: first + index for index, name in enumerate(PORT_NAMES)}
        self._machines = dict(machines)
        self._processes = {}
        self._ids = 0

    @property
    def names(self):
        """The names of the machines."""
        return list(self._machines)

    def zone(self, machine):
        """The zone of a machine; each machine has its own, in turn of three."""
        return f"south-{'abc'[self.names.index(machine) % 3]}"

    def address(self, machine, port):
        """The pair of IP address and port of a machine; None is the store's machine."""
        number = 1 if machine is None else self.names.index(machine) + 2
        return f"{self._network}.{number}", self._ports[port]

    async def start(self, document):
        """Start the store with the desired state."""
        await serve(self.address(None, "store"), self.store.answer)
        self.set_config(document)

    def set_config(self, document):
        """Write the desired state; the store's acknowledgement is the return."""
        self.store.put("op", "config", base64.b64encode(json.dumps(document).encode()).decode())
        self.record.write("desired_state", version=document["version"], acknowledged=True)

    def write_settings(self, machine, service=None):
        """Write the settings file of a machine, with another service if one is given."""
        self._machines[machine] = service or self._machines[machine]
        path = self._directory / f"{machine}.conf"
        path.write_text(self._settings(machine), encoding="utf-8")
        return path

    def start_node(self, machine):
        """Start the program of the deploy file on a machine."""
        path = self.write_settings(machine)
        with open(self._directory / f"{machine}.log", "ab") as log:
            self._processes[machine] = subprocess.Popen(
                [sys.executable, "deploy/node.py"],
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CAMPHORSHELF_SETTINGS": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.record.write("node_starts", machine=machine)

    def kill_node(self, machine):
        """Kill the process of a machine's node."""
        self._processes[machine].send_signal(signal.SIGKILL)
        self._processes[machine].wait()
        self.record.write("node_killed", machine=machine)

    def signal_node(self, machine, number):
        """Send a signal to a machine's node."""
        self._processes[machine].send_signal(number)
        self.record.write("node_signalled", machine=machine, signal=number)

    def log(self, machine):
        """What a machine's node has written."""
        return (self._directory / f"{machine}.log").read_text(encoding="utf-8", errors="replace")

    async def is_ready(self, machine):
        """Ask a node once whether it is ready, as the platform does."""
        answer = await ask(self.address(machine, "ready"), "GET", "/api/ready", (("Host", "n"),))
        return answer is not None and answer[0] == 200

    async def wait_ready(self, machines=None, seconds=20):
        """Wait until nodes are ready."""
        deadline = time.monotonic() + seconds
        for machine in machines or self.names:
            while not await self.is_ready(machine):
                if time.monotonic() > deadline:
                    raise CaseError(f"{machine} does not get ready: {self.log(machine)[-800:]}")
                await asyncio.sleep(0.1)

    async def wait_served(self, path, machines=None, seconds=20):
        """Wait until nodes serve a path."""
        deadline = time.monotonic() + seconds
        for machine in machines or self.names:
            while (await self.request(machine, "GET", path))[0] != 200:
                if time.monotonic() > deadline:
                    raise CaseError(f"{machine} does not serve {path}")
                await asyncio.sleep(0.2)

    async def request(self, machine, method, path, body=b"", deadline_ms=1000, headers=()):
        """Send a request to a machine's node; return the status (None without one), headers, body.

        The requester waits for its deadline and half a second more.
        """
        self._ids += 1
        request_id = f"q{self._ids:06d}"
        sent_at = self.record.now()
        self.record.write(
            "sent", request=request_id, machine=machine, method=method, path=path, body=len(body)
        )
        answer = await ask(
            self.address(machine, "outbound"),
            method,
            path,
            [("Host", HOST), ("Request-Id", request_id), ("Deadline-Ms", deadline_ms), *headers],
            body,
            timeout_s=deadline_ms / 1000 + 0.5,
        )
        status, answer_headers, answer_body = answer or (None, {}, b"")
        self.record.write(
            "answered",
            request=request_id,
            status=status,
            bytes=len(answer_body),
            after_ms=round((self.record.now() - sent_at) * 1000),
        )
        return status, answer_headers, answer_body

    async def pipeline(self, machine, paths, deadline_ms, headers=()):
        """Send requests ahead on one connection; return the status and time of each answer.

        The requester waits until half a second after the deadline, and for no longer.
        """
        reader, writer = await asyncio.open_connection(*self.address(machine, "outbound"))
        data = []
        for path in paths:
            self._ids += 1
            request_id = f"q{self._ids:06d}"
            lines = [
                f"GET {path} HTTP/1.1",
                f"Host: {HOST}",
                f"Request-Id: {request_id}",
                f"Deadline-Ms: {deadline_ms}",
                *(f"{name}: {value}" for name, value in headers),
            ]
            data.append("\r\n".join([*lines, "", ""]).encode())
            self.record.write("sent_ahead", request=request_id, machine=machine, path=path)
        started = self.record.now()
        writer.write(b"".join(data))
        answers = []
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                while len(answers) < len(paths):
                    message = await read_message(reader)
                    if message is None:
                        break
                    status = int(message[0].split()[1])
                    answers.append((status, self.record.now() - started))
                    self.record.write(
                        "answered",
                        request=message[1].get("request-id"),
                        status=status,
                        after_ms=round(answers[-1][1] * 1000),
                    )
        except TimeoutError:
            self.record.write("no_more_answers", machine=machine, missing=len(paths) - len(answers))
        writer.close()
        return answers

    def close(self):
        """End all processes that were started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._temporary.cleanup()

    def _settings(self, machine):
        def at(name):
            return ":".join(map(str, self.address(machine, name)))

        link = self._ports["link"]
        fields = {
            "self.node": machine,
            "self.role": "node",
            "self.class": "side",
            "self.serves": "side",
            "self.ip": self.address(machine, "link")[0],
            "self.zone": self.zone(machine),
            "self.region": "south",
            "self.in_tolerance": "false",
            "self.bootstrap": "true",
            "self.limits.cpu_share": 0.86,
            "self.limits.cores": 1,
            "self.limits.memory_mb": 300,
            "self.limits.max_fds": 4100,
            "self.limits.link_mbps": 1000.0,
            "self.limits.disk_mb": 0,
            "self.app_addr": at("app"),
            "self.service": self._machines[machine],
            "network.listen.inbound": at("inbound"),
            "network.listen.outbound": at("outbound"),
            "network.listen.ready": at("ready"),
            "network.listen.control": at("control"),
            "network.port_range": f"{link},{link}",
            "network.seeds": "",
            "platform.discovery": "local",
            "platform.entry": "local",
            "platform.heartbeat_s": BEAT_S,
            "platform.platform.addr": ":".join(map(str, self.address(None, "store"))),
            "platform.platform.form": "table",
            "platform.platform.history_s": 20,
            "terms.contracts": "base,drain,config,cost,retry,recover,health,platform",
            "terms.bounds.contact_s": CONTACT_S,
            "terms.bounds.drain_s": DRAIN_S,
            "terms.bounds.grace_s": 6,
            "terms.bounds.config_apply_s": CONFIG_APPLY_S,
            "terms.bounds.retry_ratio": 0.2,
            "terms.bounds.retry_window_s": 10,
            "terms.bounds.retry_slack": 60,
            "terms.bounds.probes_per_s": 60,
            **self._terms,
        }
        return "".join(f"{name}={value}\n" for name, value in fields.items())


def make_document(version, routes, services, tenants=None, **limits):
    """Make a desired state.

    ``routes`` is a dict from prefix to the fields of a route, ``tenants`` one from name to the
    fields of a tenant.
    """
    resources = []
    for number, (prefix, fields) in enumerate(routes.items()):
        spec = {
            "host": HOST,
            "prefix": prefix,
            "kind": "idempotent",
            "timeout_s": 1.0,
            "goal_s": 0.5,
            "priority": 1,
            "attempts": 2,
            **fields,
        }
        resources.append({"type": "routes", "meta": {"name": f"r-{number}"}, "spec": spec})
    for service in services:
        spec = {"health_path": "/health", "max_conns": 240, "protocol": "h1", "tls": False}
        resources.append({"type": "services", "meta": {"name": service}, "spec": spec})
    for name, spec in (tenants or {}).items():
        resources.append({"type": "tenants", "meta": {"name": name}, "spec": spec})
    spec = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
        **limits,
    }
    resources.append({"type": "limits", "meta": {}, "spec": spec})
    return {"version": version, "base_version": version - 1, "resources": resources}


def run(folder, machines, play):
    """Run ``play(fleet, trouble)``, which returns whether the rule was broken, and exit."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(folder, machines)
    status = 2
    try:
        fleet.record.write("begin", trouble=trouble)
        is_broken = asyncio.run(_play_in_time(fleet, play, trouble))
        status = 1 if is_broken else 0
        fleet.record.write("end", broken=is_broken)
    except Exception as error:
        fleet.record.write("failed", error=f"{type(error).__name__}: {error}")
        print(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        fleet.close()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[status])
    sys.exit(status)


async def _play_in_time(fleet, play, trouble):
    async with asyncio.timeout(100):
        return await play(fleet, trouble)
