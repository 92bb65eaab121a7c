"""The next holder of the right to order crashes in its wait and returns."""

import asyncio
import json
import pathlib
import signal

from aiohttp import web

import bench2

LEASE_SECONDS = 3.0
# After the next holder has written to the store under a condition.
KILL_DELAY_SECONDS = 0.1
# The platform restarts a process after a short delay.
RESTART_DELAY_SECONDS = 0.1


class Holder:
    """The name in the latest leased record that was written conditionally."""

    def __init__(self, world: bench2.World) -> None:
        self._world = world
        self.writes = []

        async def watch(request, handler):
            response = await handler(request)
            if request.path == "/kv-txn" and response.status == 200:
                keys = [
                    w["key"]
                    for w in json.loads(await request.read())["writes"]
                    if w["lease"] and "members" not in w["key"]
                ]
                for key in keys:
                    name = (world.store.get(key) or b"").decode()
                    self.writes.append(name)
                    world.record.write("conditional_write", key=key, by=name)
            return response

        self.watch = watch

    @property
    def name(self) -> str:
        return self.writes[-1] if self.writes else ""


async def script(world: bench2.World) -> bool:
    holder = world.holder
    world.configure(
        bench2.make_configuration(
            1,
            [bench2.make_route("draft", "streaming", resumable=True)],
            [bench2.make_tenant("alpha", "key-alpha")],
        )
    )
    world.name_weights(1)
    engine = bench2.Engine("i-0", world.record)
    await world.add_engine(engine)
    hosts = {
        name: await world.add_host(name) for name in ("front-1", "front-2")
    }
    for host in hosts.values():
        await host.wait_ready()
    await bench2.wait_until(lambda: holder.name, 15.0, "a holder")
    await asyncio.sleep(5.0)

    # Planned work: the machines are stopped and started in turn. The one that
    # gives the orders now comes last.
    first, second = hosts["front-2"], hosts["front-1"]
    if holder.name == second.name:
        second.send(signal.SIGTERM)
        await bench2.wait_until(
            lambda: holder.name == first.name, 10.0, "the first handover"
        )
        await second.wait_end()
        await second.start()
        await second.wait_ready()
        await asyncio.sleep(5.0)

    # The other one is stopped as soon as it has given an order.
    world.name_weights(2)
    await bench2.wait_until(lambda: engine.orders, 10.0, "an order")
    if engine.orders[0]["holder"] != first.name:
        raise bench2.CannotRun("the holder is another one")
    before = len(holder.writes)
    first.send(signal.SIGTERM)
    await asyncio.sleep(0.1)
    world.name_weights(3)
    await bench2.wait_until(
        lambda: len(holder.writes) > before, 3.0, "the next holder"
    )
    if holder.name != second.name:
        raise bench2.CannotRun("the next holder is another one")
    if world.trouble:
        await asyncio.sleep(KILL_DELAY_SECONDS)
        second.send(signal.SIGKILL)
        await second.end()
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await second.start()
    await bench2.wait_until(
        lambda: engine.weights[bench2.MODEL] == 3, 20.0, "new weights"
    )

    held = True
    for earlier, later in zip(engine.orders, engine.orders[1:]):
        gap = later["at"] - earlier["at"]
        if later["holder"] != earlier["holder"] and gap < LEASE_SECONDS:
            held = False
            world.record.write(
                "ONE",
                holders=[earlier["holder"], later["holder"]],
                fences=[earlier["fence_token"], later["fence_token"]],
                seconds=round(gap, 3),
            )
    return held


def prepare(world: bench2.World) -> None:
    world.holder = Holder(world)
    build_app = world.store.build_app

    def build() -> web.Application:
        app = build_app()
        app.middlewares.append(web.middleware(world.holder.watch))
        return app

    world.build_store_app = build


bench2.run(pathlib.Path(__file__).resolve().parent, script, prepare)
