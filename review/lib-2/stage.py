"""A small deployment on loopback for the scripts of the second review.

The entry instances are the project's own program, started with the command and the settings template of
deploy/system.toml. The store and the endpoints are the project's stand-ins in tests/platform.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform"))

from endpoint_standin import Endpoint  # noqa: E402
from http_wire import encode_message  # noqa: E402
from store_standin import Store  # noqa: E402

HOST = "shop.example"
ZONES = ["zone-a", "zone-b", "zone-c"]
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.5
GRACE_S = 6
# Longest time of a case.
LIMIT_S = 115
PROCESSES = []
# The bounds of the sites/ deployments.
BOUNDS = {"graceS": GRACE_S, "retryBudgetRatio": 0.2, "retryBudgetSlack": 64}


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes what happened to record.txt, with the seconds since the start of the case."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self._start:9.3f} s  {text}\n")
        self._file.flush()


def free_port(address):
    """A port that is free for TCP and UDP at the address."""
    for _ in range(50):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((address, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((address, port))
            except OSError:
                continue
            return port
    raise CannotRun(f"no free port at {address}")


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template, fields):
    """Fills in a settings template: sections, and values plain or as JSON (DEPLOY, settings of a process)."""

    def section(match):
        return match.group(2) if lookup(fields, match.group(1)) else ""

    def value(match):
        found = lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Instance:
    """One entry instance on a loopback address of its own."""

    def __init__(self, number, network):
        self.name, self.zone = f"front-{number}", ZONES[number % len(ZONES)]
        self.ip = f"{network}.{number + 1}"
        self.ports = {name: free_port(self.ip) for name in ("front", "ready", "control", "directory")}
        self.process, self.stopping, self.exits = None, False, []


class Deployment:
    """Store, endpoints and entry instances; restarts instances that end, as the platform does."""

    def __init__(self, record, instances=3, output=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        role = next(iter(tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()))
        self._command = shlex.split(role["run"])
        self._template = (ROOT / role["template"]).read_text()
        if not (ROOT / self._command[0]).exists():
            raise CannotRun(f"{self._command[0]} is not built")
        self.store, self.store_port = Store(), free_port("127.0.0.1")
        # A network of its own for each run: the template has a fixed port for the metrics.
        network = f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
        self.instances = [Instance(number, network) for number in range(instances)]
        self.endpoints, self.runs, self._tasks = [], [], []
        # Where an instance writes its log; None for a file.
        self._output = output or {}
        self.version = 0

    async def start(self, services, config):
        """Starts everything. `services` gives the number of endpoints of each service and their work in seconds."""
        await self.store.start(self.store_port)
        await self.write_config(config)
        for service, (count, work_s) in services.items():
            for number in range(count):
                await self._add_endpoint(service, number, work_s)
        for instance in self.instances:
            self.start_instance(instance)
        self._tasks = [asyncio.ensure_future(self._heartbeats()), asyncio.ensure_future(self._restarts())]
        await self._wait_ready()

    async def write_config(self, resources):
        self.version += 3
        config = {"version": f"{self.version:08x}", "resources": resources}
        await self.store.put("op/config", config)
        self.record.line(f"the store acknowledges config {self.version:08x}")

    async def _add_endpoint(self, service, number, work_s):
        port = free_port("127.0.0.1")
        endpoint = Endpoint(f"i-{service}-{number}", service, port, ZONES[number % len(ZONES)], self.runs, number,
                            slots=16)
        # The stand-in works 5 to 30 ms; a slowdown gives the mean that is asked for.
        endpoint.slowdown = work_s / 0.0175
        # As Endpoint.start(), but with room for request heads of the size that the config allows.
        server = endpoint._server
        server._server = await asyncio.start_server(server._serve, "127.0.0.1", port, limit=1 << 20)
        self.endpoints.append(endpoint)
        await self.store.put(f"servers/{endpoint.name}", endpoint.registration())

    async def _heartbeats(self):
        sequence = 1
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            sequence += 1
            for endpoint in self.endpoints:
                await self.store.put(f"servers/{endpoint.name}", endpoint.registration(sequence))

    def _settings(self, instance):
        def address(port):
            return f"{instance.ip}:{instance.ports[port]}"

        fields = {"nodeName": instance.name, "region": "region", "zone": instance.zone, "ip": instance.ip,
                  "listen": {name: address(name) for name in instance.ports},
                  "seeds": [f"{other.ip}:{other.ports['control']}" for other in self.instances[:3]],
                  "provider": {"address": f"127.0.0.1:{self.store_port}"}, "bounds": BOUNDS}
        path = self.folder / f"{instance.name}.toml"
        path.write_text(render(self._template, fields))
        return path

    def start_instance(self, instance):
        settings = self._settings(instance)
        command = [str(settings) if word.startswith("/etc/") else word for word in self._command]
        output = self._output.get(instance.name) or open(self.folder / f"{instance.name}.log", "ab")
        instance.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=output, stderr=output,
                                            env={"PATH": os.environ["PATH"]})
        PROCESSES.append(instance.process)
        instance.stopping = False
        self.record.line(f"{instance.name} starts")

    def terminate(self, instance):
        instance.stopping = True
        instance.process.send_signal(signal.SIGTERM)
        self.record.line(f"{instance.name} gets SIGTERM")

    async def _restarts(self):
        while True:
            await asyncio.sleep(0.05)
            for instance in self.instances:
                code = instance.process.poll()
                if code is None:
                    continue
                instance.exits.append((code, instance.stopping))
                self.record.line(f"{instance.name} ended {'as asked' if instance.stopping else 'by itself'}: {code}")
                await asyncio.sleep(RESTART_DELAY_S)
                self.start_instance(instance)

    @staticmethod
    def is_ready(instance):
        try:
            url = f"http://{instance.ip}:{instance.ports['ready']}/-/ready"
            with urllib.request.urlopen(url, timeout=1.0) as reply:
                return reply.status == 200
        except OSError:
            return False

    async def _wait_ready(self):
        end = time.monotonic() + 20
        loop = asyncio.get_running_loop()
        for instance in self.instances:
            while not await loop.run_in_executor(None, self.is_ready, instance):
                if time.monotonic() > end:
                    raise CannotRun(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)
        # From here on all instances are in touch: stabilityS is 3 s.
        await asyncio.sleep(4.0)

    def stop(self):
        for task in self._tasks:
            task.cancel()
        end_processes()
        self.store.stop()
        for endpoint in self.endpoints:
            endpoint.crash()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind, timeout_s):
    return {"entryKind": "routes", "metadata": {"name": name},
            "spec": {"host": HOST, "prefix": prefix, "service": service, "type": kind, "timeoutS": timeout_s,
                     "targetLatencyS": 0.5, "priority": 0, "maxAttempts": 2}}


def service_entry(name):
    return {"entryKind": "services", "metadata": {"name": name}, "spec": {"healthPath": "/health", "maxConns": 260}}


def limits(max_header_bytes=16384):
    return {"entryKind": "limits", "metadata": {"name": "limits"},
            "spec": {"maxHeaderBytes": max_header_bytes, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
                     "idleTimeoutS": 15}}


def request_bytes(method, path, request_id, deadline_ms, body=b"", more=None):
    fields = {"Host": HOST, "Sassafraspath-Request-Id": request_id, "Sassafraspath-Deadline-Ms": deadline_ms}
    if body:
        fields["Content-Length"] = len(body)
    fields.update(more or {})
    return encode_message(f"{method} {path} HTTP/1.1", fields, body)


def end_processes():
    for process in PROCESSES:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


def give_up():
    """Ends a case that hangs, with all that it started."""
    end_processes()
    os._exit(2)


def main(case):
    """Runs the case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = pathlib.Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line(f"TROUBLE={int(trouble)}")
    watchdog = threading.Timer(LIMIT_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    # The loop is not closed: its shutdown would wait for watches of the store that cannot be cancelled cleanly.
    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(case(record, trouble))
        code = 1 if broken else 0
        record.line("the rule was broken" if broken else "the rule held")
    except Exception as error:  # Whatever prevents the case from running is reported as such.
        record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = 2
    end_processes()
    sys.stdout.flush()
    os._exit(code)
