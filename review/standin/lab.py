"""Stand-ins for the review's scripts: the platform's store, servers, callers and the
start of hosts by the deploy file. Standard library only, loopback addresses only.

The names and the behaviour follow PROTOCOL.md and DEPLOY.md. Where a page is silent,
a stand-in behaves like a sound store, server or caller.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPO = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REGIONS = {"zone-a": "region-a", "zone-b": "region-a"}
# The bounds of the small installation wagenhalle-suche (SYSTEM.md).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
    "rollbackSlackMs": 250, "outerMs": 12000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "retrySlack": 56, "recoveryS": 12,
}
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not run, which is no verdict."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_net():
    """Returns a loopback network x.y of 127.x.y.z on which nothing listens yet."""
    for _ in range(50):
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for last in (1, 2, 3, 4):
                probe = socket.socket()
                probe.bind((f"{net}.{last}", 9464))
                probe.close()
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


def parse_head(text):
    lines = text.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


async def read_body(reader, headers):
    fields = dict(headers)
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's key-value store: linearizable, with leases, watches and a history."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.items = {}  # key -> [value, revision, created, lease]
        self.events = []
        self.leases = {}  # id -> expiry
        self.ids = itertools.count(1000)
        self.changed = asyncio.Event()
        self.addrs = {}  # number of a host -> address of the store for it
        self.paths = {}  # number of a host -> whether its path to the store is open
        self.polls = {}  # number of a host -> time of its last answered poll of servers/

    async def start(self, ip):
        self.ip = ip
        self.expiry = asyncio.create_task(self.expire())

    async def addr_for(self, number):
        """Returns an address of the store of its own for a host, so that its path can be cut."""
        if number not in self.addrs:
            self.paths[number] = asyncio.Event()
            self.paths[number].set()
            server = await asyncio.start_server(lambda r, w: self.serve(number, r, w), self.ip, 0)
            self.addrs[number] = "%s:%d" % server.sockets[0].getsockname()[:2]
        return self.addrs[number]

    def cut(self, number):
        """Cuts a host off from the store: what is sent either way does not arrive."""
        self.paths[number].clear()
        self.record(f"host {number}: is cut off from the store, silently")

    def heal(self, number):
        self.paths[number].set()
        self.record(f"host {number}: reaches the store again")

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, until in list(self.leases.items()):
                if until <= now:
                    self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self.delete(key)

    def notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, key, value, lease=0):
        """Writes a key and returns its revision. The return is the store's answer (ack)."""
        if not isinstance(value, (bytes, bytearray)):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [base64.b64encode(value).decode(), self.revision, created, lease]
        self.events.append(self.item(key))
        self.notify()
        return self.revision

    def delete(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})
            self.notify()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": value, "revision": revision, "created": created, "lease": lease}

    async def serve(self, number, reader, writer):
        try:
            while True:
                line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                await self.paths[number].wait()
                await asyncio.sleep(0.004)
                status, answer = await self.call(method, parts.path, query, json.loads(body or b"{}"))
                payload = json.dumps(answer).encode()
                if not self.paths[number].is_set():
                    await self.paths[number].wait()
                    return  # "A connection on which a response is lost returns nothing further."
                if parts.path.endswith("kv-watch") and query["prefix"] == "servers/":
                    self.polls[number] = time.monotonic()
                writer.write(response(status, [("Content-Type", "application/json")], payload))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def call(self, method, path, query, body):
        name, _, rest = path.removeprefix("/greengagewharf/").partition("/")
        if name == "kv-key":
            if query["key"] not in self.items:
                return 404, {}
            return 200, self.item(query["key"]) | {"currentRev": self.revision}
        if name == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page = [self.item(key) for key in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "currentRev": self.revision}
        if name == "kv-watch":
            until = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                after, prefix = int(query["after"]), query["prefix"]
                events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if name == "kv-txn":
            for row in body.get("expect", []):
                item = self.items.get(row["key"])
                if (item[1] if item else 0) != row["revision"]:
                    return 412, {"items": []}
            for write in body.get("writes", []):
                if write["lease"] and write["lease"] not in self.leases:
                    return 404, {}
            for write in body.get("writes", []):
                self.put(write["key"], base64.b64decode(write["value"]), write["lease"])
            for key in body.get("deletes", []):
                self.delete(key)
            return 200, {"revision": self.revision}
        if name == "kv-lease":
            lease = next(self.ids)
            ttl_ms = max(int(body["ttlMs"]), 1000)
            self.leases[lease] = time.monotonic() + ttl_ms / 1000
            self.ttls = getattr(self, "ttls", {}) | {lease: ttl_ms}
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        if name == "kv-keep":
            lease = int(rest)
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = time.monotonic() + self.ttls[lease] / 1000
            return 200, {"ttlMs": self.ttls[lease]}
        if name == "kv-lease-end":
            if int(rest) not in self.leases:
                return 404, {}
            self.end(int(rest))
            return 200, {}
        return 404, {}


