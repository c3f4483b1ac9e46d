"""A small installation on loopback for the review's scripts.

It starts the entry instances with the command and the settings template of the deploy folder, beside a stand-in of the
platform's store and stand-ins of endpoints. All addresses are loopback addresses and all ports are free ones.
"""
import asyncio
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform"))

from store_standin import Store  # noqa: E402  (the project's own stand-in of the platform's store)

HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
# The bounds of the small deployment kv-gateway.
BOUNDS = {"graceS": "6", "retryBudgetRatio": "0.2", "retryBudgetSlack": "62"}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}
# Statuses that promise that the request has not run and never will.
PROMISE_STATUSES = (408, 421, 429, 503)
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def trouble_is_on():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """Ports that are free for TCP and UDP now."""
    ports, sockets = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((HOST, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(type=socket.SOCK_DGRAM)
        try:
            udp.bind((HOST, port))
        except OSError:
            tcp.close()
            udp.close()
            continue
        sockets += [tcp, udp]
        ports.append(port)
    for opened in sockets:
        opened.close()
    return ports


def render(template, fields):
    """Fills in the placeholders and sections that the project's settings template uses."""
    def section(match):
        return match.group(2) if match.group(1) in fields else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(?:\|json)?\}\}", lambda match: fields[match.group(1)], text)


class Message:
    """The head of a request or response; header names are in lower case, repeated headers are joined by commas."""

    def __init__(self, head):
        lines = head.decode("latin-1").split("\r\n")
        self.start_line = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                name = name.strip().lower()
                known = self.headers.get(name)
                self.headers[name] = value.strip() if known is None else f"{known}, {value.strip()}"

    @property
    def status(self):
        return int(self.start_line[1])

    def is_chunked(self):
        return self.headers.get("transfer-encoding", "").lower().split(",")[-1].strip() == "chunked"


