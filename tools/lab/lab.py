"""Starts a small fleet of stand-ins and entry instances on loopback for the demo, tests and experiments.

This module starts every process and ends it by its pid. Ports stay below 32768, where the ephemeral
ports begin, which the system assigns to outgoing connections.
"""
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import make_lists

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("SASSAFRAS_BUILD", ROOT / "build"))
START_TIMEOUT_S = 20.0


def http_get(address, path, timeout=2.0):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=timeout) as reply:
        return reply.read().decode()


def http_post(address, path, body):
    data = json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method="POST")
    with urllib.request.urlopen(request, timeout=5.0) as reply:
        return reply.read().decode()


def wait_for(condition, description, timeout_s=START_TIMEOUT_S):
    """Polls until condition() is true. The timeout only turns a hang into a failure."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting for: {description}")


def seed_of(address):
    """The seed of the upstream at `address`; the same in every run."""
    return zlib.crc32(address.encode()) % 1000


class Upstream:
    def __init__(self, name, service, address, failure_domain, slots):
        self.name, self.service, self.address, self.failure_domain, self.slots = name, service, address, failure_domain, slots
        self.process = None


class Entry:
    def __init__(self, name, address, peer_address, failure_domain):
        self.name, self.address, self.peer_address, self.failure_domain = name, address, peer_address, failure_domain
        self.process = None


class Lab:
    """A fleet: a platform stand-in and one process for each upstream and each entry instance."""

    def __init__(self, lists="demo", entries=3, base_port=20000, settings="", upstream_args=(), address_ttl="1s",
                 directory_lag_ms=1000, queue=64):
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="sassafras-"))
        self.base_port = base_port
        self.settings = settings
        self.upstream_args = list(upstream_args)
        self.address_ttl = address_ttl
        self.directory_lag_ms = directory_lag_ms
        self.queue = queue
        self.platform_address = f"127.0.0.1:{base_port}"
        self.platform = None
        self.processes = []
        self.lists_name = lists
        self.entries = [Entry(f"entry-{i + 1}", f"127.0.0.1:{base_port + 100 + i}", f"127.0.0.1:{base_port + 300 + i}",
                              make_lists.FAILURE_DOMAINS[i % 3]) for i in range(entries)]
        self.upstreams = self._create_upstreams()
        self.lists_dir = self.dir / "lists"

    def _create_upstreams(self):
        slots, services = make_lists.SERVICES[self.lists_name]
        upstreams, port = [], self.base_port + 500
        for service, count in services:
            for number in range(count):
                upstreams.append(Upstream(f"{service}-{number + 1}", service, f"127.0.0.1:{port}",
                                          make_lists.FAILURE_DOMAINS[number % 3], slots))
                port += 1
        return upstreams

    def spawn(self, name, *command):
        log = open(self.dir / f"{name}.log", "ab")
        process = subprocess.Popen([str(part) for part in command], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def start_platform(self):
        self.platform = self.spawn("platform", BUILD / "platform_standin", "--listen", self.platform_address,
                                   "--directory-lag-ms", self.directory_lag_ms)
        wait_for(lambda: http_get(self.platform_address, "/standin/calls"), "platform stand-in")

    def start_upstream(self, upstream, *extra):
        upstream.process = self.spawn(
            upstream.name, BUILD / "upstream_standin", "--name", upstream.name, "--listen", upstream.address, "--slots",
            upstream.slots, "--queue", self.queue, "--log", self.dir / f"{upstream.name}.runs", "--seed",
            seed_of(upstream.address), *self.upstream_args, *extra)
        self.register_upstream(upstream, "live")

    def register_upstream(self, upstream, state):
        http_post(self.platform_address, "/standin/instances",
             {"kind": "upstream", "name": upstream.name, "address": upstream.address, "state": state})

    def register_entry(self, entry, state):
        http_post(self.platform_address, "/standin/instances",
             {"kind": "entry", "name": entry.name, "address": entry.address, "peer_address": entry.peer_address,
              "failure_domain": entry.failure_domain, "state": state})

    def write_settings(self, entry, extra=""):
        path = self.dir / f"{entry.name}.toml"
        path.write_text(f'instance = "{entry.name}"\nfailure_domain = "{entry.failure_domain}"\nlisten = "{entry.address}"\n'
                        f'peer_listen = "{entry.peer_address}"\nplatform = ["{self.platform_address}"]\n'
                        f'address_ttl = "{self.address_ttl}"\n{self.settings}{extra}')
        return path

    def start_entry(self, entry, extra="", register=True):
        entry.process = self.spawn(entry.name, BUILD / "sassafrasd", "--settings", self.write_settings(entry, extra))
        if register:
            self.register_entry(entry, "live")

    def ctl(self, *arguments, check=True):
        command = [str(BUILD / "sassafrasctl"), "--platform", self.platform_address, "--dir", str(self.lists_dir),
                   "--author", "lab", *[str(argument) for argument in arguments]]
        result = subprocess.run(command, capture_output=True, text=True)
        if check and result.returncode != 0:
            raise AssertionError(f"{command}: exit {result.returncode}\n{result.stdout}{result.stderr}")
        return result

    def status(self, entry):
        return json.loads(http_get(entry.address, "/sassafras/status"))

    def counters(self, entry):
        lines = http_get(entry.address, "/sassafras/counters").splitlines()
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in lines}

    def start(self):
        self.start_platform()
        sys.argv = ["make_lists", str(self.lists_dir), self.lists_name, str(self.base_port + 500)]
        make_lists.main()
        for upstream in self.upstreams:
            self.start_upstream(upstream)
        self.ctl("apply", "--wait", 0)
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            wait_for(lambda entry=entry: self.status(entry)["phase"] == "serving", f"{entry.name} serving")
        wait_for(lambda: all(self.status(entry)["peers"] == len(self.entries) for entry in self.entries),
                 "instances to know each other")

    def start_caller(self, *flows, seconds=5, extra=(), name="caller"):
        """Starts the caller tool and returns its process. After it has ended, result() returns its result."""
        entries = []
        for entry in self.entries:
            entries += ["--entry", entry.address]
        arguments = [BUILD / "caller", *entries, "--seconds", seconds, "--output", self.dir / f"{name}.json", "--log",
                     self.dir / f"{name}.calls"]
        for flow in flows:
            arguments += ["--flow", flow]
        return self.spawn(name, *arguments, *extra)

    def result(self, name="caller"):
        return json.loads((self.dir / f"{name}.json").read_text())

    def run_log(self):
        """Sorted lines of the run logs of all upstreams: (microseconds, kind, request id, upstream name)."""
        lines = []
        for upstream in self.upstreams:
            path = self.dir / f"{upstream.name}.runs"
            if not path.exists():
                continue
            for line in path.read_text().splitlines():
                parts = line.split(" ")
                lines.append((int(parts[0]), parts[1], parts[2], upstream.name))
        return sorted(lines)

    def call_log(self, name="caller"):
        """Lines of a caller's log: (flow, request id, outcome)."""
        return [tuple(line.split(" ")) for line in (self.dir / f"{name}.calls").read_text().splitlines()]

    def resource_usage(self, process):
        """Resident memory in bytes and processor time in seconds of a process."""
        fields = (pathlib.Path("/proc") / str(process.pid) / "stat").read_text().rsplit(")", 1)[1].split()
        ticks = os.sysconf("SC_CLK_TCK")
        return int(fields[21]) * os.sysconf("SC_PAGE_SIZE"), (int(fields[11]) + int(fields[12])) / ticks

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, kind, *_):
        self.stop()
        # Keep the logs of a failed test.
        if kind is None:
            shutil.rmtree(self.dir)
