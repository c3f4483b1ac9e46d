"""Entry instances on the users' platform: real processes against a stand-in of its store."""
import asyncio
import json
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "platform"))
import soak
import soak_faults
from callers import Callers
from fleet import Fleet
from promises import PromiseChecker, unserved_share


def run_under_load(seed, scenario, entries=3):
    """Runs `scenario(fleet)` under load and checks the promises; returns the fleet and the callers."""
    async def run():
        fleet = Fleet(seed, entries)
        try:
            await fleet.start()
            callers = Callers(fleet, seed)
            load = asyncio.ensure_future(callers.run())
            await asyncio.sleep(1.0)
            await scenario(fleet)
            await asyncio.sleep(3.0)
            callers.stop()
            await load
            fleet.violations += PromiseChecker(fleet, callers).find_violations()
        finally:
            await fleet.stop()
        assert not fleet.violations, (fleet.violations[:5], str(fleet.dir))
        fleet.remove_logs()
        return fleet, callers
    return asyncio.run(run())


def test_platform_calm_load_is_served():
    async def nothing(fleet):
        await asyncio.sleep(2.0)
    _, callers = run_under_load(1, nothing)
    share, count = unserved_share(callers.attempts, 0)
    assert count > 50 and share < 0.02, (share, count)


def test_platform_config_moves_a_route_everywhere():
    async def move(fleet):
        await fleet.move_route("orders")
        moved_at = time.monotonic()
        await asyncio.sleep(4.0)
        late = [run for run in fleet.runs if run.path.startswith("/moving/") and run.arrived_at > moved_at + 2.5]
        assert late and all(run.service == "orders" for run in late), len(late)
    run_under_load(2, move)


def test_platform_a_leaving_endpoint_gets_no_work():
    async def leave(fleet):
        endpoint = next(iter(fleet.endpoints.values()))
        await fleet.drain(endpoint)
        await asyncio.sleep(3.5)
        late = [run for run in fleet.runs if run.endpoint == endpoint.name
                and run.arrived_at > fleet.leaving_since[endpoint.name] + 2.4]
        assert not late, late[0].request_id
        await fleet.remove_endpoint(endpoint)
    run_under_load(3, leave)


# Guards against forgetting, at a change of any endpoint, that an answer said that its endpoint leaves.
def test_platform_an_endpoint_that_says_only_in_answers_that_it_leaves_gets_no_work():
    async def leave(fleet):
        endpoint = next(iter(fleet.endpoints.values()))
        endpoint.says_leaving = True
        leaving_since = time.monotonic()
        await asyncio.sleep(1.0)
        await fleet.add_endpoint("orders", "a")
        await asyncio.sleep(3.0)
        late = [run for run in fleet.runs if run.endpoint == endpoint.name and run.arrived_at > leaving_since + 3.4]
        assert not late, late[0].request_id
    run_under_load(8, leave)


# Guards against sending requests to an endpoint that asked for none for a while.
def test_platform_endpoints_that_hold_off_requests_get_next_to_none():
    async def hold_off(fleet):
        held_off = [endpoint for endpoint in fleet.endpoints.values() if endpoint.service == "shop"]
        for endpoint in held_off:
            endpoint.hold_off_s = 2.0
        await asyncio.sleep(5.0)
        assert all(endpoint.refusals for endpoint in held_off)
        for endpoint in held_off:
            endpoint.hold_off_s = 0.0
        runs_before = len(fleet.runs)
        await asyncio.sleep(3.0)
        assert any(run.service == "shop" for run in fleet.runs[runs_before:])
    run_under_load(9, hold_off)


# Guards against entries of another writer that end the processes which read the list, or stop them from following it.
def test_platform_odd_entries_harm_no_instance():
    sound = {"service": "shop", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "capacity": 6, "state": "ready",
             "warmupLeftS": 0, "sequence": 1}
    odd = [b"[" * 100_000, b'{"a":' * 10_000 + b"1" + b"}" * 10_000, b'{"capacity":1e99999999999}', b"9" * 100_000,
           b"\xff\x00\x01", b"", json.dumps({**sound, "address": "127.0.0.1:65536"}).encode(),
           json.dumps({**sound, "capacity": 2**64}).encode(), json.dumps({**sound, "born": 1e300}).encode(),
           json.dumps({**sound, "address": "127.0.0.1:0"}).encode(), json.dumps({**sound, "zone": "z" * 100_000}).encode(),
           json.dumps({**sound, "service": "s\r\nX: y"}).encode()]

    async def write_odd_entries(fleet):
        started = [entry.process.pid for entry in fleet.entries]
        for number, value in enumerate(odd):
            await fleet.store.put(f"servers/odd-{number:02x}", value)
            await fleet.store.put("servers/odd", value)
        await fleet.store.put("servers/i-\r\nX: y", sound)
        await asyncio.sleep(1.0)
        # Also read as a whole, by an instance that starts and by those whose history is lost.
        fleet.store.compact()
        await soak_faults.planned_stop(fleet, random.Random(1))
        await fleet.wait_ready()
        assert sum(entry.process.pid in started for entry in fleet.entries) == len(started) - 1
        assert all(entry.process.poll() is None for entry in fleet.entries)
        added = await fleet.add_endpoint("orders", "a")
        await asyncio.sleep(3.0)
        assert any(run.endpoint == added.name for run in fleet.runs), "an endpoint that joined gets nothing"
        await fleet.drain(added)
        await asyncio.sleep(3.5)
        late = [run for run in fleet.runs if run.endpoint == added.name
                and run.arrived_at > fleet.leaving_since[added.name] + 2.4]
        assert not late, late[0].request_id
    run_under_load(10, write_odd_entries)


