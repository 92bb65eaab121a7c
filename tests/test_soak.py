"""Tests of the soak, and a short run of it with one seed."""

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
    """The soak's own bookkeeping, and the invariants under faults."""

    async def test_starting_host_is_not_reported_as_exited(self) -> None:
        """Guards against a false violation while a host restarts.

        Until the new process exists, the host still has the process that the
        soak ended, whose exit status would count as an unexpected exit.
        """
        run = soak.Soak(SEED, SECONDS, 1)
        host = soak.HostProcess(
            "entry-0",
            "127.0.0.1",
            pathlib.Path("settings.toml"),
            (),
            proxy.Proxy("127.0.0.1:1"),
            types.SimpleNamespace(returncode=-9),
            terminated_by_soak=True,
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
            await run._terminate_host(0.1)
            await starting
        self.assertEqual([], run.violations)
        self.assertFalse(host.terminated_by_soak)

    async def test_random_faults_violate_no_invariant(self) -> None:
        result = await soak.Soak(SEED, SECONDS, HOSTS).run()
        self.assertEqual([], result["broken"])
        self.assertGreater(result["statuses"]["200"], 50)
