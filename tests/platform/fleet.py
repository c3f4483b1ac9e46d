"""A small installation on loopback: a store, endpoints, entry instances as processes, and proxies between them."""
import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

from endpoint_standin import Endpoint
from fault_proxy import FaultProxy
from store_standin import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("SASSAFRAS_BUILD", ROOT / "build"))
ZONES = ["a", "b"]
DRAIN_PROPAGATION_S, STOP_GRACE_S, HEARTBEAT_PERIOD_S = 2.0, 6.0, 1.5
SERVICES = {"shop": 4, "orders": 4}


class Route:
    """A route of the configuration; `service` is its current target."""

    def __init__(self, name, prefix, service, safe, time_limit_s):
        self.name, self.prefix, self.service, self.safe, self.time_limit_s = name, prefix, service, safe, time_limit_s
        # (time at which the store acknowledged the change, target service from then on)
        self.service_changes = [(time.monotonic(), service)]

    def resource(self):
        spec = {"host": "shop.example", "prefix": self.prefix, "service": self.service, "maxAttempts": 2,
                "timeoutS": self.time_limit_s, "targetLatencyS": 0.4, "priority": 0 if not self.safe else 1,
                "type": "safe" if self.safe else "unsafe"}
        return {"entryKind": "routes", "metadata": {"name": self.name}, "spec": spec}


class Entry:
    """An entry instance: its process, its proxy to the store, and the times at which faults were injected into it."""

    def __init__(self, number, base_port):
        self.name, self.zone = f"entry-{number}", ZONES[number % 2]
        self.port, self.page_port, self.peer_port, self.store_port = (base_port + 10 * number + i for i in range(4))
        self.process, self.store_proxy, self.disturbances, self.stopping_since = None, None, [], None

    def was_undisturbed(self, start, end):
        return all(until < start or since > end for since, until in self.disturbances)

    def note_disturbance(self, since, until=float("inf")):
        self.disturbances.append([since, until])


