"""A stream of a tenant that is isolated meanwhile goes on elsewhere."""

import asyncio
import pathlib

import bench2

CONFIG_APPLY_SECONDS = 2.5


def make_configuration(version: int, isolated: bool):
    return bench2.make_configuration(
        version,
        [bench2.make_route("draft", "streaming", resumable=True)],
        [
            bench2.make_tenant("alpha", "key-alpha", isolated=isolated),
            bench2.make_tenant("beta", "key-beta", isolated=False),
        ],
    )


def make_headers(key: str, own_part: str, events: int):
    return {
        "Api-Key": key,
        "Sesamefold-Model": bench2.MODEL,
        "Sesamefold-Token-Usage": f"1400,{events}",
        "Sesamefold-Prompt-Prefix": (
            f"5c1e07a2:500,91bd3f06:800,{own_part}:100"
        ),
        "Sesamefold-Deadline-Ms": "15000",
    }


async def script(world: bench2.World) -> bool:
    world.configure(make_configuration(1, isolated=False))
    for number in range(5):
        await world.add_engine(bench2.Engine(f"i-{number}", world.record))
    host = await world.add_host("front-1")
    await host.wait_ready()
    await asyncio.sleep(3.0)

    alpha = asyncio.create_task(
        world.ask(
            host, "a1", "/draft/x", **make_headers("key-alpha", "a0000001", 50)
        )
    )
    await bench2.wait_until(
        lambda: any(e.running for e in world.engines), 5.0, "a1 runs"
    )
    first = next(e for e in world.engines if e.running)
    await asyncio.sleep(1.0)
    world.configure(make_configuration(2, isolated=True))
    acknowledged = world.record.now()
    await asyncio.sleep(CONFIG_APPLY_SECONDS + 1.5)
    if world.trouble:
        await first.crash()
    await asyncio.sleep(2.0)
    await world.ask(
        host, "b1", "/draft/x", **make_headers("key-beta", "b0000001", 5)
    )
    status, body = await alpha
    if status != 200 or body.count(b"id:") != 50:
        raise bench2.CannotRun("the stream of alpha was not completed")
    runs = [r for e in world.engines for r in e.runs if r["request"] == "b1"]
    if len(runs) != 1:
        raise bench2.CannotRun("the request of beta did not run once")

    # Only runs count that began later than config_apply_ms after the
    # acknowledgement of the configuration that isolates alpha.
    foreign = [
        {"run": run["request"], "tenant": run["tenant"], **used}
        for engine in world.engines
        for run in engine.runs
        if run["at"] > acknowledged + CONFIG_APPLY_SECONDS
        for used in run["used"]
        if used["maker"] != run["tenant"]
        and "alpha" in (used["maker"], run["tenant"])
    ]
    for use in foreign:
        world.record.write("WALL", **use)
    return not foreign


bench2.run(pathlib.Path(__file__).resolve().parent, script)
