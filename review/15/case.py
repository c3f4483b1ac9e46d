"""Fault: once the settings hold a bound with a fraction, no process that is stopped comes back."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from world import main, now

# Of demands/rdzen-hq-grown.toml.
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 196}
# The settings files change to one of these.
GRACE_WITH_FRACTION_S, WHOLE_GRACE_S = 6.5, 7
RESTART_DELAY_S, STARTS, READY_WITHIN_S = 1.0, 3, 10.0


async def stop(world, instance):
    """SIGTERM, and SIGKILL after graceS."""
    instance.signal(signal.SIGTERM)
    world.record.say(f"{instance.name} gets SIGTERM")
    until = now() + BOUNDS["graceS"]
    while instance.process.poll() is None and now() < until:
        await asyncio.sleep(0.05)
    if instance.process.poll() is None:
        instance.process.kill()
        instance.process.wait()


async def bring_back(world, instance):
    """Starts the process, and again whenever it ends, as the platform does; returns how often it ended by itself."""
    ended = 0
    until = now() + READY_WITHIN_S
    instance.start()
    while now() < until:
        await asyncio.sleep(0.1)
        if instance.process.poll() is None:
            if await instance.is_ready():
                world.record.say(f"{instance.name} is ready again")
                break
            continue
        ended += 1
        last = (world.folder / f"{instance.name}.log").read_text(encoding="utf-8").strip().splitlines()[-1]
        shown = last.replace(str(world.folder) + "/", "")
        world.record.say(f"{instance.name} ended by itself with {instance.process.returncode}: {shown}")
        if ended == STARTS:
            break
        await asyncio.sleep(RESTART_DELAY_S)
        instance.start()
    return ended


async def ask_all(world):
    results = [(await world.send(instance, "GET", "/lookup/box", 1.5))[1] for instance in world.instances]
    world.record.say(f"a request to each machine ends with: {', '.join(str(result) for result in results)}")
    return results


async def case(world, trouble):
    world.route("lookup", "/lookup/", "katalog", "safe", 1.5, 0.5)
    world.service("katalog")
    world.limits()
    await world.start(["a", "b", "c"])
    for number in range(3):
        await world.add_endpoint("katalog", "abc"[number], 2, 4, lambda request: 0.14)
    await world.start_instances(1.0)
    if await ask_all(world) != [200, 200, 200]:
        raise RuntimeError("the deployment does not serve before the change")
    world.bounds = {**BOUNDS, "graceS": GRACE_WITH_FRACTION_S if trouble else WHOLE_GRACE_S}
    for instance in world.instances:
        (world.folder / f"{instance.name}.toml").write_text(world.render(instance), encoding="utf-8")
    # The file may also change without any signal.
    world.instances[0].signal(signal.SIGHUP)
    world.record.say(f"the settings files change to graceS={world.bounds['graceS']}; one process gets SIGHUP")
    await asyncio.sleep(4.0)
    ends = []
    for instance in world.instances:
        await stop(world, instance)
        ends.append(await bring_back(world, instance))
    results = await ask_all(world)
    return max(ends) == 0 and all(result == 200 for result in results)


main(case, pathlib.Path(__file__).resolve().parent, BOUNDS)
