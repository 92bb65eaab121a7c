"""Process of an entry host on the users' platform."""

import asyncio
import json
import os
import pathlib
import sys

import attrs

from sesamefold.entry import decisions
from sesamefold.entry import host as entry_host
from sesamefold.entry import settings as entry_settings
from sesamefold import exceptions
from sesamefold import memory
from sesamefold.platform import client
from sesamefold.platform import engines
from sesamefold.platform import headers
from sesamefold.platform import records
from sesamefold.platform import settings as platform_settings
from sesamefold.platform import stores
from sesamefold import transport

# Interval at which a settings file that cannot be used is read again.
SETTINGS_RETRY_INTERVAL_SECONDS = 1.0


async def _wait_for_settings(
    file: platform_settings.SettingsFile,
) -> entry_settings.EntrySettings:
    """Return the settings as soon as the file is valid."""
    while True:
        try:
            return file.read()
        except exceptions.SettingsError as error:
            line = {"event": "settings_rejected", "reason": error.message}
            print(json.dumps(line), flush=True)
            await asyncio.sleep(SETTINGS_RETRY_INTERVAL_SECONDS)


async def _run() -> None:
    """Build the entry host and run it until it ends."""
    file = platform_settings.SettingsFile(
        pathlib.Path(os.environ[platform_settings.PATH_VARIABLE])
    )
    settings = await _wait_for_settings(file)
    budget = memory.MemoryBudget(memory.compute_limit(settings.memory_bytes))
    async with transport.make_session(budget=budget) as session:
        log = decisions.DecisionLog(sys.stdout.fileno(), settings.host)

        def report_transfer(transfer: client.Transfer) -> None:
            log.write("store_transfer", **attrs.asdict(transfer))

        def report_fault(reason: str) -> None:
            log.write("store_era_rejected", reason=reason)

        store_client = client.StoreClient(
            session, settings.store_address, report_transfer, report_fault
        )
        platform = entry_host.PlatformAdapters(
            store_client,
            store_client,
            headers.HeaderCodec(),
            engines.EngineClient(session),
            stores.ContextStoreClient(session),
            records.encode_rollout_status,
        )
        host = entry_host.EntryHost(settings, platform, log, budget)
        await entry_host.run(host, file)


def main() -> None:
    """Run an entry host until the platform stops the process."""
    asyncio.run(_run())
    sys.exit(0)
