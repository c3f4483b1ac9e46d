"""API keys and their strict revocation: real processes against a stand-in of the platform's store."""
import asyncio
import concurrent.futures
import http.client
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "platform"))
from fleet import Fleet

REVOKE_S = 5.0
# Ends all keys, so that they can be told from the ids of requests.
SECRET_END = "-secret"


def account(*keys):
    return {"entryKind": "tenants", "metadata": {"name": "shop one"}, "spec": {"apiKeys": [key + SECRET_END for key in keys]}}


def send(entry, key, request_id):
    """Status of a request with the key; 0 if there is no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=8)
    headers = {"Host": "shop.example", "Sassafraspath-Request-Id": request_id, "Authorization": f"Bearer {key}{SECRET_END}",
               "Sassafraspath-Tenant": "made up", "Sassafraspath-Deadline-Ms": "7000"}
    try:
        connection.request("POST", "/order/x", b"x", headers)
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


async def send_for(fleet, key, time_s):
    """Sends requests with the key to all instances at once, every 100 ms; returns the statuses by instance."""
    loop, sent, end = asyncio.get_running_loop(), [], time.monotonic() + time_s
    # Requests to frozen instances wait, each in a thread.
    with concurrent.futures.ThreadPoolExecutor(200) as threads:
        while time.monotonic() < end:
            for entry in fleet.entries:
                sent.append((entry.name, loop.run_in_executor(threads, send, entry, key, f"{key}-{len(sent)}")))
            await asyncio.sleep(0.1)
        return [(name, await answer) for name, answer in sent]


async def wait_for_status(fleet, key, status, timeout_s=10.0):
    """Waits until all instances answer requests with the key so. The timeout only turns a hang into a failure."""
    end = time.monotonic() + timeout_s
    while not all(found == status for _, found in await send_for(fleet, key, 0.05)):
        assert time.monotonic() < end, str(fleet.dir)


def run_fleet(scenario):
    async def run():
        fleet = Fleet(21, 3, f'key_revocation_limit = "{int(REVOKE_S)}s"\n')
        try:
            await fleet.start()
            await fleet.write_config([account("first", "second")])
            # Before they have the accounts, instances serve any key.
            await wait_for_status(fleet, "unknown", 401)
            await wait_for_status(fleet, "first", 200)
            fleet.runs.clear()
            await scenario(fleet)
            logs = "".join(path.read_text() for path in fleet.dir.glob("*.log"))
            assert logs and SECRET_END not in logs, str(fleet.dir)
        finally:
            await fleet.stop()
        fleet.remove_logs()
    asyncio.run(run())


# Guards against a removed key that works on in an instance which hears neither from the store nor from its peers, or
# which is frozen.
def test_platform_a_removed_key_has_no_effect_on_any_instance():
    async def revoke(fleet):
        cut_off, frozen = fleet.entries[1], [fleet.entries[0], fleet.entries[2]]
        cut_off.store_proxy.mode = "refuse"
        for entry in frozen:
            entry.process.send_signal(signal.SIGSTOP)
        load = asyncio.ensure_future(send_for(fleet, "first", 8.0))
        await asyncio.sleep(0.5)
        await fleet.write_config([account("second")])
        revoked_at = time.monotonic()
        await asyncio.sleep(REVOKE_S + 0.5)
        for entry in frozen:
            entry.process.send_signal(signal.SIGCONT)
        answers = await load
        late = [run for run in fleet.runs if run.request_id.startswith("first-") and run.arrived_at > revoked_at + REVOKE_S]
        assert not late, (len(late), late[0].arrived_at - revoked_at)
        assert any(status == 401 for _, status in answers), answers
        cut_off.store_proxy.mode = "pass"
        await wait_for_status(fleet, "second", 200)
        names = {run.headers.get("sassafraspath-tenant") for run in fleet.runs}
        keys = {run.headers.get("authorization") for run in fleet.runs}
        assert names == {"shop one"} and keys == {None}, (names, keys)
    run_fleet(revoke)


# Guards against keys that are honored without end while the store is away, and against instances that do not come back.
def test_platform_keys_are_not_honored_without_the_store_and_work_again_with_it():
    async def away(fleet):
        for entry in fleet.entries:
            entry.store_proxy.mode = "refuse"
        await asyncio.sleep(REVOKE_S)
        statuses = {status for _, status in await send_for(fleet, "first", 0.5)}
        assert statuses == {503}, statuses
        for entry in fleet.entries:
            entry.store_proxy.mode = "pass"
        await wait_for_status(fleet, "first", 200)
    run_fleet(away)
