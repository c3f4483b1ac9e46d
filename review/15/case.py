"""Fault: no process starts where a bound of the settings that the template takes over is a fraction."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from world import main, now

# Of sites/naelakoda-gw.toml, where graceS is 6.
GRACE_S, GRACE_WITH_FRACTION_S = 6, 6.5
BOUNDS = {"graceS": GRACE_S, "retryBudgetRatio": 0.2, "retryBudgetSlack": 64}
RESTART_DELAY_S, STARTS, READY_WITHIN_S = 1.0, 3, 15.0


async def run_process(world, instance):
    """Starts the process again whenever it ends, as the platform does; returns how often it ended by itself."""
    ended = 0
    until = now() + READY_WITHIN_S
    instance.start()
    while now() < until and ended < STARTS:
        await asyncio.sleep(0.1)
        if instance.process.poll() is None:
            if await instance.is_ready():
                world.record.say(f"{instance.name} is ready")
                return ended
            continue
        ended += 1
        last = (world.folder / f"{instance.name}.log").read_text(encoding="utf-8").strip().splitlines()[-1:]
        shown = last[0].replace(str(world.folder) + "/", "") if last else ""
        world.record.say(f"{instance.name} ended by itself with {instance.process.returncode}: {shown}")
        await asyncio.sleep(RESTART_DELAY_S)
        if ended < STARTS:
            instance.start()
    return ended


async def case(world, trouble):
    world.bounds = {**BOUNDS, "graceS": GRACE_WITH_FRACTION_S if trouble else GRACE_S}
    world.route("search", "/search/", "katalog", "safe", 1.0, 0.4)
    world.service("katalog")
    world.limits()
    await world.start(["a", "b", "c"])
    for number in range(3):
        await world.add_endpoint("katalog", "abc"[number], 6, 12, lambda request: 0.14)
    world.record.say(f"the settings have graceS={world.bounds['graceS']}")
    ends = await asyncio.gather(*(run_process(world, instance) for instance in world.instances))
    results = [(await world.send(instance, "GET", "/search/nails", 2.0))[1] for instance in world.instances]
    world.record.say(f"a request to each machine then ends with: {', '.join(str(result) for result in results)}")
    return max(ends) == 0 and all(result == 200 for result in results)


main(case, pathlib.Path(__file__).resolve().parent, BOUNDS)