def find_free_base_port(seed, port_count):
    """First port of a range that appears free: first, middle and last port are tested.

    The range lies below the ephemeral ports, which the system assigns to outgoing connections.
    """
    ranges = list(range(20000, 32000, 500))
    start = seed % len(ranges)
    for base in ranges[start:] + ranges[:start]:
        try:
            for port in (base, base + port_count // 2, base + port_count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
    raise RuntimeError("no free port range found")


class Fleet:
    """Builds and runs the installation; faults are injected through its members."""

    def __init__(self, seed, entries=4, more_settings=""):
        self.more_settings = more_settings
        self.rng = random.Random(seed)
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="sassafras-"))
        self.base_port = find_free_base_port(seed, 400)
        self.store = Store()
        self.store_port = self.base_port + 300
        self.entries = [Entry(number, self.base_port) for number in range(entries)]
        self.endpoints, self.proxies, self.runs = {}, {}, []
        self.leaving_since, self.services_of = {}, {}
        self.routes = [Route("lookup", "/lookup/", "shop", True, 1.5), Route("order", "/order/", "orders", False, 2.0),
                       Route("moving", "/moving/", "shop", True, 1.5)]
        self.version, self._endpoints_created, self._tasks = 1, 0, []
        self.store_disturbances = []
        # Broken promises, and the injected faults with their times.
        self.violations, self.fault_log, self.started_at = [], [], time.monotonic()

    async def start(self):
        await self.store.start(self.store_port)
        await self.write_config()
        for service, count in SERVICES.items():
            for number in range(count):
                await self.add_endpoint(service, ZONES[number % 2])
        for entry in self.entries:
            entry.store_proxy = FaultProxy(self.store_port)
            await entry.store_proxy.start(entry.store_port)
            self.start_entry(entry)
        self._tasks.append(asyncio.ensure_future(self._send_heartbeats()))
        await self.wait_ready()

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            self._kill(entry)
        for component in [self.store, *self.proxies.values(),
                          *(entry.store_proxy for entry in self.entries if entry.store_proxy)]:
            component.stop()
        for endpoint in self.endpoints.values():
            endpoint.crash()

    def remove_logs(self):
        shutil.rmtree(self.dir)

    def _kill(self, entry):
        if entry.process is not None and entry.process.poll() is None:
            entry.process.send_signal(signal.SIGCONT)
            entry.process.kill()
            entry.process.wait()

    # Entry instances

    def write_settings(self, entry, extra=""):
        seeds = ", ".join(f'"127.0.0.1:{other.peer_port}"' for other in self.entries[:3])
        path = self.dir / f"{entry.name}.toml"
        path.write_text(f'instance = "{entry.name}"\nregion = "r"\nfailure_domain = "{entry.zone}"\n'
                        f'listen = "127.0.0.1:{entry.port}"\npage_listen = ["127.0.0.1:{entry.page_port}"]\n'
                        f'peer_listen = "127.0.0.1:{entry.peer_port}"\nseed_peers = [{seeds}]\nstore = "platform"\n'
                        f'platform = ["127.0.0.1:{entry.store_port}"]\naddress_ttl = "1s"\ngossip_period = "250ms"\n'
                        f'ask_first = "on"\nprobing = "off"\nkill_after = "{int(STOP_GRACE_S)}s"\n{extra}')
        return path

    def start_entry(self, entry):
        """Starts the instance, unless it runs because an overlapping fault has restarted it."""
        if entry.process is not None and entry.process.poll() is None:
            return
        log = open(self.dir / f"{entry.name}.log", "ab")
        settings = self.write_settings(entry, self.more_settings)
        entry.process = subprocess.Popen([BUILD / "sassafrasd", "--settings", settings], stdout=log, stderr=log,
                                         stdin=subprocess.DEVNULL)
        log.close()

    def directory_ports(self):
        return [entry.page_port for entry in self.entries]

    @staticmethod
    def is_ready(entry):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{entry.page_port}/-/ready", timeout=0.5) as reply:
                return reply.status == 200
        except OSError:
            return False

    async def wait_ready(self, timeout_s=20.0):
        """Waits until every instance is ready. The timeout only turns a hang into a failure."""
        end = time.monotonic() + timeout_s
        loop = asyncio.get_running_loop()
        for entry in self.entries:
            while not await loop.run_in_executor(None, self.is_ready, entry):
                if time.monotonic() > end:
                    raise AssertionError(f"{entry.name} did not become ready; logs: {self.dir}")
                await asyncio.sleep(0.05)

    # Endpoints

    async def add_endpoint(self, service, zone, port=None):
        self._endpoints_created += 1
        name = f"i-{self._endpoints_created:04x}"
        port_offset = self._endpoints_created % 80
        port = port or self.base_port + 301 + port_offset
        endpoint = Endpoint(name, service, self.base_port + 100 + port_offset, zone, self.runs, self.rng.random())
        await endpoint.start()
        proxy = FaultProxy(endpoint.port)
        await proxy.start(port)
        endpoint.port = port
        self.endpoints[name], self.proxies[name] = endpoint, proxy
        await self.store.put(f"servers/{name}", endpoint.registration())
        return endpoint

    async def _send_heartbeats(self):
        sequence = 1
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
            sequence += 1
            for name, endpoint in list(self.endpoints.items()):
                if f"servers/{name}" in self.store.items:
                    await self.store.put(f"servers/{name}", endpoint.registration(sequence))

    async def drain(self, endpoint):
        """The endpoint reports that it is draining; it still serves until remove_endpoint() is called."""
        endpoint.draining = True
        await self.store.put(f"servers/{endpoint.name}", endpoint.registration())
        self.leaving_since[endpoint.name] = time.monotonic()

    async def remove_endpoint(self, endpoint):
        endpoint.crash()
        self.proxies.pop(endpoint.name).stop()
        self.endpoints.pop(endpoint.name)
        await self.store.delete(f"servers/{endpoint.name}")
        self.leaving_since.setdefault(endpoint.name, time.monotonic())

    # Configuration

    async def write_config(self, more_resources=(), changed_specs=None):
        """Writes the routes, with the fields of their specs that `changed_specs` gives by name, and more resources."""
        self.version += self.rng.randrange(1, 4)
        services = [{"entryKind": "services", "metadata": {"name": name},
                     "spec": {"healthPath": "/health", "maxConns": 100}} for name in ("shop", "orders", "spare")]
        resources = [route.resource() for route in self.routes] + services + list(more_resources)
        for resource in resources:
            if isinstance(resource, dict) and "metadata" in resource:
                resource["spec"].update((changed_specs or {}).get(resource["metadata"]["name"], {}))
        await self.store.put("op/config", {"version": f"{self.version:08x}", "resources": resources})

    # Points the route "moving" to another service.
    async def move_route(self, service):
        route = self.routes[2]
        route.service = service
        await self.write_config()
        route.service_changes.append((time.monotonic(), service))
