"""Stand-ins of the users' platform for the cases of this review: store, upstreams, clients, and the platform's own acts.

Follows PROTOCOL.md and DEPLOY.md of the users' pages. The sidecars are the project's own program, started as separate
processes with the run command of deploy/system.toml and settings from deploy/settings.json.template. All addresses are
loopback addresses; each machine has an address of its own, and the ports are the same on all machines.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PREFIX = "/cicadamux/"


class Record:
    """record.txt: one line for each thing sent, answered, run or done."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}".rstrip() + "\n")
        self.file.flush()

    def say(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()
        print(text, flush=True)


async def read_head(reader):
    """Returns the start line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(headers, name, otherwise=None):
    for known, value in headers:
        if known == name.lower():
            return value
    return otherwise


async def read_body(reader, headers, is_answer=False):
    if "chunked" in header(headers, "transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += (await reader.readexactly(size + 2))[:-2]
    length = header(headers, "content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if is_answer else b""


def answer_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, target, body=b"", headers=(), timeout=1.0):
    """One call on a new connection; returns status, headers and body, or None."""

    async def run():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Host: {address}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body:
                lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            got = await read_body(reader, head[1], is_answer=True)
            return int(head[0].split()[1]), head[1], got
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class Store:
    """The platform's metadata store: objects by kind and name, one revision counter, watches."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def start(self):
        ip, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, ip, int(port), backlog=1000)

    async def change(self, kind, name, spec, removed=False):
        self.revision += 1
        objects = self.kinds.setdefault(kind, {})
        if removed:
            entry = dict(objects.pop(name))
            entry["metadata"] = dict(entry["metadata"], revision=self.revision)
        else:
            before = objects.get(name)
            created = before["metadata"]["createRev"] if before else self.revision
            entry = {"metadata": {"name": name, "revision": self.revision, "createRev": created,
                                  "finalizers": [], "deleting": False}, "spec": spec, "status": {}}
            objects[name] = entry
        self.events.append((self.revision, kind, {"object": entry, "removed": removed}))
        async with self.changed:
            self.changed.notify_all()
        return entry

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                await asyncio.sleep(0.004)
                status, content = await self.answer(head[0], body)
                text = json.dumps(content).encode() if content is not None else b""
                writer.write(answer_bytes(status, [("Content-Type", "application/json"), ("Store-Era", "1")], text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        names = parts.path.removeprefix(PREFIX + "objects/").split("/")
        kind, name = names[0], names[1] if len(names) > 1 else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, None)
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")) / 1000)
        if method == "GET":
            return 200, {"items": [objects[n] for n in sorted(objects)], "hasMore": False, "atRev": self.revision}
        if method == "DELETE":
            if name not in objects:
                return 404, None
            if "revision" in query and int(query["revision"]) != objects[name]["metadata"]["revision"]:
                return 409, objects[name]
            self.record.write("store removes", kind=kind, name=name)
            await self.change(kind, name, None, removed=True)
            return 200, {}
        given = json.loads(body)
        if method == "POST":
            name = given["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            self.record.write("store creates", kind=kind, name=name)
            return 201, await self.change(kind, name, given.get("spec"))
        if name not in objects:
            return 404, None
        asked = given["metadata"].get("revision")
        if asked is not None and asked != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        if given.get("spec") == objects[name]["spec"]:
            return 200, objects[name]
        self.record.write("store replaces", kind=kind, name=name)
        return 200, await self.change(kind, name, given.get("spec"))

    async def watch(self, kind, since, wait):
        until = time.monotonic() + wait
        while True:
            events = [event for revision, known, event in self.events if known == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Upstream:
    """A backend server: runs requests, says how it is by heartbeats."""

    def __init__(self, fleet, machine, service, work=0.02, slots=45):
        self.fleet, self.machine, self.service = fleet, machine, service
        self.work, self.slots = work, slots
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beating = True
        self.answer_size = 600
        self.runs = {}  # Request id: times of its runs.
        self.ended = {}  # Request id: when its run ended.

    async def start(self):
        ip, port = self.machine.app_address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, ip, int(port), backlog=1000, limit=1 << 20)
        self.beats = asyncio.create_task(self.beat_on())

    def announcement(self):
        self.sequence += 1
        return json.dumps({"address": self.machine.app_address, "born": self.born,
                           "info": {"service": self.service, "version": "v1", "zone": self.machine.zone, "slots": self.slots},
                           "status": {"state": self.state, "seq": self.sequence, "coldRemaining": "0ms"}}).encode()

    async def beat(self, body=None):
        body = body if body is not None else self.announcement()
        answer = await call(self.machine.control, "PUT", f"{PREFIX}instances/{self.id}", body)
        return answer[0] if answer else None

    async def beat_on(self):
        while True:
            if self.beating:
                await self.beat()
            await asyncio.sleep(1.5 if self.beating else 0.1)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self.run(head[0], head[1], body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(self, line, headers, body, writer):
        """Answers one request; returns whether the connection is kept."""
        request = header(headers, "cicadamux-request-id", "")
        expected = header(headers, "cicadamux-expected-instance")
        if expected is not None and expected != self.id:
            writer.write(answer_bytes(421, [("Cicadamux-Instance-Id", self.id)]))
            await writer.drain()
            return True
        self.runs.setdefault(request, []).append(self.fleet.record.now())
        await asyncio.sleep(self.work)
        self.ended[request] = self.fleet.record.now()
        writer.write(answer_bytes(200, [("Cicadamux-Request-Id", request), ("Cicadamux-Response-Signature", f"sig.{request}")],
                                  b"x" * self.answer_size))
        await writer.drain()
        return True


class Machine:
    """A machine with its sidecar process."""

    def __init__(self, fleet, number, zone, service):
        self.fleet, self.zone, self.service = fleet, zone, service
        self.name = f"sidecar-{zone}-{number}"
        self.ip = fleet.ip(number)
        ports = fleet.ports
        self.inbound, self.outbound, self.ready, self.control, self.app_address = (f"{self.ip}:{ports[n]}" for n in range(5))
        self.internal = [ports[5], ports[6]]
        self.process = None
        self.starts = 0
        self.started_at = None
        self.peak = 0
        self.over = 0  # Times that the process was over its memory.
        self.wanted = True

    def settings(self):
        bounds = dict(bound.split("=") for bound in self.fleet.bounds)
        return {"nodeName": self.name, "role": "sidecar", "machineClass": "sidecar", "serves": ["sidecar"], "ip": self.ip,
                "zone": self.zone, "region": "r", "internalPorts": self.internal, "seedNodes": [],
                "bootstrap": self.fleet.is_first and self.starts == 0, "heartbeat": "1500ms", "bounds": bounds, "appAddr": self.app_address,
                "service": self.service,
                "listen": {"inbound": self.inbound, "outbound": self.outbound, "readyAddr": self.ready, "control": self.control},
                "limits": {"memoryMb": self.fleet.memory_mb, "cpuShare": 0.4, "cpuCores": 1},
                "platformConfig": {"address": self.fleet.store_address}}

    async def start(self):
        template = (ROOT / self.fleet.role["template"]).read_text()
        settings = self.settings()

        def fill(match):
            value = settings
            name, _, form = match.group(1).partition("|")
            for part in name.strip().split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value) if form == "json" else str(value)

        boot = self.fleet.folder / f"{self.name}.json"
        boot.write_text(re.sub(r"\{\{([^{}]+)\}\}", fill, template))
        words = self.fleet.role["run"].split(" ")
        words = [word.replace("/etc/cicadamux/boot.toml", str(boot)) for word in words]
        words[0] = str(ROOT / words[0])
        self.starts += 1
        self.log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.fleet.folder), "LANG": "C", "CICADAMUX_BOOT": str(boot)})
        self.started_at = self.fleet.record.now()
        self.fleet.record.write("sidecar starts", machine=self.name, process=self.process.pid)
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        self.fleet.record.write("sidecar ended", machine=self.name, code=code)
        if not self.fleet.is_ending and self.wanted and self.process is process:
            await asyncio.sleep(self.fleet.restart_delay)
            if not self.fleet.is_ending and self.wanted:
                await self.start()

    def signal(self, which):
        self.fleet.record.write("signal", machine=self.name, signal=which.name)
        self.process.send_signal(which)

    def memory(self):
        """Anonymous memory of the process in bytes; pages of files aren't counted."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0
        found = re.search(r"RssAnon:\s+(\d+) kB", text)
        return int(found.group(1)) * 1024 if found else 0

    async def is_ready(self):
        answer = await call(self.ready, "GET", PREFIX + "ready")
        return answer is not None and answer[0] == 200


class Fleet:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, memory_mb=260):
        self.case = Path(folder)
        self.record = Record(self.case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = self.free_ports(8)
        self.memory_mb = memory_mb
        self.is_first = True
        self.is_ending = False
        self.restart_delay = 0.5
        self.bounds = ["seedLag=3s", "addrReuse=2s", "contact=3000ms", "ack=4000ms", "catchUp=4s", "drain=2000ms", "grace=6s",
                       "lossSlack=200ms", "configApply=2000ms", "rollbackSlack=250ms", "skewMax=5000ms", "retryBudgetRatio=0.2",
                       "budgetWindow=10s", "budgetSlack=48", "recovery=15s"]
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.role = next(iter(tomllib.load(file)["roles"].values()))
        self.store = Store(f"{self.ip(200)}:{self.ports[7]}", self.record)
        self.store_address = self.store.address  # As the machines know it.
        self.machines = []
        self.upstreams = []
        self.refused = []  # Payments on kept connections that were answered 503.

    def ip(self, number):
        return f"{self.network}.{number}"

    @staticmethod
    def free_ports(count):
        sockets = [socket.socket() for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return ports

    def add(self, zone, service, **kind):
        machine = Machine(self, len(self.machines) + 1, zone, service)
        upstream = Upstream(self, machine, service, **kind)
        self.machines.append(machine)
        self.upstreams.append(upstream)
        return machine, upstream

    async def configure(self, version, routes, services):
        spec = {"version": version, "routes": routes,
                "services": [{"name": name, "healthPath": "/health", "maxConnections": 400, "protocol": "h1", "tls": False} for name in services],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}}
        await self.store.change("config", "main", spec)
        self.record.write("operator writes", version=version)

    async def start(self):
        await self.store.start()
        for machine in self.machines:
            await machine.start()
        for upstream in self.upstreams:
            await upstream.start()

    async def until_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if all([await machine.is_ready() for machine in self.machines]):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the machines don't get ready")

    async def guard_memory(self):
        """DEPLOY.md: a process that exceeds `memoryMb` is killed."""
        limit = self.memory_mb * 1024 * 1024
        while True:
            for machine in self.machines:
                used = machine.memory()
                machine.peak = max(machine.peak, used)
                if used > limit and machine.process.returncode is None:
                    machine.over += 1
                    self.record.say(f"{machine.name} holds {used / 1e6:.0f} MB, over its limit of {self.memory_mb} MB: killed by the platform")
                    machine.signal(signal.SIGKILL)
                    await machine.process.wait()
            await asyncio.sleep(0.02)

    async def stop(self):
        self.is_ending = True
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, kind, service, timeout="10000ms", objective="1500ms", attempts=2, priority=1):
    return {"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeout": timeout, "targetLatency": objective,
            "priority": priority, "service": service, "maxAttempts": attempts}


def new_id():
    return f"{random.getrandbits(64):016x}"


def request_head(method, host, target, request, deadline, extra=()):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"Cicadamux-Request-Id: {request}", f"Cicadamux-Deadline-Ms: {deadline}"]
    return ("\r\n".join(lines + [f"{name}: {value}" for name, value in extra]) + "\r\n").encode()


async def pay(machine, request, deadline=3000):
    """A payment on a new connection: a request that mustn't run twice. Returns its status."""
    ip, port = machine.outbound.rsplit(":", 1)
    try:
        stream, writer = await asyncio.open_connection(ip, int(port))
    except OSError:
        return "no-connection"
    try:
        writer.write(request_head("PUT", "fee.example", "/fee/pay", request, deadline, [("Content-Length", "3")]) + b"\r\npay")
        head = await read_head(stream)
        return head[0].split()[1] if head else "cut"
    except ConnectionError:
        return "cut"
    finally:
        writer.close()