async def read_head(reader):
    return Message((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_body(reader, head):
    """Reads a body as RFC 9112 says: a final coding "chunked" goes before a length."""
    if not head.is_chunked():
        return await reader.readexactly(int(head.headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0].strip(), 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def encode_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"] + [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """Writes record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text):
        if self._file.closed:
            return
        self._file.write(f"{time.monotonic() - self._start:9.3f} {text}\n")

    def close(self, text):
        self.line(text)
        self._file.close()
        print(text)


class Endpoint:
    """An endpoint: `capacity` requests run at a time, `queue` more wait, others are rejected.

    If its service tells its load, the health check is answered at once; otherwise it waits for a slot or is rejected
    like any request.
    """

    def __init__(self, lab, service, number, capacity=3, queue=12, work_s=0.05, tells_load=True):
        self.lab, self.service, self.name = lab, service, f"i-{service}-{number:02x}"
        self.capacity, self.queue, self.work_s, self.tells_load = capacity, queue, work_s, tells_load
        self.port, self._server, self._writers = 0, None, set()
        self._slots, self._running, self._waiting = asyncio.Semaphore(capacity), 0, 0
        self.born = int(time.time() * 1000)

    async def start(self):
        self._server = await asyncio.start_server(self._accept, HOST, 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def registration(self, sequence):
        return {"service": self.service, "address": f"{HOST}:{self.port}", "zone": "zone-a", "version": "v1",
                "capacity": self.capacity, "state": "ready", "warmupLeftS": 0, "sequence": sequence, "born": self.born}

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            self.lab.record.line(f"{self.name}: connection ended: {type(error).__name__}")
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            body = await read_body(reader, head)
            await self.before_answer(head, writer)
            answer = await self.answer(head, body)
            writer.write(answer)
            await writer.drain()
            self.after_answer(head, answer, writer)

    async def before_answer(self, head, writer):
        """Called when a request has been read."""

    def after_answer(self, head, answer, writer):
        """Called when the answer has been sent."""

    def echo(self, head):
        """The headers that all answers to this request have."""
        request_id = head.headers.get("sassafraspath-request-id")
        headers = {} if request_id is None else {"Sassafraspath-Request-Id": request_id}
        if self.tells_load:
            headers["Sassafraspath-Server-Load"] = f"{self._running},{self._waiting},{self.capacity}"
        return headers

    async def answer(self, head, body):
        is_health_check = head.start_line[1] == "/health"
        if head.headers.get("sassafraspath-expect-instance", self.name) != self.name:
            return encode_answer(421, {"Sassafraspath-Instance-Id": self.name, **self.echo(head)})
        if is_health_check and self.tells_load:
            return encode_answer(200, {"Sassafraspath-Instance-Id": self.name, **self.echo(head)})
        if self._waiting >= self.queue and self._slots.locked():
            return self.reject(head)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            if is_health_check:
                await asyncio.sleep(0.006)
                return encode_answer(200, {"Sassafraspath-Instance-Id": self.name, **self.echo(head)})
            return await self.run(head, body)
        finally:
            self._running -= 1
            self._slots.release()

    def reject(self, head):
        return encode_answer(503, {"Sassafraspath-Not-Executed": "1", "Sassafraspath-Instance-Id": self.name,
                                   **self.echo(head)})

    async def run(self, head, body):
        request_id = head.headers.get("sassafraspath-request-id", "-")
        self.lab.note_run(request_id, self, head, body)
        await asyncio.sleep(self.work_s)
        return encode_answer(200, {**self.echo(head), "Sassafraspath-Response-Seal": f"{self.name}.{request_id}"},
                             f"done {request_id}".encode())


def config_of(version, routes, services):
    """The operator's config, as it lies in the store; `routes` maps names of routes to their specs."""
    resources = [{"entryKind": "routes", "metadata": {"name": name}, "spec": spec} for name, spec in routes.items()]
    resources += [{"entryKind": "services", "metadata": {"name": name},
                   "spec": {"healthPath": "/health", "maxConns": 260, "protocol": "h1", "tls": False}}
                  for name in services]
    resources.append({"entryKind": "limits", "metadata": {}, "spec": LIMITS})
    return {"version": version, "resources": resources}


class PortTaken(Exception):
    """An instance ended while it started: another process has taken one of its ports."""


class Lab:
    """Store, endpoints and entry instances; `endpoints` are started with it."""

    def __init__(self, folder, entries=3):
        self.record = Record(folder)
        self.directory = tempfile.TemporaryDirectory(prefix="review-")
        self.entry_count, self.processes, self.logs = entries, [], []
        self.store, self.endpoints, self._tasks = Store(), [], []
        # Ids of requests that ran: id -> list of (seconds, endpoint, method, path, body).
        self.runs = {}
        self.front_ports = []

    def note_run(self, request_id, endpoint, head, body):
        self.runs.setdefault(request_id, []).append((time.monotonic(), endpoint, head.start_line[0],
                                                     head.start_line[1], body))
        self.record.line(f"run      {request_id} at {endpoint.name}: {head.start_line[0]} {head.start_line[1]}, "
                         f"{len(body)} bytes")

    async def start(self, config):
        """Starts everything; `config` is the operator's first config."""
        store_port = await self._start_store()
        for endpoint in self.endpoints:
            await endpoint.start()
        await self.store.put("op/config", config)
        await self._beat(1)
        self._tasks.append(asyncio.ensure_future(self._keep_beating()))
        for attempts_left in (2, 1, 0):
            try:
                await self._start_entries(store_port)
                return
            except PortTaken:
                self._kill_entries()
                if attempts_left == 0:
                    raise

    async def _start_store(self):
        while True:
            port = free_ports(1)[0]
            try:
                await self.store.start(port)
                return port
            except OSError:
                continue  # Taken by another process in the meantime.

    async def _start_entries(self, store_port):
        ports = free_ports(5 * self.entry_count)
        self.front_ports = [ports[5 * number] for number in range(self.entry_count)]
        seeds = "[" + ",".join(f'"{HOST}:{ports[5 * i + 4]}"' for i in range(min(3, self.entry_count))) + "]"
        for number in range(self.entry_count):
            self._start_entry(number, ports[5 * number:5 * number + 5], store_port, seeds)
        await asyncio.gather(*(self._wait_ready(self.processes[i], ports[5 * i + 1]) for i in range(self.entry_count)))

    async def _beat(self, sequence):
        for endpoint in self.endpoints:
            await self.store.put(f"servers/{endpoint.name}", endpoint.registration(sequence))

    async def _keep_beating(self):
        sequence = 1
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            sequence += 1
            await self._beat(sequence)

    def _start_entry(self, number, ports, store_port, seeds):
        front, ready, directory, metrics, control = ports
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["entry"]
        fields = {"nodeName": f"front-{number}", "region": "region-a", "zone": "zone-a", "ip": HOST,
                  "listen.front": f"{HOST}:{front}", "listen.ready": f"{HOST}:{ready}",
                  "listen.directory": f"{HOST}:{directory}", "listen.control": f"{HOST}:{control}", "seeds": seeds,
                  "provider.address": f"{HOST}:{store_port}",
                  **{f"bounds.{name}": value for name, value in BOUNDS.items()}}
        # The metrics port is fixed in the template, and all instances share one address here.
        template = (ROOT / role["template"]).read_text(encoding="utf-8").replace("{{ip}}:9464", f"{HOST}:{metrics}")
        settings = pathlib.Path(self.directory.name) / f"front-{number}.toml"
        settings.write_text(render(template, fields), encoding="utf-8")
        program, *arguments = role["run"].split(" ")
        command = [str(ROOT / program)] + [str(settings) if part.endswith("node.toml") else part for part in arguments]
        log = open(pathlib.Path(self.directory.name) / f"front-{number}.log", "wb")
        self.logs.append(log)
        self.processes.append(subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log))

    async def _wait_ready(self, process, port, timeout_s=15.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if process.poll() is not None:
                raise PortTaken()
            try:
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1.0)
                writer.close()
                if head.status == 200:
                    return
            except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("an entry instance did not become ready")

    def _kill_entries(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for log in self.logs:
            log.close()
        self.processes, self.logs = [], []

    def stop(self):
        for task in self._tasks:
            task.cancel()
        self._kill_entries()
        for endpoint in self.endpoints:
            endpoint.stop()
        self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            for path in pathlib.Path(self.directory.name).glob("*.log"):
                (pathlib.Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
        self.directory.cleanup()


class Answer:
    """What a client got for one request: a status, or None if the connection ended without a whole answer."""

    def __init__(self, status, headers, body, error=""):
        self.status, self.headers, self.body, self.error = status, headers, body, error


def main(folder, play):
    """Runs `play(record folder)`, which returns (rule was kept, text), and exits with the result."""
    async def run():
        task = asyncio.ensure_future(asyncio.wait_for(play(pathlib.Path(folder)), 115))
        # An interrupted run ends its processes, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        kept, text = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # The case could not be run.
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(EXIT_NOT_RUN)
    print(text)
    sys.exit(EXIT_HELD if kept else EXIT_BROKEN)
