"""Stand-ins of the platform for the scripts of this review, and the processes of the deploy file.

Only the standard library is used. The store, the replicas and the clients speak what PROTOCOL.md says; nothing here
knows the project's own code. All sockets are on loopback: each gateway has an address of its own, since all gateways
use the same ports.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

#: The bounds of the sheet of dccm-frost (SYSTEM.md).
BOUNDS = {
    "seedStalenessS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
    "strictRevocation": True, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 54,
    "recoveryS": 12, "propagationMs": 120, "retryAfterS": 10, "fencingRequired": True, "leaseMs": 3000,
    "thawSlackMs": 300, "versionMs": 8000, "versionConvergeMs": 11000,
}


class Record:
    """What was sent, answered and run, in order."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class CaseError(Exception):
    """The case could not be run."""


# ---------------------------------------------------------------------------------------------------- HTTP

class Head:
    """The head of a request or an answer. Names of headers are in lower case."""

    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers

    def get(self, name, default=None):
        for known, value in self.headers:
            if known == name:
                return value
        return default


async def read_head(reader):
    """Reads a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Head(lines[0], headers)


async def read_body(reader, head):
    """Reads a body with a length or in chunks."""
    if "chunked" in (head.get("transfer-encoding") or ""):
        whole = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return whole
            whole += piece[:-2]
    return await reader.readexactly(int(head.get("content-length", "0")))


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# ---------------------------------------------------------------------------------------------------- store

class Store:
    """The platform's object store: kinds of named objects, one counter of revisions, watches."""

    LATENCY = 0.004

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Event()
        self.address = None

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    def put(self, kind, name, spec):
        """A write of the operator or of a replica; the store's answer is the acknowledgement."""
        known = self.kinds.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        stored = {
            "metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                         "deletionPending": False},
            "spec": spec, "status": None,
        }
        self.kinds[kind][name] = stored
        self.note_event(kind, False, stored)
        return stored

    def remove(self, kind, name):
        known = self.kinds.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            known = json.loads(json.dumps(known))
            known["metadata"]["revision"] = self.revision
            self.note_event(kind, True, known)

    def note_event(self, kind, deleted, stored):
        self.events.append((self.revision, kind, {"deleted": deleted, "object": json.loads(json.dumps(stored))}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                method, target, _ = head.first_line.split(" ")
                await asyncio.sleep(self.LATENCY)
                status, document = await self.handle(method, target, body)
                payload = json.dumps(document).encode()
                writer.write(answer_bytes(status, [("Content-Type", "application/json")], payload))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(part) for part in path.split("/") if part]
        kind, name = parts[1], (parts[2] if len(parts) > 2 else None)
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")) / 1000)
        if method == "GET" and name is None:
            after = query.get("after", "")
            items = [objects[known] for known in sorted(objects) if known > after][:500]
            has_more = bool(items) and any(known > items[-1]["metadata"]["name"] for known in objects)
            return 200, {"items": items, "hasMore": has_more, "timestamp": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "POST":
            document = json.loads(body)
            name = document["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, document.get("spec"))
        if method == "PUT":
            document = json.loads(body)
            if name not in objects:
                return 404, {}
            expected = document["metadata"].get("revision", query.get("revision"))
            if expected is not None and int(expected) != objects[name]["metadata"]["revision"]:
                return 409, objects[name]
            return 200, self.put(kind, name, document.get("spec"))
        if method == "DELETE":
            if name not in objects:
                return 404, {}
            if "revision" in query and int(query["revision"]) != objects[name]["metadata"]["revision"]:
                return 409, objects[name]
            self.remove(kind, name)
            return 200, {}
        return 400, {}

    async def watch(self, kind, revision, wait):
        ends = time.monotonic() + min(wait, 30)
        while True:
            found = [event for at, of_kind, event in self.events if of_kind == kind and at > revision]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "timestamp": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------------------------------------------- replicas

class Request:
    """A request that has reached a replica."""

    def __init__(self, head, body):
        self.head = head
        self.method, self.target, _ = head.first_line.split(" ")
        self.body = body
        self.id = head.get("driftspring-request-id", "")


class Replica:
    """A replica of a service. `behave(replica, request, writer)` runs a request and writes its answer."""

    def __init__(self, world, service, zone, behave, models=(), software="v1"):
        self.software = software
        self.state = "ready"
        self.writers = set()
        self.world = world
        self.service = service
        self.zone = zone
        self.behave = behave
        self.id = "i-%08x" % random.getrandbits(32)
        self.versions = {model: 1 for model in models}
        self.sequence = 0
        self.busy_until = 0.0
        self.pending = None
        self.highest_fence = -1
        self.orders = []
        self.address = None
        self.boot_epoch = random.randrange(1, 1 << 30)

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.register()

    def register(self):
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": self.software,
            "slots": 64, "state": self.state, "coldRemainingMs": 0, "sequence": 1,
        }
        if self.versions:
            entry["stage"] = "both"
            entry["models"] = self.models()
        self.world.store.put("servers", self.id, entry)

    def drain(self):
        """Says that it leaves."""
        self.state = "draining"
        self.register()
        self.world.record.note(f"{self.id} ({self.software}) says that it leaves")

    def end(self):
        """Ends: its entry goes, nothing listens at its address, and open connections are reset."""
        self.world.store.remove("servers", self.id)
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.world.record.note(f"{self.id} ({self.software}) has ended")

    def models(self):
        return [{"name": model, "version": version, "adapters": []} for model, version in self.versions.items()]

    def stamp(self, request):
        return f"stamp.{self.id}.{request.id}"

    def answer_headers(self, request):
        return [("Driftspring-Request-Id", request.id), ("Driftspring-Response-Stamp", self.stamp(request))]

    def finish_order(self):
        if self.pending and time.monotonic() >= self.busy_until:
            model, version = self.pending
            self.pending = None
            self.versions[model] = version
            self.register()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                request = Request(head, await read_body(reader, head))
                self.finish_order()
                keep = await self.handle(request, writer)
                await writer.drain()
                if keep is False:
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        path = request.target.split("?")[0]
        instance = ("Driftspring-Instance-Id", self.id)
        if request.method == "GET" and path == "/report":
            busy = self.pending is not None
            report = {"stage": "both", "models": self.models(), "busy": busy, "sequence": self.sequence, "queued": 0,
                      "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0}
            return self.write_json(writer, 200, report)
        if request.method == "GET" and path == "/healthz":
            return writer.write(answer_bytes(200, [instance], b""))
        if request.method == "GET" and path in ("/kv-events", "/kv-list"):
            await asyncio.sleep(0.9)
            page = {"bootEpoch": self.boot_epoch, "nextToken": 0, "lost": False, "events": [], "held": []}
            return self.write_json(writer, 200, page)
        expected = request.head.get("driftspring-expect-instance")
        if expected is not None and expected != self.id:
            return writer.write(answer_bytes(421, [instance], b""))
        if request.method == "POST" and path == "/order":
            return self.take_order(request, writer)
        if not request.id:
            return writer.write(answer_bytes(400, [("Driftspring-Not-Executed", "1")], b""))
        version = request.head.get("driftspring-expect-version")
        model = request.head.get("driftspring-model-id")
        if version is not None and self.versions.get(model) != int(version):
            return writer.write(answer_bytes(421, [instance, ("Driftspring-Not-Executed", "1")], b""))
        if self.pending is not None and model is not None:
            return writer.write(answer_bytes(503, [("Driftspring-Not-Executed", "1")], b""))
        return await self.behave(self, request, writer)

    def write_json(self, writer, status, document):
        writer.write(answer_bytes(status, [("Content-Type", "application/json")], json.dumps(document).encode()))

    def take_order(self, request, writer):
        order = json.loads(request.body)
        holder, token = order["holder"], order["fencingToken"]
        status = 202
        if self.world.fencing and token < self.highest_fence:
            status = 412
        elif self.pending is not None or order.get("ifRevision", self.sequence) != self.sequence:
            status = 409
        elif self.versions.get(order["model"]) == order["version"]:
            status = 200
        if status != 412:
            self.highest_fence = max(self.highest_fence, token)
        at = self.world.record.now()
        self.world.orders.append((at, holder, token, self.id, status))
        self.world.record.note(f"order at {self.id}: holder={holder} token={token} version={order['version']} -> {status}")
        if status == 202:
            self.sequence += 1
            self.pending = (order["model"], order["version"])
            self.busy_until = time.monotonic() + 0.63
            asyncio.get_running_loop().call_later(0.64, self.finish_order)
        self.write_json(writer, status, {})


# ---------------------------------------------------------------------------------------------------- gateways

def render(template, fields, entry=None, key=None):
    """Fills a template as DEPLOY.md says: values, and parts that stand once for each entry or if a value is given."""

    def look_up(name):
        if name == ".":
            return entry
        for scope in (entry, fields):
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def fill_section(match):
        value, inner = look_up(match[1]), match[2]
        if isinstance(value, list):
            filled = []
            for index, one in enumerate(value):
                part = inner.replace("{{,}}", "," if index + 1 < len(value) else "")
                filled.append(render(part, fields, one, index))
            return "".join(filled)
        return render(inner, fields, entry, key) if value not in (None, False) else ""

    filled = section.sub(fill_section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text_of(look_up(match[1])), filled)


class Gateway:
    """A process of the deploy file on its own loopback address."""

    def __init__(self, world, name, ip, zone):
        self.world = world
        self.name = name
        self.ip = ip
        self.zone = zone
        self.file = os.path.join(world.folder, f"{name}.toml")
        self.process = None

    @property
    def callers(self):
        return self.ip, self.world.ports["front"]

    def fields(self, bootstrap):
        world = self.world
        return {
            "nodeName": self.name, "zone": self.zone, "ip": self.ip, "bootstrap": bootstrap,
            "seeds": [f"{gateway.ip}:{world.ports['control']}" for gateway in world.gateways[:3]],
            "portRange": [world.ports["range"], world.ports["range"] + 15],
            "listen": {"front": f"{self.ip}:{world.ports['front']}", "ready": f"{self.ip}:{world.ports['ready']}",
                       "control": f"{self.ip}:{world.ports['control']}"},
            "limits": {"cpuShare": 0.25, "bandwidthMbps": 1000.0},
            "bounds": world.bounds,
            "platform": {"address": world.store.address},
        }

    def write_settings(self, bootstrap=False):
        """What the platform does at every start and whenever the settings change."""
        filled = render(self.world.template, self.fields(bootstrap))
        with open(self.file + ".new", "w", encoding="utf-8") as file:
            file.write(filled)
        os.replace(self.file + ".new", self.file)

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        words = self.world.run.split()
        words = [os.path.join(REPOSITORY, words[0])] + words[1:-1] + [self.file]
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            words, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT,
            start_new_session=True,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "DRIFTSPRING_BOOT": self.file},
        )
        log.close()
        self.world.record.note(f"start of {self.name}, pid {self.process.pid}")

    def signal(self, number):
        self.world.record.note(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def ended(self, timeout):
        ends = time.monotonic() + timeout
        while self.process.poll() is None and time.monotonic() < ends:
            await asyncio.sleep(0.02)
        return self.process.poll()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.world.ports["ready"]), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head.first_line.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def until_ready(self, timeout=15):
        ends = time.monotonic() + timeout
        while time.monotonic() < ends:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready")


class World:
    """A store, replicas, gateways and an operator."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = None
        self.store = Store(self.record)
        self.bounds = dict(BOUNDS)
        self.fencing = True
        self.gateways = []
        self.replicas = []
        self.orders = []
        self.version = 1
        self.net = "127.%d.%d" % (random.randrange(10, 250), random.randrange(1, 250))
        self.next_host = 10
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        self.run = role["run"]
        with open(os.path.join(REPOSITORY, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        if not os.path.exists(os.path.join(REPOSITORY, self.run.split()[0])):
            raise CaseError(f"{self.run.split()[0]} has not been built")
        self.folder = tempfile.mkdtemp(prefix="driftspring-review-")

    def next_ip(self):
        self.next_host += 1
        return f"{self.net}.{self.next_host}"

    def choose_ports(self, hosts):
        """Ports that are free on all of these addresses."""
        for _ in range(50):
            base = random.randrange(20000, 30000, 20)
            ports = {"front": base, "ready": base + 1, "control": base + 2, "range": base + 3}
            try:
                for host in hosts:
                    # Gateways speak to each other over TCP and UDP at the first port of the range.
                    kinds = [(port, socket.SOCK_STREAM) for port in (base, base + 1, base + 3, 9464)]
                    for port, kind in kinds + [(base + 3, socket.SOCK_DGRAM)]:
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((host, port))
            except OSError:
                continue
            self.ports = ports
            return
        raise CaseError("no free ports")

    async def start(self, gateways, zones=("seeb-hall", "ruwi-hall", "sohar-hall")):
        self.zones = zones
        await self.store.start(self.next_ip())
        hosts = [self.next_ip() for _ in range(gateways)]
        self.choose_ports(hosts)
        for number, host in enumerate(hosts):
            zone = zones[number % len(zones)]
            self.gateways.append(Gateway(self, f"front-{zone}-{number + 1}", host, zone))

    async def add_replica(self, service, behave, models=(), zone=None, software="v1"):
        zone = zone or self.zones[len(self.replicas) % len(self.zones)]
        replica = Replica(self, service, zone, behave, models, software)
        await replica.start(self.next_ip())
        self.replicas.append(replica)
        return replica

    def put_configuration(self, routes, services, tenants):
        """Writes a new version of the configuration; the return is the acknowledgement."""
        self.version += random.randrange(1, 4)
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        self.store.put("config", "main", {"version": self.version, "routes": routes, "services": services,
                                           "limits": limits, "tenants": tenants})
        self.record.note(f"configuration {self.version} acknowledged")

    async def start_gateways(self):
        for gateway in self.gateways:
            gateway.start(bootstrap=True)
        for gateway in self.gateways:
            await gateway.until_ready()

    def stop(self):
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# ---------------------------------------------------------------------------------------------------- clients

class Answer:
    """What a client has seen of an answer."""

    def __init__(self):
        self.status = None
        self.head = None
        self.body = b""
        self.is_complete = False
        self.end = ""

    def __str__(self):
        return f"status={self.status} body={len(self.body)} complete={self.is_complete} end={self.end!r}"


def request_bytes(method, host, path, identity, deadline_ms, key=None, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Driftspring-Request-Id: {identity}",
             f"Driftspring-Deadline-Ms: {deadline_ms}"]
    if key:
        lines.append(f"Driftspring-Credential: {key}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader, answer, on_piece=None):
    """Reads an answer to its end or to where it breaks off."""
    try:
        head = await read_head(reader)
        if head is None:
            answer.end = "closed without an answer"
            return answer
        answer.head = head
        answer.status = int(head.first_line.split(" ")[1])
        if "chunked" in (head.get("transfer-encoding") or ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    answer.is_complete = True
                    answer.end = "last chunk"
                    return answer
                answer.body += piece[:-2]
                if on_piece:
                    await on_piece(answer)
        left = int(head.get("content-length", "0"))
        while left > 0:
            piece = await reader.read(min(left, 65536))
            if not piece:
                answer.end = f"closed with {left} bytes missing"
                return answer
            left -= len(piece)
            answer.body += piece
            if on_piece:
                await on_piece(answer)
        answer.is_complete = True
        answer.end = "whole"
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        answer.end = f"broke off: {type(error).__name__}"
    return answer


def new_id():
    return "%016x" % random.getrandbits(64)


def main(folder, case):
    """Runs `case(world)`, which returns whether the rule was broken, and exits as the issue asks."""
    asyncio.run(run_case(folder, case))


async def run_case(folder, case):
    world = None

    def end(code):
        """Ends all processes and this one; connections of the stand-ins need no orderly end."""
        if world is not None:
            world.stop()
            world.record.note(f"exit {code}")
        try:
            words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
            print(words[code], flush=True)
        except OSError:
            pass
        os._exit(code)

    # A script that is stopped, or that takes too long, ends what it has started, too.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, lambda *_: end(COULD_NOT_RUN))
    signal.alarm(115)
    code = COULD_NOT_RUN
    try:
        world = World(folder)
        world.record.note(f"trouble={TROUBLE}")
        code = BROKEN if await asyncio.wait_for(case(world), 110) else HELD
    except Exception as error:  # whatever goes wrong in the script is not a broken rule
        print(f"the case could not run: {type(error).__name__} {error}", file=sys.stderr)
    finally:
        end(code)
