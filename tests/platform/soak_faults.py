"""Faults that the soak injects from outside the processes. Each one heals what it broke before it returns."""
import asyncio
import signal
import time

GRACE_S = 6.0


async def kill(fleet, rng):
    """A process dies and is started again."""
    entry = rng.choice(fleet.entries)
    if entry.process.poll() is not None:
        return
    entry.note(time.monotonic())
    entry.process.kill()
    entry.process.wait()
    await asyncio.sleep(rng.uniform(0.1, 2.0))
    fleet.start_entry(entry)
    entry.disturbed[-1][1] = time.monotonic() + 1.0


async def kill_all(fleet, rng):
    """All processes die at the same moment."""
    for entry in fleet.entries:
        if entry.process.poll() is None:
            entry.note(time.monotonic())
            entry.process.kill()
            entry.process.wait()
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    for entry in fleet.entries:
        if entry.process.poll() is not None:
            fleet.start_entry(entry)
        entry.disturbed[-1][1] = time.monotonic() + 1.0


async def freeze(fleet, rng):
    """A process stands still for a while."""
    entry = rng.choice(fleet.entries)
    entry.note(time.monotonic())
    entry.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.3, 5.0))
    entry.process.send_signal(signal.SIGCONT)
    entry.disturbed[-1][1] = time.monotonic() + 1.0


async def planned_stop(fleet, rng):
    """A process is asked to stop, at times twice, ends by itself in time, and is started again."""
    entry = rng.choice(fleet.entries)
    if entry.process.poll() is not None or entry.stopping is not None:
        return
    entry.stopping = time.monotonic()
    process = entry.process
    process.send_signal(signal.SIGTERM)
    if rng.random() < 0.4:
        await asyncio.sleep(rng.uniform(0.05, 1.0))
        process.send_signal(signal.SIGTERM)
    while process.poll() is None and time.monotonic() < entry.stopping + GRACE_S:
        await asyncio.sleep(0.02)
    took = time.monotonic() - entry.stopping
    undisturbed = entry.was_calm(entry.stopping, time.monotonic())
    if process.poll() is None:
        process.kill()
        process.wait()
    if undisturbed and (process.returncode != 0 or took >= GRACE_S):
        fleet.findings.append(f"{entry.name}: planned stop ended with {process.returncode} after {took:.1f} s")
    entry.note(time.monotonic())
    fleet.start_entry(entry)
    entry.disturbed[-1][1] = time.monotonic() + 1.0
    entry.stopping = None


async def reload(fleet, rng):
    """The settings file changes, with a signal, without one, or into something that cannot be read."""
    entry = rng.choice(fleet.entries)
    for _ in range(rng.randrange(1, 4)):
        extra = rng.choice(["", 'connect_timeout = "300ms"\n', "no such syntax\n"])
        fleet.write_settings(entry, extra)
        if rng.random() < 0.7 and entry.process.poll() is None:
            entry.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0.0, 0.5))
    fleet.write_settings(entry)


async def _store_mode(fleet, rng, entries, mode):
    since = time.monotonic()
    everywhere = len(entries) == len(fleet.entries)
    if everywhere:
        fleet.store_disturbed.append([since, float("inf")])
    for entry in entries:
        entry.store.mode = mode
        if not everywhere:
            entry.note(since)
    await asyncio.sleep(rng.uniform(0.5, 6.0))
    for entry in entries:
        entry.store.mode = "pass"
        if not everywhere:
            entry.disturbed[-1][1] = time.monotonic()
    if everywhere:
        fleet.store_disturbed[-1][1] = time.monotonic()


async def store_away(fleet, rng):
    """Nobody reaches the store."""
    await _store_mode(fleet, rng, list(fleet.entries), rng.choice(["refuse", "silent", "deaf"]))


