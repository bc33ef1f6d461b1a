"""Stand-ins for the platform, its replicas and its clients, as the users' pages describe them.

Everything runs in one asyncio loop of the test and listens on loopback addresses. The entries are separate processes
that are started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join(ROOT, "target", "bin", "auburnspread-gateway")  # the command of deploy/system.toml

STABLE_MS = 3000
HEARTBEAT_MS = 1200


class Record:
    """What was sent, answered and run, line by line, with seconds from the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write("%9.3f  %s\n" % (self.now(), text))
        self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def draw_ip():
    """A loopback address of this test alone, so that no port of another process is in the way."""
    draw = random.Random(os.urandom(8))
    return "127.%d.%d.%d" % (draw.randint(60, 250), draw.randint(1, 250), draw.randint(2, 250))


async def read_head(reader):
    """First line and headers of a message, names in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a body; returns after the last one. Raises if the connection ends before."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


def answer(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d %s" % (status, "OK" if status < 300 else "Status")]
    lines += ["%s: %s" % each for each in headers]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store: items with revisions, leases, watches and conditional writes."""

    def __init__(self, ip):
        self.ip = ip
        self.revision = 100
        self.items = {}  # key -> (data, revision, created, lease)
        self.events = []  # (revision, key), in their order
        self.leases = {}  # id -> (ends at, lifetime in ms)
        self.last_lease = 0
        self.changed = asyncio.Event()

    async def start(self):
        self.address = (await self.door()).address
        self.reaper = asyncio.ensure_future(self.expire())

    async def door(self):
        """One more address of the store, so that a test can tell its callers apart and turn some of them away."""
        door = Door(self)
        await door.open()
        return door

    def put(self, key, document, lease=0):
        data = document if isinstance(document, bytes) else json.dumps(document).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (data, self.revision, created, lease)
        self.note(key)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note(key)

    def note(self, key):
        self.events.append((self.revision, key))
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [each for each, (ends, _) in self.leases.items() if ends < time.monotonic()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [each for each, item in self.items.items() if item[3] == lease]:
            self.delete(key)

    def show(self, key):
        if key not in self.items:
            return {"key": key, "revision": self.revision, "expired": True}
        data, revision, created, lease = self.items[key]
        return {"key": key, "data": base64.b64encode(data).decode(), "revision": revision, "created": created, "leaseId": lease}

    async def handle(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        call = url.path.rsplit("/", 1)[-1] if method == "GET" or url.path.count("/") == 2 else url.path.split("/")[2]
        if call == "kv-key":
            key = unquote(query["key"])
            return (200, {**self.show(key), "at": self.revision}) if key in self.items else (404, {"at": self.revision})
        if call == "kv-range":
            keys = sorted(each for each in self.items if each.startswith(query["prefix"]) and each > query.get("after", ""))
            return 200, {"entries": [self.show(each) for each in keys[:500]], "hasMore": len(keys) > 500, "at": self.revision}
        if call == "kv-watch":
            return await self.watch(query)
        if call == "kv-txn":
            return self.transact(body)
        if call == "kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = (time.monotonic() + body["ttlMs"] / 1000, body["ttlMs"])
            return 200, {"leaseId": self.last_lease, "ttlMs": body["ttlMs"]}
        lease = int(url.path.rsplit("/", 1)[-1])
        if lease not in self.leases:
            return 404, {}
        if call == "kv-keep":
            lifetime = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + lifetime / 1000, lifetime)
            return 200, {"ttlMs": lifetime}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        after, ends = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            keys = list(dict.fromkeys(key for revision, key in self.events if revision > after and key.startswith(query["prefix"])))
            left = ends - time.monotonic()
            if keys or left <= 0:
                return 200, {"events": [self.show(each) for each in keys], "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get("expectedRevision", []):
            found = self.items[row["key"]][1] if row["key"] in self.items else 0
            if found != row["revision"]:
                return 412, {"entries": [self.show(each["key"]) for each in body["expectedRevision"] if each["key"] in self.items]}
        for each in body.get("write", []):
            if each.get("leaseId", 0) and each["leaseId"] not in self.leases:
                return 404, {}
        for each in body.get("write", []):
            self.put(each["key"], base64.b64decode(each["data"]), each.get("leaseId", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Door:
    """An address of the store. While `rejects` is set, its callers get that status for every call."""

    def __init__(self, store):
        self.store = store
        self.rejects = None
        self.watched_at = {}  # prefix -> when it was last watched

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.store.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await reader.readexactly(int(head[1].get("content-length", 0)))
                status, document = await self.handle(method, target, json.loads(body) if body else {})
                writer.write(answer(status, json.dumps(document).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        if self.rejects:
            return self.rejects, {}
        if "/kv-watch?" in target:
            self.watched_at[unquote(target.split("prefix=")[1].split("&")[0])] = time.monotonic()
        status, document = await self.store.handle(method, target, body)
        return (self.rejects, {}) if self.rejects else (status, document)


def configuration(version, routes, services, keys=("key-of-tenant",)):
    """routes: dictionaries with name, prefix, routeType, backend and more of the page's fields."""
    standard = {
        "hostname": "site.example", "timeoutMs": 5000, "targetLatencyMs": 300, "priorityClass": 1, "attempts": 1,
        "anonymous": False, "sessionAffinity": False, "streamResume": False, "gapAimMs": 300,
    }
    return {
        "version": version,
        "routeList": [{**standard, **route} for route in routes],
        "backends": [{"name": each, "healthPath": "/healthz", "maxConnections": 200, "protocol": "h1", "tlsEnabled": False} for each in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenantList": [{"name": "tenant", "apiKeys": list(keys), "priorityClass": 1}],
    }


class Replica:
    """A sound replica. A test overrides run() or streams()."""

    def __init__(self, store, record, ip, identity, service, zone="zone-a", slots=16, work_s=0.03):
        self.store, self.record, self.ip, self.id, self.service, self.zone, self.slots = store, record, ip, identity, service, zone, slots
        self.work_s = work_s
        self.port = free_port(ip)
        self.runs = []  # (seconds, attempt id, target)
        self.writers = set()
        self.server = None
        self.is_draining = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.register()
        self.record.line("replica %s serves at %s:%d, born %d" % (self.id, self.ip, self.port, self.born))

    def register(self):
        self.store.put("servers/" + self.id, {
            "backend": self.service, "address": "%s:%d" % (self.ip, self.port), "zoneName": self.zone, "version": "v1",
            "capacitySlots": self.slots, "phase": "draining" if self.is_draining else "available", "coldRemainingMs": 0,
            "sequence": 1, "born": self.born,
        })

    def crash(self):
        """All connections are reset and new ones are refused."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.record.line("replica %s crashes" % self.id)

    def exit(self):
        """The end of a planned shutdown: the entry goes, and with the process its connections."""
        self.server.close()
        self.server = None
        self.store.delete("servers/" + self.id)
        for writer in list(self.writers):
            writer.close()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                headers = head[1]
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(answer(421, b"", [("Not-Executed", "1"), ("Instance-Id", self.id)]))
                    continue
                attempt = headers.get("attempt-id", "")
                self.runs.append((self.record.now(), attempt, target))
                self.record.line("replica %s runs %s %s %s" % (self.id, attempt, method, target))
                if not await self.run(writer, attempt, method, target, headers, body):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def head_of(self, attempt):
        return [("Attempt-Id", attempt), ("Response-Signature", "%s.%s" % (self.id, attempt))]

    async def run(self, writer, attempt, method, target, headers, body):
        """Answers one request; False ends the connection."""
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, b"answer to " + attempt.encode(), self.head_of(attempt)))
        return True


class Entries:
    """The project's own processes, with settings like those of a small deployment."""

    def __init__(self, store, record, ip, count, memory_mb=260, duties="", grace_s=8, store_addresses=None):
        self.store, self.record, self.ip, self.count, self.memory_mb, self.duties, self.grace_s = store, record, ip, count, memory_mb, duties, grace_s
        self.store_addresses = store_addresses or [store.address] * count
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.callers = {}
        self.pages = {}
        a, b, c, d = ip.split(".")
        self.ips = ["%s.%s.%s.%d" % (a, b, c, (int(d) + 1 + n) % 250 + 1) for n in range(count)]
        self.peer_port = free_port(self.ips[0])

    def start(self, number):
        ip = self.ips[number]
        if number not in self.callers:
            self.callers[number] = (ip, free_port(ip))
            self.pages[number] = (free_port(ip), free_port(ip), free_port(ip))
        readiness, addresses, metrics = self.pages[number]
        path = os.path.join(self.folder, "entry-%d.ini" % number)
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"""[gateway]
name = entry-{number}
failure_domain = {"zone-a" if number % 2 == 0 else "zone-b"}
region = area
[listen]
caller = {ip}:{self.callers[number][1]}
readiness = {ip}:{readiness}
addresses = {ip}:{addresses}
peer = {ip}:{self.peer_port}
metrics = {ip}:{metrics}
[fleet]
seeds = {",".join("%s:8748" % each for each in self.ips[:3])}
[platform]
store = {self.store_addresses[number]}
[duties]
{self.duties}
[vm]
core_part = 0.25
link_mbps = 1000.0
memory_mb = {self.memory_mb}
descriptors = 4100
[bounds]
key_withdrawal_ms = 5000
configuration_apply_ms = 2000
leaving_s = {self.grace_s}
retry_ratio = 0.2
retry_window_s = 10
retry_allowance = 54
keep_addresses_s = 5
""")
        log = open(os.path.join(self.folder, "entry-%d.log" % number), "ab")
        self.processes[number] = subprocess.Popen([GATEWAY, "--config", path], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.line("entry-%d starts as process %d" % (number, self.processes[number].pid))

    async def start_all(self):
        for number in range(self.count):
            self.start(number)
        for number in range(self.count):
            if not await self.ready(number, 10):
                raise RuntimeError("entry-%d is not ready" % number)

    async def ready(self, number, seconds):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            status = await fetch_status(self.ips[number], self.pages[number][0], "/auburnspread/readyz")
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number, what):
        self.record.line("entry-%d gets signal %d" % (number, what))
        self.processes[number].send_signal(what)

    def kill(self, number):
        self.record.line("entry-%d is killed" % number)
        self.processes[number].kill()
        self.processes[number].wait()

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("kept: " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def fetch_status(ip, port, path):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
        writer.write(("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n" % (path, ip)).encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return int(head[0].split(" ")[1]) if head else None
    except (OSError, asyncio.TimeoutError):
        return None


class Outcome:
    """What a client saw of one attempt."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.status = None  # None: the channel ended without a head
        self.headers = {}
        self.body = b""
        self.whole = False
        self.sent_at = 0.0
        self.ended_at = 0.0


def new_attempt():
    return os.urandom(8).hex()


def request_head(method, target, attempt, deadline_ms, headers=(), length=None, key="key-of-tenant"):
    lines = ["%s %s HTTP/1.1" % (method, target), "Host: site.example", "Attempt-Id: " + attempt, "Deadline-Ms: %d" % deadline_ms,
             "Key: " + key] + ["%s: %s" % each for each in headers]
    if length is not None:
        lines.append("Content-Length: %d" % length)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Channel:
    """A client's kept connection to one entry."""

    def __init__(self, record, address):
        self.record, self.address = record, address
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.address), 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def ask(self, method, target, deadline_ms, body=None, headers=(), attempt=None, key="key-of-tenant"):
        """Sends one request and reads its answer until the time limit has passed. The channel is closed where the answer says so."""
        outcome = Outcome(attempt or new_attempt())
        try:
            if self.writer is None:
                await self.open()
            outcome.sent_at = self.record.now()
            self.record.line("client sends %s %s %s" % (outcome.attempt, method, target))
            self.writer.write(request_head(method, target, outcome.attempt, deadline_ms, headers, None if body is None else len(body), key) + (body or b""))
            await asyncio.wait_for(self.read_answer(outcome), deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
        outcome.ended_at = self.record.now()
        if not outcome.whole or outcome.headers.get("connection", "").lower() == "close":
            self.close()
        self.record.line("client gets %s for %s%s" % (outcome.status, outcome.attempt, "" if outcome.whole else ", not whole"))
        return outcome

    async def read_answer(self, outcome):
        head = await read_head(self.reader)
        if head is None:
            return
        outcome.status, outcome.headers = int(head[0].split(" ")[1]), head[1]
        if outcome.headers.get("transfer-encoding", "").lower() == "chunked":
            async for chunk in read_chunks(self.reader):
                outcome.body += chunk
        else:
            outcome.body = await self.reader.readexactly(int(outcome.headers.get("content-length", 0)))
        outcome.whole = True


def conduct(folder, test, trouble):
    """Runs the coroutine function `test(record)`, which returns whether the rule held. Exits as a case must."""
    record = Record(os.path.join(folder, "record.txt"))
    if not os.access(GATEWAY, os.X_OK):
        print("no program at " + GATEWAY)
        raise SystemExit(2)
    record.line("trouble: %s" % ("yes" if trouble else "no"))
    try:
        held = asyncio.run(asyncio.wait_for(test(record), 115))
    except Exception as error:  # the case could not run
        record.line("could not run: %r" % error)
        print("could not run: %r" % error)
        raise SystemExit(2)
    record.line("the rule %s" % ("held" if held else "was broken"))
    raise SystemExit(0 if held else 1)