# Guards against an acknowledged configuration that no instance puts in force because of one value in it.
def test_platform_a_config_with_odd_values_is_in_force():
    async def write_odd_config(fleet):
        odd = {"entryKind": "routes", "metadata": {"name": "odd"}, "spec": {"host": "shop.example", "prefix": "/odd/"}}
        split = [{"service": "orders", "weight": 0.3}, {"service": "spare", "weight": 0}]
        await fleet.write_config([odd, {"entryKind": "routes"}, 7], {"moving": {"backends": split, "service": None}})
        fleet.routes[2].service_changes.append((time.monotonic(), "orders"))
        await asyncio.sleep(3.0)
        runs_before = len(fleet.runs)
        await asyncio.sleep(2.0)
        moving = [run for run in fleet.runs[runs_before:] if run.path.startswith("/moving/")]
        assert moving and all(run.service == "orders" for run in moving), len(moving)
    run_under_load(11, write_odd_config)


# Guards against work for an evacuated failure domain, also from an instance that starts during the evacuation, and against
# an evacuation that stays in force after the key was removed.
def test_platform_an_evacuated_failure_domain_gets_no_work():
    async def evacuate(fleet):
        def runs_in_zone(since):
            names = {endpoint.name for endpoint in fleet.endpoints.values() if endpoint.zone == "a"}
            return [run for run in fleet.runs if run.endpoint in names and run.arrived_at > since]

        assert runs_in_zone(0.0)
        await fleet.store.put("op/evacuate/a", {})
        evacuated_at = time.monotonic()
        await asyncio.sleep(2.5)
        await soak_faults.planned_stop(fleet, random.Random(1))
        await fleet.wait_ready()
        await asyncio.sleep(2.0)
        late = runs_in_zone(evacuated_at + 2.4)
        assert not late, (len(late), late[0].request_id)
        await fleet.store.delete("op/evacuate/a")
        taken_back_at = time.monotonic()
        await asyncio.sleep(5.0)
        assert runs_in_zone(taken_back_at), "nothing is sent to the failure domain any more"
    run_under_load(12, evacuate)


def test_platform_planned_stops_cut_nothing():
    async def stop(fleet):
        for seed in range(2):
            await soak_faults.planned_stop(fleet, random.Random(seed))
            await fleet.wait_ready()
    run_under_load(4, stop)


def test_platform_the_store_is_away_and_forgets():
    async def away(fleet):
        for entry in fleet.entries:
            entry.store_proxy.mode = "refuse"
        await asyncio.sleep(3.0)
        fleet.store.compact()
        for entry in fleet.entries:
            entry.store_proxy.mode = "pass"
        await asyncio.sleep(3.0)
        await fleet.move_route("orders")
        await asyncio.sleep(3.0)
        assert any(run.service == "orders" and run.path.startswith("/moving/") for run in fleet.runs)
    _, callers = run_under_load(5, away)
    share, count = unserved_share(callers.attempts, 0)
    assert count > 50 and share < 0.02, (share, count)


def test_platform_all_instances_die_and_serve_again():
    async def die(fleet):
        for entry in fleet.entries:
            entry.note_disturbance(time.monotonic())
            entry.process.send_signal(signal.SIGKILL)
            entry.process.wait()
        for entry in fleet.entries:
            fleet.start_entry(entry)
        await fleet.wait_ready()
        for entry in fleet.entries:
            entry.disturbances[-1][1] = time.monotonic()
    run_under_load(6, die)


def test_platform_store_calls_stay_few():
    async def wait(fleet):
        await asyncio.sleep(6.0)
        fleet.store.call_counts.clear()
        await asyncio.sleep(5.0)
        calls = sum(fleet.store.call_counts.values())
        # Three instances each read and watch, waiting two seconds or more between calls; nothing else calls the store.
        assert calls <= 20, fleet.store.call_counts
    run_under_load(7, wait)


def test_platform_fault_soak_short():
    for seed in (1, 2):
        fleet = asyncio.run(soak.run_seed(seed, 6.0, 4, soak_faults.ALL_FAULTS))
        assert not fleet.violations, (seed, fleet.fault_log, fleet.violations[:5], str(fleet.dir))
        fleet.remove_logs()
