"""Test of a rollout by an entry host, from the order to its end."""

import asyncio
import json
import typing as t

from sesamefold.entry import exposure
from standins import platform_engine
from standins import platform_fixtures
from tests import entry_fakes


class RolloutHostTest(entry_fakes.EntryHostCase):
    """An entry host with two servers of v1, to which two of v2 are added."""

    settings_fields = {
        "rollout_limits": exposure.RolloutLimits(0.1, 50),
        "order_pause_seconds": 0.1,
    }

    async def _add_servers(self) -> None:
        for number in (2, 3):
            engine = platform_engine.PlatformEngine(f"i-{number}")
            self.engines.append(engine)
            address = await platform_fixtures.start_server(
                self.stack, engine.handle
            )
            self.put_server_entry(engine.id, address, version="v2")

    def _count_new_runs(self) -> int:
        return sum(len(engine.runs) for engine in self.engines[2:])

    def _read_status(self) -> t.Optional[t.Mapping[str, t.Any]]:
        value = self.store.get("status/rollout/chat")
        return json.loads(value) if value else None

    async def test_rollout_follows_the_operators_order(self) -> None:
        """Guards the duty: each order of the operator is answered."""
        await self.wait_until(self.host.election.holds_lease)
        await self._add_servers()
        await self.wait_until(lambda: len(self.host.catalog.servers) == 4)
        for number in range(20):
            await self.call("/safe/", f"before-{number}")
        self.assertEqual(self._count_new_runs(), 0)
        self.store.put(
            "op/rollout/chat",
            {"service": "chat", "target": "v2", "duration_s": 4},
        )
        await self.wait_until(self._read_status)
        self.assertEqual(
            self._read_status(), {"target": "v2", "state": "running"}
        )
        number = 0
        async with asyncio.timeout(8.0):
            while self._read_status() == {"target": "v2", "state": "running"}:
                number += 1
                await self.call("/safe/", f"during-{number}")
                await asyncio.sleep(0.01)
        self.assertEqual(
            self._read_status(), {"target": "v2", "state": "completed"}
        )
        old_runs = sum(len(engine.runs) for engine in self.engines[:2])
        for number in range(10):
            await self.call("/safe/", f"after-{number}")
        self.assertEqual(
            sum(len(engine.runs) for engine in self.engines[:2]), old_runs
        )
