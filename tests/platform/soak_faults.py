"""Faults that the soak injects from outside the processes. Each one is undone before its function returns."""
import asyncio
import signal
import time

# Equals kill_after in the settings that Fleet writes.
STOP_GRACE_S = 6.0


async def kill(fleet, rng):
    """A process is killed and restarted."""
    entry = rng.choice(fleet.entries)
    if entry.process.poll() is not None:
        return
    entry.note_disturbance(time.monotonic())
    entry.process.kill()
    entry.process.wait()
    await asyncio.sleep(rng.uniform(0.1, 2.0))
    fleet.start_entry(entry)
    entry.disturbances[-1][1] = time.monotonic() + 1.0


async def kill_all(fleet, rng):
    """All processes are killed at the same time and restarted."""
    for entry in fleet.entries:
        if entry.process.poll() is None:
            entry.note_disturbance(time.monotonic())
            entry.process.kill()
            entry.process.wait()
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    for entry in fleet.entries:
        if entry.process.poll() is not None:
            fleet.start_entry(entry)
        entry.disturbances[-1][1] = time.monotonic() + 1.0


async def freeze(fleet, rng):
    """A process is suspended for 0.3 to 5 seconds."""
    entry = rng.choice(fleet.entries)
    entry.note_disturbance(time.monotonic())
    entry.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.3, 5.0))
    entry.process.send_signal(signal.SIGCONT)
    entry.disturbances[-1][1] = time.monotonic() + 1.0


async def planned_stop(fleet, rng):
    """A process gets SIGTERM, sometimes twice, must exit with 0 within STOP_GRACE_S, and is restarted."""
    entry = rng.choice(fleet.entries)
    if entry.process.poll() is not None or entry.stopping_since is not None:
        return
    entry.stopping_since = time.monotonic()
    process = entry.process
    process.send_signal(signal.SIGTERM)
    if rng.random() < 0.4:
        await asyncio.sleep(rng.uniform(0.05, 1.0))
        process.send_signal(signal.SIGTERM)
    while process.poll() is None and time.monotonic() < entry.stopping_since + STOP_GRACE_S:
        await asyncio.sleep(0.02)
    stop_duration_s = time.monotonic() - entry.stopping_since
    undisturbed = entry.was_undisturbed(entry.stopping_since, time.monotonic())
    if process.poll() is None:
        process.kill()
        process.wait()
    if undisturbed and (process.returncode != 0 or stop_duration_s >= STOP_GRACE_S):
        fleet.violations.append(
            f"{entry.name}: planned stop ended with {process.returncode} after {stop_duration_s:.1f} s")
    entry.note_disturbance(time.monotonic())
    fleet.start_entry(entry)
    entry.disturbances[-1][1] = time.monotonic() + 1.0
    entry.stopping_since = None


async def reload(fleet, rng):
    """The settings file changes, with or without SIGHUP, sometimes to invalid syntax."""
    entry = rng.choice(fleet.entries)
    for _ in range(rng.randrange(1, 4)):
        extra = rng.choice(["", 'connect_timeout = "300ms"\n', "no such syntax\n"])
        fleet.write_settings(entry, extra)
        if rng.random() < 0.7 and entry.process.poll() is None:
            entry.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0.0, 0.5))
    fleet.write_settings(entry)


async def _block_store(fleet, rng, entries, mode):
    since = time.monotonic()
    all_entries = len(entries) == len(fleet.entries)
    if all_entries:
        fleet.store_disturbances.append([since, float("inf")])
    for entry in entries:
        entry.store_proxy.mode = mode
        if not all_entries:
            entry.note_disturbance(since)
    await asyncio.sleep(rng.uniform(0.5, 6.0))
    for entry in entries:
        entry.store_proxy.mode = "pass"
        if not all_entries:
            entry.disturbances[-1][1] = time.monotonic()
    if all_entries:
        fleet.store_disturbances[-1][1] = time.monotonic()


async def store_away(fleet, rng):
    """No instance reaches the store."""
    await _block_store(fleet, rng, list(fleet.entries), rng.choice(["refuse", "silent", "requests_only"]))


