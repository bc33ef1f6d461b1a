"""Stand-ins for the platform's store, for replicas and for clients, and the start of gateways as the deploy file starts them.

Python's standard library only. Everything listens on loopback addresses of one random 127.x.y.0 network and runs on the real clock.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import time
from urllib.parse import parse_qs, urlsplit

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error", 502: "Bad Gateway",
           503: "Service Unavailable"}


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


class Network:
    """Loopback addresses of one run."""

    def __init__(self):
        self.prefix = "127.%d.%d." % (random.randint(10, 250), random.randint(1, 250))
        self.last = 0

    def ip(self):
        self.last += 1
        return self.prefix + str(self.last)


async def read_head(reader):
    """Returns the start line and the headers as a list of pairs, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return lines[0], headers


def header(headers, name):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return None


def is_sound_head(start, headers):
    """Whether the request line and the header names are as RFC 9112 wants them."""
    parts = start.split(" ")
    names = all(re.fullmatch(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+", name) for name, _ in headers)
    return len(parts) == 3 and re.fullmatch(r"[A-Z]+", parts[0]) is not None and parts[2] == "HTTP/1.1" and names


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if (header(headers, "Transfer-Encoding") or "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(header(headers, "Content-Length") or 0))


def make_message(start, headers, body):
    lines = [start] + ["%s: %s" % pair for pair in headers] + ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def make_answer(status, headers, body):
    return make_message("HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status")), headers, body)


class HttpServer:
    """Serves one request at a time on each connection; subclasses implement answer()."""

    def __init__(self, ip):
        self.ip = ip
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.ip, self.port)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                if not is_sound_head(start, headers):
                    self.on_bad_request(start)
                    writer.write(make_answer(400, [("Connection", "close")], b"bad request"))
                    await writer.drain()
                    break
                body = await read_body(reader, headers)
                method, target = start.split(" ")[0:2]
                if not await self.answer(method, target, headers, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


    def on_bad_request(self, start):
        pass


class Store(HttpServer):
    """The platform's store: items with revisions, ranges, watches, transactions and leases."""

    def __init__(self, ip):
        super().__init__(ip)
        self.revision = 100
        self.items = {}  # key: [data, revision, created, lease]
        self.history = []  # (revision, key, removed)
        self.leases = {}  # id: [end, ttl in seconds]
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.on_call = None  # async (method, path, query, body, writer): True if it has dealt with the call
        self.calls = 0

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [base64.b64encode(value).decode(), self.revision, created, lease]
        self.note(key, False)

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note(key, True)

    def note(self, key, removed):
        self.history.append((self.revision, key, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [each for each, (end, _) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.remove(key)

    def item(self, key):
        data, revision, created, lease = self.items[key]
        return {"key": key, "data": data, "revision": revision, "created": created, "leaseId": lease}

    async def answer(self, method, target, headers, body, reader, writer):
        self.calls += 1
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if self.on_call and await self.on_call(method, parts.path, query, body, writer):
            return False
        status, document = await self.execute(method, parts.path, query, body)
        writer.write(make_answer(status, [("Content-Type", "application/json")], json.dumps(document).encode()))
        await writer.drain()
        return True

    async def execute(self, method, path, query, body):
        self.expire()
        call = path.rsplit("/auburnspread/", 1)[-1].split("/")
        if call[0] == "kv-key":
            key = query["key"]
            return (200, dict(self.item(key), at=self.revision)) if key in self.items else (404, {})
        if call[0] == "kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            return 200, {"entries": [self.item(key) for key in keys[:500]], "hasMore": len(keys) > 500, "at": self.revision}
        if call[0] == "kv-watch":
            return await self.watch(query)
        if call[0] == "kv-txn":
            return self.transact(json.loads(body))
        if call[0] == "kv-lease":
            self.next_lease += 1
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.leases[self.next_lease] = [time.monotonic() + ttl / 1000, ttl / 1000]
            return 200, {"leaseId": self.next_lease, "ttlMs": ttl}
        if call[0] in ("kv-keep", "kv-lease-end"):
            lease = int(call[1])
            if lease not in self.leases:
                return 404, {}
            if call[0] == "kv-lease-end":
                self.end_lease(lease)
                return 200, {}
            self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
            return 200, {"ttlMs": int(self.leases[lease][1] * 1000)}
        return 404, {}

    async def watch(self, query):
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        after = int(query.get("after", 0))
        while True:
            self.expire()
            newest = {}
            for revision, key, removed in self.history:
                if revision > after and key.startswith(query.get("prefix", "")):
                    newest[key] = (revision, removed)
            events = [{"key": key, "revision": revision, "expired": True} if removed else self.item(key)
                      for key, (revision, removed) in sorted(newest.items(), key=lambda each: each[1][0])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.1))
            except asyncio.TimeoutError:
                pass

    def transact(self, document):
        expected = document.get("expectedRevision", [])
        if any((self.items[each["key"]][1] if each["key"] in self.items else 0) != each["revision"] for each in expected):
            return 412, {"entries": [self.item(each["key"]) for each in expected if each["key"] in self.items]}
        if any(write.get("leaseId", 0) and write["leaseId"] not in self.leases for write in document.get("write", [])):
            return 404, {}
        for write in document.get("write", []):
            self.put(write["key"], base64.b64decode(write["data"]), write.get("leaseId", 0))
        for key in document.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Replica(HttpServer):
    """A replica: answers each request by a body made of its id, rejects what is for another instance, records what it runs."""

    def __init__(self, ip, instance, service, record, work_s=0.02, on_run=None):
        super().__init__(ip)
        self.instance = instance
        self.service = service
        self.record = record
        self.work_s = work_s
        self.runs = []  # dictionaries
        self.on_run = on_run  # async (replica, run, reader, writer): True if it has answered itself

    def beat(self, phase="available", **more):
        return dict({"backend": self.service, "address": self.address, "zoneName": "midrand-a", "version": "v1", "capacitySlots": 32,
                     "phase": phase, "coldRemainingMs": 0, "sequence": 1}, **more)

    def on_bad_request(self, start):
        self.record.write("replica %s rejects as malformed: %r" % (self.instance, start))

    async def answer(self, method, target, headers, body, reader, writer):
        own = [("Instance-Id", self.instance)]
        if target == "/healthz":
            writer.write(make_answer(200, own, b""))
            return True
        if target.startswith("/auburnspread/"):
            held = {"epoch": 1, "next": 1, "held": []}
            writer.write(make_answer(200, own + [("Content-Type", "application/json")], json.dumps(held).encode()))
            return True
        attempt = header(headers, "Attempt-Id")
        if attempt is None:
            writer.write(make_answer(400, own + [("Not-Executed", "1")], b""))
            return True
        own.append(("Attempt-Id", attempt))
        if (header(headers, "Expect-Instance") or self.instance) != self.instance:
            writer.write(make_answer(421, own + [("Not-Executed", "1")], b""))
            return True
        run = {"id": attempt, "method": method, "target": target, "body": body, "headers": headers, "at": time.monotonic()}
        self.runs.append(run)
        self.record.write("replica %s runs %s: %s %s, body of %d bytes, tenant %s" % (
            self.instance, attempt, method, target, len(body), header(headers, "Tenant-Name")))
        if self.on_run and await self.on_run(self, run, reader, writer):
            return False
        await asyncio.sleep(self.work_s)
        answer = ("answer to %s\n" % attempt).encode()
        writer.write(make_answer(200, own + [("Response-Signature", signature(answer)), ("Content-Type", "text/plain")], answer))
        await writer.drain()
        return True


def signature(body):
    return "%x.%x" % (len(body), sum(body) & 0xffff)


class Gateway:
    """One entry: its settings file, as platform/gateway.ini.in has it, and its process, as deploy/system.toml starts it."""

    def __init__(self, net, folder, name, store, duties=None, seeds=(), zone="midrand-a", bounds=None):
        self.name = name
        self.folder = folder
        self.ip = net.ip()
        ports = free_ports(self.ip, 5)
        self.caller, self.readiness, self.addresses, self.peer, self.metrics = ["%s:%d" % (self.ip, port) for port in ports]
        self.peer_port = ports[3]
        self.store = store
        self.duties = duties
        self.seeds = list(seeds)
        self.zone = zone
        self.bounds = dict({"key_withdrawal_ms": 5000, "configuration_apply_ms": 2000, "leaving_s": 8, "retry_ratio": 0.2,
                            "retry_window_s": 10, "retry_allowance": 54, "keep_addresses_s": 5}, **(bounds or {}))
        self.process = None
        self.starts = 0

    def settings(self):
        api = "\n[duties]\napi = %s\nassigned = metering,autoscale\nleader_lease_ms = 3000\nusage_window_s = 5\nusage_due_s = 10\n" % self.duties
        return ("[gateway]\nname = %s\nfailure_domain = %s\nregion = gauteng\n" % (self.name, self.zone)
                + "[listen]\ncaller = %s\nreadiness = %s\naddresses = %s\npeer = %s\nmetrics = %s\n" % (
                    self.caller, self.readiness, self.addresses, self.peer, self.metrics)
                + "[fleet]\nseeds = %s\n" % ",".join(self.seeds)
                + "[platform]\nstore = %s\n" % self.store + (api if self.duties else "")
                + "[vm]\ncore_part = 0.25\nlink_mbps = 1000\n[bounds]\n"
                + "".join("%s = %s\n" % each for each in self.bounds.items()))

    def start(self, output=None):
        """output: a file or pipe that takes the log instead of a file in the folder."""
        self.starts += 1
        path = os.path.join(self.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        self.log_path = os.path.join(self.folder, "%s.%d.log" % (self.name, self.starts))
        with open(self.log_path, "wb") as log:
            taker = log if output is None else output
            self.process = subprocess.Popen([os.path.join(REPO, "target/bin/auburnspread-gateway"), "--config", path],
                                            cwd=REPO, stdout=taker, stderr=taker, stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def until_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(*self.readiness.rsplit(":", 1))
                writer.write(b"GET /auburnspread/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                start, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200" in start:
                    return True
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        each = socket.socket()
        each.bind((ip, 0))
        sockets.append(each)
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def route(name, prefix, kind, service, attempts=1, timeout_ms=5000, **more):
    return dict({"name": name, "hostname": "site.example", "prefix": prefix, "routeType": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 300,
                 "priorityClass": 0, "backend": service, "attempts": attempts, "anonymous": False, "sessionAffinity": False,
                 "streamResume": False, "gapAimMs": 200}, **more)


def configuration(version, routes, services, tenants):
    return {"version": version, "routeList": routes,
            "backends": [{"name": each, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tlsEnabled": False} for each in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenantList": [{"name": name, "apiKeys": keys, "priorityClass": 1} for name, keys in tenants.items()]}


def new_id():
    return "%016x" % random.getrandbits(64)


def request_bytes(method, target, attempt, key, body=b"", more=(), deadline_ms=2500, framed=True):
    headers = [("Host", "site.example"), ("Attempt-Id", attempt), ("Deadline-Ms", str(deadline_ms))]
    if key:
        headers.append(("Key", key))
    headers += list(more)
    if framed and body:
        headers.append(("Content-Length", str(len(body))))
    text = "%s %s HTTP/1.1\r\n" % (method, target) + "".join("%s: %s\r\n" % each for each in headers) + "\r\n"
    return text.encode("latin-1") + body


async def read_answer(reader):
    """Returns status, headers, body."""
    start, headers = await read_head(reader)
    return int(start.split(" ")[1]), headers, await read_body(reader, headers)


async def call(address, data, limit_s=10):
    """Sends one request on a new connection. Returns status, headers, body; status 0 if the connection ends without an answer."""
    reader, writer = await asyncio.open_connection(*address.rsplit(":", 1), limit=1 << 22)
    try:
        writer.write(data)
        return await asyncio.wait_for(read_answer(reader), limit_s)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
        return 0, [], b""
    finally:
        writer.close()