class Server:
    """A sound server: slots, a short queue, a connection limit, heartbeats, draining."""

    def __init__(self, store, record, name, service, ip, slots=4, queue=16, max_connections=44):
        self.store, self.record = store, record
        self.id, self.service, self.ip = name, service, ip
        self.slots, self.queue, self.max_connections = slots, queue, max_connections
        self.work_s = lambda method, path: 0.05
        self.crashes_by = lambda path: False
        self.down_s = 2.0  # after a crash
        self.body = lambda request_id: f"done by {self.id}".encode()
        self.pause_s, self.pause_every_s, self.pause_phase_s = 0.0, 6.0, 0.0
        self.state = "ready"
        self.port = 0
        self.runs = []  # (time, request id, path), when a server began to work
        self.arrivals = []  # (time, request id), also of refused ones
        self.cut_at = []  # (time, id) of requests that ran when the server ended
        self.drain_acked_at = None
        self.stamps = itertools.count(1)

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.connections = set()
        self.running = {}
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def report(self):
        self.sequence += 1
        entry = {
            "backend": self.service, "address": f"{self.ip}:{self.port}", "zone": "zone-a",
            "version": "v1", "capacity": self.slots, "state": self.state, "warmupLeftMs": 0,
            "sequence": self.sequence, "born": self.born,
        }
        self.store.put(f"servers/{self.id}", entry)

    def drain(self):
        """Reports draining. The store's ack is the end of this call."""
        self.state = "draining"
        self.report()
        self.drain_acked_at = time.monotonic()
        self.record(f"server {self.id}: reports draining, acknowledged by the store")

    def stop(self, with_entry=True):
        """Exits: closes its socket and all connections."""
        self.beats.cancel()
        self.server.close()
        self.cut_at += [(time.monotonic(), request_id) for request_id in self.running]
        for request_id in self.running:
            self.record(f"server {self.id}: ends while it runs {request_id}")
        for writer in list(self.connections):
            writer.transport.abort()
        if with_entry:
            self.store.delete(f"servers/{self.id}")

    async def crash(self):
        self.stop(with_entry=False)
        await asyncio.sleep(self.down_s)
        await self.start()
        self.record(f"server {self.id}: is back after a crash, born {self.born}")

    async def serve(self, reader, writer):
        if len(self.connections) >= self.max_connections:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while True:
                line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
                body = await read_body(reader, headers)
                work = asyncio.create_task(self.handle(line, dict(headers), body, writer))
                closed = asyncio.create_task(self.closed(reader))
                await asyncio.wait([work, closed], return_when=asyncio.FIRST_COMPLETED)
                closed.cancel()
                if not work.done():
                    work.cancel()  # The connection has closed: the request is dropped.
                    await asyncio.gather(work, return_exceptions=True)
                    return
                if work.result() is None:
                    return
                writer.write(work.result())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def closed(self, reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.005)

    async def handle(self, line, headers, body, writer):
        method, path, _ = line.split(" ")
        request_id = headers.get("x-request-id")
        echo = [("X-Request-Id", request_id)] if request_id else []
        load = [("X-Server-Load", f"{len(self.running)},{self.waiting},{self.slots}")]
        if headers.get("x-expect-instance", self.id) != self.id:
            return response(421, [("X-Instance-Id", self.id)])
        at = time.monotonic()
        since = ""
        if self.drain_acked_at is not None:
            since = f", {at - self.drain_acked_at:.3f} s after its draining was acknowledged"
        self.arrivals.append((at, request_id))
        self.record(f"server {self.id}: gets {method} {path} {request_id}{since}")
        refused = response(503, echo + load + [("X-Not-Executed", "1")])
        if self.free.locked() and self.waiting >= self.queue:
            self.record(f"server {self.id}: sheds {request_id}")
            return refused
        limit_s = int(headers.get("x-deadline-ms", "60000")) / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), limit_s)
        except asyncio.TimeoutError:
            return refused
        finally:
            self.waiting -= 1
        try:
            self.runs.append((time.monotonic(), request_id, path))
            self.running[request_id] = path
            self.record(f"server {self.id}: runs {request_id}")
            if self.crashes_by(path):
                self.record(f"server {self.id}: crashes by {request_id}")
                del self.running[request_id]
                asyncio.create_task(self.crash())
                return None
            into_pause_s = (time.monotonic() - self.pause_phase_s) % self.pause_every_s
            await asyncio.sleep(max(0.0, self.pause_s - into_pause_s))
            await asyncio.sleep(self.work_s(method, path))
        finally:
            self.running.pop(request_id, None)
            self.free.release()
        stamp = f"{self.id}.{next(self.stamps):x}.{request_id}"
        load = [("X-Server-Load", f"{len(self.running)},{self.waiting},{self.slots}")]
        return response(200, echo + load + [("X-Server-Stamp", stamp)], self.body(request_id))