async def store_turns_away(fleet, rng):
    """Some instances do not reach the store. They count as undisturbed, since their peers send them all changes."""
    entries = rng.sample(fleet.entries, max(1, len(fleet.entries) // 3))
    modes = {entry: rng.choice(["refuse", "silent"]) for entry in entries}
    for entry, mode in modes.items():
        entry.store_proxy.mode = mode
    await asyncio.sleep(rng.uniform(0.5, 5.0))
    for entry in entries:
        entry.store_proxy.mode = "pass"


# All traffic with the store is delayed.
async def store_slow(fleet, rng):
    fleet.store_disturbances.append([time.monotonic(), float("inf")])
    for entry in fleet.entries:
        entry.store_proxy.delay_s = rng.uniform(0.05, 0.4)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for entry in fleet.entries:
        entry.store_proxy.delay_s = 0.0
    fleet.store_disturbances[-1][1] = time.monotonic()


async def store_forgets(fleet, rng):
    """The store drops its history, and all connections to it are reset, so that watches have to start again."""
    fleet.store.compact()
    for entry in fleet.entries:
        entry.store_proxy.reset_all()


# The route "moving" is pointed to a random service, once or four times in a row.
async def config_change(fleet, rng):
    for _ in range(rng.choice([1, 1, 4])):
        await fleet.move_route(rng.choice(["shop", "orders"]))
        await asyncio.sleep(0.3)


async def endpoint_leaves(fleet, rng):
    """An endpoint leaves, usually drained first, and is replaced; its address is sometimes used by a further endpoint."""
    endpoint = rng.choice(list(fleet.endpoints.values()))
    if endpoint.draining:
        return
    reuse_address = rng.random() < 0.4
    if rng.random() < 0.8:
        await fleet.drain(endpoint)
        await asyncio.sleep(rng.uniform(2.2, 4.0))
    if endpoint.name in fleet.endpoints:
        await fleet.remove_endpoint(endpoint)
    await asyncio.sleep(2.1)
    await fleet.add_endpoint(endpoint.service, endpoint.zone)
    if reuse_address:
        replacement = await fleet.add_endpoint(rng.choice(["shop", "orders"]), endpoint.zone, endpoint.port)
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        await fleet.drain(replacement)
        await asyncio.sleep(2.5)
        await fleet.remove_endpoint(replacement)


async def endpoint_crashes(fleet, rng):
    """An endpoint crashes, its record stays in the store, and it comes back under its name as a new incarnation."""
    endpoint = rng.choice(list(fleet.endpoints.values()))
    if endpoint.draining or endpoint.name not in fleet.proxies:
        return
    proxy = fleet.proxies[endpoint.name]
    endpoint.crash()
    proxy.mode = "refuse"
    proxy.reset_all()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    restarted = type(endpoint)(endpoint.name, endpoint.service, proxy.target_port, endpoint.zone, fleet.runs,
                               rng.random())
    await restarted.start()
    restarted.port = endpoint.port
    if endpoint.name in fleet.endpoints:
        fleet.endpoints[endpoint.name] = restarted
        await fleet.store.put(f"servers/{restarted.name}", restarted.registration())
    proxy.mode = "pass"


async def endpoint_misbehaves(fleet, rng):
    """Two endpoints each get a fault: slow, dropping or damaging answers, or reached over a faulty network."""
    for endpoint in rng.sample(list(fleet.endpoints.values()), 2):
        proxy = fleet.proxies[endpoint.name]
        fault = rng.choice(["slow", "drop", "damage", "proxy", "delay"])
        if fault == "slow":
            endpoint.slowdown = rng.uniform(3, 12)
        if fault == "drop":
            endpoint.drop_probability = rng.uniform(0.1, 0.6)
        if fault == "damage":
            endpoint.damage = rng.choice(["extra", "broken", "noise"])
        if fault == "proxy":
            proxy.mode = rng.choice(["refuse", "silent", "requests_only"])
        if fault == "delay":
            proxy.delay_s = rng.uniform(0.01, 0.1)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for name, endpoint in fleet.endpoints.items():
        endpoint.slowdown, endpoint.drop_probability, endpoint.damage = 1.0, 0.0, ""
        fleet.proxies[name].delay_s = 0.0
        if fleet.proxies[name].mode in ("silent", "requests_only"):
            fleet.proxies[name].mode = "pass"
        if fleet.proxies[name].mode == "refuse" and endpoint.is_up():
            fleet.proxies[name].mode = "pass"


async def damaged_entries(fleet, rng):
    """Another writer stores records that do not describe a valid endpoint."""
    for number, value in enumerate([b"\xff\x00", b"[]", {"service": "shop"}, {"service": 5, "address": "x"},
                                    {**next(iter(fleet.endpoints.values())).registration(), "state": "odd"}]):
        await fleet.store.put(f"servers/foreign-{number}", value)
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    for number in range(5):
        await fleet.store.delete(f"servers/foreign-{number}")


# A fault listed twice is injected twice as often.
ALL_FAULTS = [kill, kill_all, freeze, planned_stop, planned_stop, reload, store_away, store_turns_away,
              store_slow, store_forgets, config_change, config_change, endpoint_leaves, endpoint_leaves,
              endpoint_crashes, endpoint_misbehaves, endpoint_misbehaves, damaged_entries]
