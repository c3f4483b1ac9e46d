"""A small deployment on loopback for the cases of the third review: a store, endpoints, clients and entry instances.

Entry instances are started with the command of deploy/system.toml, and their settings are rendered from
deploy/sassafrasd.toml.in. Store, endpoints and clients live in the process of the script and follow the users' pages.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
PORTS = {"front": 8548, "ready": 8542, "control": 8544, "directory": 8546}
METRICS_PORT = 9464


def now():
    return time.monotonic()


class Record:
    """The file record.txt of a case: what was sent, answered and run, with times in seconds from the start."""

    def __init__(self, folder):
        self._start = now()
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text, at=None):
        self._file.write(f"{(at or now()) - self._start:8.3f} s  {text}\n")

    def say(self, text):
        self.write(text)
        self._file.flush()
        print(text, flush=True)

    def close(self):
        self._file.close()


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(head[0].split(" ", 2), headers, body)


def encode(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_answer(status, body, headers):
    return encode(f"HTTP/1.1 {status} -", {"Content-Length": len(body), **headers}, body)


class Server:
    """A listener; `handle(reader, writer)` serves one connection."""

    def __init__(self, handle):
        self._handle, self._server, self.writers = handle, None, set()

    async def start(self, address):
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), backlog=512, limit=1 << 20)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._handle(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError,
                asyncio.CancelledError):
            pass  # Closed by the other side, or the end of the script.
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            if writer.transport is not None:
                writer.transport.abort()


class Store:
    """The platform's store: range, watch, key and conditional write, one revision counter, linearizable."""

    def __init__(self):
        self.revision, self.items, self.history = 1, {}, []
        self.watches = {}
        # Names of instances whose calls get no answer while they stand here.
        self.silent_to = set()
        self._changed = asyncio.Condition()
        self._servers = []

    async def listen(self, address, caller):
        """Serves `caller`, the name of an instance, at an address of its own: so it is known who calls."""
        async def serve(reader, writer):
            await self._serve(reader, writer, caller)

        server = Server(serve)
        await server.start(address)
        self._servers.append(server)

    def stop(self):
        for server in self._servers:
            server.stop()

    async def put(self, key, value):
        """Writes a key; the return is the acknowledgement."""
        return await self._write([(key, base64.b64encode(json.dumps(value).encode()).decode())], [])

    async def delete(self, key):
        return await self._write([], [key])

    async def _write(self, writes, deletes):
        self.revision += 1
        for key, text in writes:
            created = self.items.get(key, {}).get("created", self.revision)
            self.items[key] = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
            self.history.append(dict(self.items[key]))
        for key in deletes:
            if self.items.pop(key, None):
                self.history.append({"key": key, "revision": self.revision, "tombstone": True})
        async with self._changed:
            self._changed.notify_all()
        return self.revision

    async def _serve(self, reader, writer, caller):
        while True:
            request = await read_message(reader)
            path, _, query = request.first[1].partition("?")
            fields = dict(urllib.parse.parse_qsl(query))
            if path == "/-/kv-watch":
                self.watches[(caller, fields["prefix"])] = now()
            status, body = await self._answer(path, fields, request.body)
            if caller in self.silent_to:
                # A connection on which an answer is lost returns nothing further.
                await reader.read()
                return
            writer.write(encode_answer(status, json.dumps(body).encode(), {"Content-Type": "application/json"}))
            await writer.drain()

    async def _answer(self, path, fields, body):
        if path == "/-/kv-key":
            item = self.items.get(fields["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {"asOf": self.revision})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(fields["prefix"]) and k > fields.get("after", ""))
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "truncated": len(keys) > 500, "asOf": self.revision}
        if path == "/-/kv-watch":
            return await self._watch(fields["prefix"], int(fields["after"]), int(fields["waitMs"]) / 1000)
        if path == "/-/kv-txn":
            request = json.loads(body)
            if any(self.items.get(row["key"], {}).get("revision", 0) != row["revision"]
                   for row in request["expectedRev"]):
                keys = [row["key"] for row in request["expectedRev"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
            writes = [(write["key"], write["value"]) for write in request["writes"]]
            return 200, {"revision": await self._write(writes, request["deletes"])}
        return 404, {}

    async def _watch(self, prefix, after, wait_s):
        def events():
            return [item for item in self.history if item["revision"] > after and item["key"].startswith(prefix)]

        try:
            async with self._changed:
                await asyncio.wait_for(self._changed.wait_for(events), wait_s)
        except asyncio.TimeoutError:
            pass
        return 200, {"events": events(), "asOf": self.revision}


class Run:
    """A request that an endpoint began to work on."""

    def __init__(self, request_id, endpoint, tenant):
        self.request_id, self.endpoint, self.tenant, self.at = request_id, endpoint, tenant, now()
        self.ended_at, self.answered = None, False


class Endpoint:
    """One endpoint: `slots` requests at a time, a few more queued, rejected with 503 beyond; drops what its caller left.

    `work_s(request)` gives the time of the work. `forget()` is what a stopping endpoint does with its queue.
    """

    def __init__(self, world, name, service, zone, address, slots, queue, work_s):
        self.world, self.name, self.service, self.zone, self.address = world, name, service, zone, address
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.running, self.waiting, self.state, self.sequence = 0, [], "ready", 0
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.server = Server(self._serve)

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "capacity": self.slots, "state": self.state, "warmupLeftS": 0, "sequence": self.sequence,
                "born": self.born}

    def _load(self):
        fields = {"Sassafraspath-Server-Load": f"{self.running},{len(self.waiting)},{self.slots},100"}
        if self.state == "draining":
            fields["Server-Leaving"] = "1"
            fields["Connection"] = "close"
        return fields

    async def _serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            if request.first[1] == "/health":
                status = 200 if self.state == "ready" else 503
                writer.write(encode_answer(status, b"", {"Sassafraspath-Instance-Id": self.name, **self._load()}))
            else:
                await self._handle(request, reader, writer)
            await writer.drain()

    def _refusal(self, request, status):
        return encode_answer(status, b"", {"Sassafraspath-Not-Executed": "1", "Sassafraspath-Request-Id":
                                           request.headers.get("sassafraspath-request-id", ""), **self._load()})

    async def _handle(self, request, reader, writer):
        request_id = request.headers.get("sassafraspath-request-id", "")
        self.arrivals.append((request_id, now()))
        self.world.record.write(f"request {request_id} reaches {self.name}")
        if request.headers.get("sassafraspath-expect-instance", self.name) != self.name:
            writer.write(self._refusal(request, 421))
            return
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                self.world.record.write(f"request {request_id} is rejected by {self.name}: full")
                writer.write(self._refusal(request, 503))
                return
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            if not await turn:
                self.world.record.write(f"request {request_id} is rejected by {self.name}, from its queue")
                writer.write(self._refusal(request, 503))
                return
        else:
            self.running += 1
        await self._run(request, request_id, reader, writer)

    async def _run(self, request, request_id, reader, writer):
        run = Run(request_id, self.name, request.headers.get("sassafraspath-tenant", ""))
        self.world.runs.append(run)
        self.world.record.write(f"request {request_id} runs at {self.name}")
        try:
            until = now() + self.work_s(request)
            while now() < until and not reader.at_eof():
                await asyncio.sleep(min(0.05, max(0.0, until - now())))
            run.ended_at = now()
            if reader.at_eof():
                self.world.record.write(f"request {request_id} dropped by {self.name}: its connection closed")
                return
            body = f"{request_id} done".encode()
            run.answered = True
            self.world.record.write(f"request {request_id} answered by {self.name}")
            writer.write(encode_answer(200, body, {"Sassafraspath-Request-Id": request_id,
                                                   "Sassafraspath-Response-Seal": f"seal.{request_id}",
                                                   **self._load()}))
        finally:
            self._release()

    def _release(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(True)
                return
        self.running -= 1

    def forget(self):
        """Rejects all that is queued; none of it has run."""
        for turn in self.waiting:
            if not turn.done():
                turn.set_result(False)
        self.waiting.clear()


class Instance:
    """An entry instance: its process and the addresses of its machine."""

    def __init__(self, world, number, zone):
        self.world, self.name, self.zone, self.process = world, f"front-{zone}-{number}", zone, None
        self.ip, self.store_address = f"127.{world.net}.0.{number}", f"127.{world.net}.1.{number}:8541"
        self.listen = {use: f"{self.ip}:{port}" for use, port in PORTS.items()}

    def start(self):
        path = self.world.folder / f"{self.name}.toml"
        path.write_text(self.world.render(self), encoding="utf-8")
        command = self.world.command.replace("/etc/sassafraspath/node.toml", str(path)).split()
        command[0] = str(ROOT / command[0])
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    async def counter(self, name):
        """A figure from the metrics page that the deploy file names; 0 if it isn't there."""
        answer = await request_once(f"{self.ip}:{METRICS_PORT}", "GET /sassafras/counters HTTP/1.1", {"Host": HOST}, b"",
                                    1.0)
        found = re.search(rf"^{name} (\S+)$", answer.body.decode(), re.M)
        return float(found[1]) if found else 0.0

    async def is_ready(self):
        try:
            answer = await request_once(self.listen["ready"], "GET /-/ready HTTP/1.1", {"Host": HOST}, b"", 1.0)
            return answer.first[1] == "200"
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def request_once(address, first, headers, body, timeout_s):
    """Sends one request on a new connection; raises OSError, EOFError or TimeoutError if no answer comes."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
    try:
        writer.write(encode(first, headers, body))
        return await asyncio.wait_for(read_message(reader), timeout_s)
    finally:
        writer.transport.abort()


class World:
    """The deployment. `bounds` are those of the site, as in the settings of a process."""

    def __init__(self, folder, bounds, seed=3):  # The seed decides nothing but the clients' choices.
        self.record, self.bounds, self.rng = Record(folder), bounds, random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.net = self._free_net()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))["roles"]["entry"]
        self.command, self.template = deploy["run"], (ROOT / deploy["template"]).read_text(encoding="utf-8")
        self.store = Store()
        self.endpoints, self.instances, self.runs, self._tasks, self._ids = [], [], [], [], 0
        self.version, self.resources = 1, []

    def _free_net(self):
        """A second octet for which the addresses of the deployment are free."""
        for octet in random.sample(range(20, 250), 60):
            try:
                for host in ("0.1", "0.2", "1.1"):
                    for port in (*PORTS.values(), METRICS_PORT, 8541):
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((f"127.{octet}.{host}", port))
                return octet
            except OSError:
                continue
        raise RuntimeError("no free addresses")

    def render(self, instance):
        """Renders the template of the deploy file: values, |json and sections for values that are present."""
        fields = {"nodeName": instance.name, "region": "r", "zone": instance.zone, "ip": instance.ip,
                  "listen": instance.listen, "provider": {"address": instance.store_address}, "bounds": self.bounds,
                  "seeds": [other.listen["control"] for other in self.instances[:3]]}

        def value(name):
            found = fields
            for part in name.split("."):
                found = found.get(part) if isinstance(found, dict) else None
            return found

        def section(match):
            found = value(match[1])
            return match[2] if found not in (None, False) else ""

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, self.template, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value(m[1])), text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m[1])), text)

    async def add_endpoint(self, service, zone, slots, queue, work_s):
        number = len(self.endpoints) + 1
        endpoint = Endpoint(self, f"i-{number:04x}", service, zone, f"127.{self.net}.2.{number}:8500", slots, queue,
                            work_s)
        await endpoint.server.start(endpoint.address)
        self.endpoints.append(endpoint)
        await self.store.put(f"servers/{endpoint.name}", endpoint.entry())
        return endpoint

    async def put_config(self):
        self.version += 3
        await self.store.put("op/config", {"version": f"{self.version:08x}", "resources": self.resources})

    def route(self, name, prefix, service, kind, timeout_s, goal_s, attempts=2):
        self.resources.append({"entryKind": "routes", "metadata": {"name": name}, "spec": {
            "host": HOST, "prefix": prefix, "type": kind, "timeoutS": timeout_s, "targetLatencyS": goal_s,
            "priority": 1, "service": service, "maxAttempts": attempts}})

    def service(self, name, connections=260):
        self.resources.append({"entryKind": "services", "metadata": {"name": name},
                               "spec": {"healthPath": "/health", "maxConns": connections}})

    def limits(self):
        self.resources.append({"entryKind": "limits", "metadata": {}, "spec": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}})

    async def start(self, zones):
        """Starts the store, and describes an instance for each entry of `zones`; routes and services come first."""
        await self.put_config()
        self.instances = [Instance(self, number + 1, zone) for number, zone in enumerate(zones)]
        for instance in self.instances:
            await self.store.listen(instance.store_address, instance.name)

    async def start_instances(self, settle_s):
        for instance in self.instances:
            instance.start()
        self._tasks.append(asyncio.ensure_future(self._heartbeats()))
        end = now() + 20
        for instance in self.instances:
            while not await instance.is_ready():
                if now() > end:
                    raise RuntimeError(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(settle_s)

    async def _heartbeats(self):
        """Each endpoint writes its entry every 1.5 s, one after the other."""
        while True:
            for endpoint in list(self.endpoints):
                await asyncio.sleep(1.5 / len(self.endpoints))
                if f"servers/{endpoint.name}" in self.store.items:
                    await self.store.put(f"servers/{endpoint.name}", endpoint.entry())

    def new_id(self):
        self._ids += 1
        return f"{self._ids:016x}"

    async def send(self, instance, method, path, limit_s, headers=None, body=b"", leave_after_s=None):
        """One client attempt on a new connection; returns (id, status or what happened, answer)."""
        request_id = self.new_id()
        fields = {"Host": HOST, "Sassafraspath-Request-Id": request_id,
                  "Sassafraspath-Deadline-Ms": int(limit_s * 1000), **(headers or {})}
        if body or method != "GET":
            fields["Content-Length"] = len(body)
        self.record.write(f"request {request_id} sent to {instance.name}")
        answer = None
        try:
            answer = await request_once(instance.listen["front"], f"{method} {path} HTTP/1.1", fields, body,
                                        leave_after_s or limit_s)
            result = int(answer.first[1])
        except asyncio.TimeoutError:
            result = "left" if leave_after_s else "time limit"
        except (OSError, EOFError, asyncio.IncompleteReadError):
            result = "closed without an answer"
        self.record.write(f"request {request_id} ends for its client: {result}")
        return request_id, result, answer

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        for endpoint in self.endpoints:
            endpoint.server.stop()
        self.store.stop()
        self.record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder)
        else:
            print("kept", self.folder)


def main(case, folder, bounds):
    """Runs `case(world, trouble)`, which returns whether the rule held, and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder, bounds)
        try:
            return await asyncio.wait_for(case(world, trouble), 115)
        finally:
            await world.stop()

    try:
        held = asyncio.run(run())
    except Exception as error:  # The case could not run.
        print(f"could not run: {type(error).__name__}: {error}", flush=True)
        raise SystemExit(2) from error
    print("the rule held" if held else "the rule was broken", flush=True)
    raise SystemExit(0 if held else 1)