class Host:
    """A host of the system, started by the command of the deploy file."""

    def __init__(self, lab, number, ip):
        self.lab, self.number, self.ip = lab, number, ip
        self.entry = (ip, 8104)
        self.process = None

    async def start(self, bootstrap=True):
        role = next(iter(tomllib.loads((REPO / "deploy/system.toml").read_text())["roles"].values()))
        words = role["run"].split()
        program = REPO / words[0]
        if not program.exists():
            raise CannotRun(f"{words[0]} is not built; run the build of deploy/system.toml")
        settings = {
            "nodeName": f"front-zone-a-{self.number}", "role": "wharf", "machineClass": "front",
            "serves": ["front", "control"], "ip": self.ip, "zone": "zone-a", "region": "region-a",
            "zones": REGIONS,
            "listen": {"front": f"{self.ip}:8104", "ready": f"{self.ip}:8108", "control": f"{self.ip}:8106"},
            "internalPorts": [7380, 7395],
            "seedNodes": [f"{host.ip}:8106" for host in self.lab.hosts[:3]],
            "bootstrap": bootstrap, "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cpuSpeed": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "virtual_ip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "invariants": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": await self.lab.store.addr_for(self.number), "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        path = Path(self.lab.folder) / f"boot-{self.number}.json"
        path.write_text(json.dumps(settings))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["GREENGAGEWHARF_BOOT"] = str(path)
        log = open(Path(self.lab.folder) / f"host-{self.number}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(program), *words[1:], cwd=REPO, env=env, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        self.lab.record(f"host {self.number}: started, callers at {self.ip}:8104")

    async def ready(self):
        try:
            status = await asyncio.wait_for(get_status(self.ip, 8108, "/greengagewharf/ready"), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    def signal(self, number):
        self.lab.record(f"host {self.number}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)


async def get_status(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        line, _ = parse_head(await reader.readuntil(b"\r\n\r\n"))
        return int(line.split(" ")[1])
    finally:
        writer.close()


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, dict(headers), body


class Lab:
    """The hosts, the store and the servers of one run."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="wharf-review-")
        self.net = free_net()
        self.hosts, self.servers = [], []
        self.request_ids = (f"{random.getrandbits(64):016x}" for _ in itertools.count())
        self.record(f"TROUBLE={int(TROUBLE)}, network {self.net}.0/24")

    async def start_store(self):
        self.store = Store(self.record)
        await self.store.start(f"{self.net}.200")

    async def add_server(self, name, service, **options):
        server = Server(self.store, self.record, name, service, f"{self.net}.{20 + len(self.servers)}", **options)
        self.servers.append(server)
        await server.start()
        return server

    def configure(self, version, routes, services):
        """Writes the configuration. `services` maps names to maxConnections."""
        self.store.put("op/config", {
            "version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": limit,
                          "protocol": "h1", "tls": False} for name, limit in services.items()],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.record(f"configuration {version} acknowledged")

    async def start_hosts(self, count):
        self.hosts = [Host(self, n + 1, f"{self.net}.{n + 1}") for n in range(count)]
        for host in self.hosts:
            await host.start()
        await self.wait_ready(20)

    async def wait_ready(self, limit_s):
        until = time.monotonic() + limit_s
        while not all([await host.ready() for host in self.hosts]):
            if time.monotonic() > until:
                raise CannotRun("the hosts did not get ready")
            await asyncio.sleep(0.1)
        self.record("all hosts are ready")

    async def send(self, host, method, path, deadline_ms, body=b"", headers=(), quiet=False):
        """Sends one requester attempt on a connection of its own. Returns its id and answer."""
        request_id = next(self.request_ids)
        lines = [f"{method} {path} HTTP/1.1", "Host: stock.example", f"X-Request-Id: {request_id}",
                 f"X-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.record(f"caller: sends {method} {path} {request_id} to host {host.number}")
        try:
            answer = await asyncio.wait_for(self.exchange(host, lines, body), deadline_ms / 1000 + 1.0)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record(f"caller: {request_id} ends without an answer: {type(error).__name__}")
            return request_id, None
        except asyncio.TimeoutError:
            self.record(f"caller: {request_id} has no answer a second after its time limit")
            return request_id, None
        self.record(f"caller: {request_id} is answered {answer.status} {answer.body[:90]!r}")
        return request_id, answer

    async def exchange(self, host, lines, body):
        reader, writer = await asyncio.open_connection(*host.entry)
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
            return Answer(int(line.split(" ")[1]), headers, await read_body(reader, headers))
        finally:
            writer.close()

    async def stop(self):
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, limit_s=115):
    """Runs `case(lab)`, which returns what broke the rule, or nothing. Exits with 1, 0 or 2."""
    folder = Path(sys.argv[0]).resolve().parent

    async def run():
        lab = Lab(folder)
        try:
            found = await asyncio.wait_for(case(lab), limit_s)
            lab.record(f"verdict: BROKEN: {found}" if found else "verdict: held")
            print(f"BROKEN: {found}" if found else "held")
            return 1 if found else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            lab.record(f"verdict: could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await lab.stop()

    # A failure of the case itself is no verdict either.
    try:
        code = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
