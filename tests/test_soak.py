"""A short run of the soak by one seed."""

import asyncio
import pathlib
import types
import unittest
import unittest.mock

from standins import proxy
from tools import soak

SEED = 1
SECONDS = 6.0
HOSTS = 2


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """The promises under random faults."""

    async def test_a_start_is_no_end(self) -> None:
        """Guards against a rig that takes a host that starts for a loss."""
        run = soak.Soak(SEED, SECONDS, 1)
        host = soak.Host(
            "entry-0",
            "127.0.0.1",
            pathlib.Path("settings.toml"),
            (),
            proxy.Proxy("127.0.0.1:1"),
            types.SimpleNamespace(returncode=-9),
            ended_on_purpose=True,
        )
        run.hosts = [host]

        async def start(*arguments: str, **options: object) -> object:
            await asyncio.sleep(0.05)
            return types.SimpleNamespace(returncode=None)

        with unittest.mock.patch.object(
            asyncio, "create_subprocess_exec", start
        ):
            starting = asyncio.create_task(run._start_process(host))
            await asyncio.sleep(0.01)
            await run._end_host(0.1)
            await starting
        self.assertEqual([], run.broken)
        self.assertFalse(host.ended_on_purpose)

    async def test_no_promise_is_broken(self) -> None:
        result = await soak.Soak(SEED, SECONDS, HOSTS).run()
        self.assertEqual([], result["broken"])
        self.assertGreater(result["statuses"]["200"], 50)