async def pay_on_new_connections(fleet, machine, sent):
    """A client that pays each tenth of a second; `sent` gets the time of each request by its id."""
    while True:
        request = new_id()
        sent[request] = fleet.record.now()
        answer = await pay(machine, request)
        fleet.record.write("request", request=request, machine=machine.name, answer=answer)
        await asyncio.sleep(0.1)


async def pay_on_kept_connection(fleet, machine, lost, counts):
    """
    A client that pays again and again on one connection. `lost` gets the requests that a sound upstream has run or works
    on, and whose connection was closed without an answer.
    """
    ip, port = machine.outbound.rsplit(":", 1)
    while True:
        try:
            stream, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            await asyncio.sleep(0.2)
            continue
        while True:
            request = new_id()
            status = "cut"
            try:
                writer.write(request_head("PUT", "fee.example", "/fee/pay", request, 5000, [("Content-Length", "0")]) + b"\r\n")
                head = await read_head(stream)
                if head:
                    await read_body(stream, head[1], is_answer=True)
                    status = head[0].split()[1]
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            counts[status] = counts.get(status, 0) + 1
            runs = [run for upstream in fleet.upstreams for run in upstream.runs.get(request, [])]
            fleet.record.write("payment", request=request, answer=status, run_at=",".join(f"{run:.3f}" for run in runs) or "no")
            if status == "503":
                fleet.refused.append(request)
            if status == "cut":
                if runs:
                    lost.append(request)
                break
            if header(head[1], "connection", "") == "close":
                break
        writer.close()


def run_case(folder, play):
    """Runs play(fleet, trouble), which returns 1 (broken) or 0 (held); 2 means that the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2

    async def whole():
        fleet = Fleet(folder)
        playing = asyncio.create_task(play(fleet, trouble))
        for which in (signal.SIGINT, signal.SIGTERM):  # The processes are ended also when the script is.
            asyncio.get_running_loop().add_signal_handler(which, playing.cancel)
        try:
            return await asyncio.wait_for(playing, 110)
        except asyncio.CancelledError:
            fleet.record.say("ended by a signal")
            return 2
        except Exception as failure:  # The case couldn't run.
            fleet.record.say(f"couldn't run: {type(failure).__name__} {failure}")
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(fleet.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            await fleet.stop()

    code = asyncio.run(whole())
    sys.exit(code)