async def store_turns_away(fleet, rng):
    """Some instances do not reach the store; they count as undisturbed: their peers tell them what changes."""
    entries = rng.sample(fleet.entries, max(1, len(fleet.entries) // 3))
    modes = {entry: rng.choice(["refuse", "silent"]) for entry in entries}
    for entry, mode in modes.items():
        entry.store.mode = mode
    await asyncio.sleep(rng.uniform(0.5, 5.0))
    for entry in entries:
        entry.store.mode = "pass"


async def store_slow(fleet, rng):
    fleet.store_disturbed.append([time.monotonic(), float("inf")])
    for entry in fleet.entries:
        entry.store.delay = rng.uniform(0.05, 0.4)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for entry in fleet.entries:
        entry.store.delay = 0.0
    fleet.store_disturbed[-1][1] = time.monotonic()


async def store_forgets(fleet, rng):
    """The history is dropped, and the connections that waited for changes are cut."""
    fleet.store.forget()
    for entry in fleet.entries:
        entry.store.reset_all()


async def config_change(fleet, rng):
    for _ in range(rng.choice([1, 1, 4])):
        await fleet.move_route(rng.choice(["shop", "orders"]))
        await asyncio.sleep(0.3)


async def endpoint_leaves(fleet, rng):
    """An endpoint drains and ends; another one starts, at times at its address and for another service."""
    endpoint = rng.choice(list(fleet.endpoints.values()))
    if endpoint.draining:
        return
    reuse = rng.random() < 0.4
    if rng.random() < 0.8:
        await fleet.drain(endpoint)
        await asyncio.sleep(rng.uniform(2.2, 4.0))
    if endpoint.name in fleet.endpoints:
        await fleet.end(endpoint)
    await asyncio.sleep(2.1)
    await fleet.add_endpoint(endpoint.service, endpoint.zone)
    if reuse:
        other = await fleet.add_endpoint(rng.choice(["shop", "orders"]), endpoint.zone, endpoint.port)
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        await fleet.drain(other)
        await asyncio.sleep(2.5)
        await fleet.end(other)


async def endpoint_crashes(fleet, rng):
    """An endpoint dies; its entry stays for a while; it comes back under its name, as a new lifetime."""
    endpoint = rng.choice(list(fleet.endpoints.values()))
    if endpoint.draining or endpoint.name not in fleet.proxies:
        return
    proxy = fleet.proxies[endpoint.name]
    endpoint.crash()
    proxy.mode = "refuse"
    proxy.reset_all()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    again = type(endpoint)(endpoint.name, endpoint.service, proxy.target_port, endpoint.zone, fleet.runs, rng.random())
    await again.start()
    again.port = endpoint.port
    if endpoint.name in fleet.endpoints:
        fleet.endpoints[endpoint.name] = again
        await fleet.store.put(f"servers/{again.name}", again.entry())
    proxy.mode = "pass"


async def endpoint_misbehaves(fleet, rng):
    """An endpoint is slow, loses answers, spoils them, or is cut off; at times several do so."""
    for endpoint in rng.sample(list(fleet.endpoints.values()), 2):
        proxy = fleet.proxies[endpoint.name]
        what = rng.choice(["slow", "lose", "garble", "proxy", "delay"])
        if what == "slow":
            endpoint.slow = rng.uniform(3, 12)
        if what == "lose":
            endpoint.lose = rng.uniform(0.1, 0.6)
        if what == "garble":
            endpoint.garble = rng.choice(["extra", "broken", "noise"])
        if what == "proxy":
            proxy.mode = rng.choice(["refuse", "silent", "deaf"])
        if what == "delay":
            proxy.delay = rng.uniform(0.01, 0.1)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for name, endpoint in fleet.endpoints.items():
        endpoint.slow, endpoint.lose, endpoint.garble = 1.0, 0.0, ""
        fleet.proxies[name].delay = 0.0
        if fleet.proxies[name].mode in ("silent", "deaf"):
            fleet.proxies[name].mode = "pass"
        if fleet.proxies[name].mode == "refuse" and endpoint.is_up():
            fleet.proxies[name].mode = "pass"


async def damaged_entries(fleet, rng):
    """Somebody else writes entries that name no endpoint."""
    for number, value in enumerate([b"\xff\x00", b"[]", {"service": "shop"}, {"service": 5, "address": "x"},
                                    {**next(iter(fleet.endpoints.values())).entry(), "state": "odd"}]):
        await fleet.store.put(f"servers/foreign-{number}", value)
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    for number in range(5):
        await fleet.store.delete(f"servers/foreign-{number}")


ALL = [kill, kill_all, freeze, planned_stop, planned_stop, reload, store_away, store_turns_away, store_slow,
       store_forgets, config_change, config_change, endpoint_leaves, endpoint_leaves, endpoint_crashes,
       endpoint_misbehaves, endpoint_misbehaves, damaged_entries]
