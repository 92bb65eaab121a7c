"""The entry host on the users' platform."""

import asyncio
import os
import pathlib
import sys

from sesamefold.entry import host as entry_host
from sesamefold.platform import client
from sesamefold.platform import engines
from sesamefold.platform import headers
from sesamefold.platform import settings as platform_settings
from sesamefold.platform import stores
from sesamefold import transport


async def _run() -> None:
    path = pathlib.Path(os.environ[platform_settings.PATH_VARIABLE])
    settings = platform_settings.load_settings(path)
    async with transport.make_session() as session:
        store_client = client.StoreClient(session, settings.store_address)
        platform = entry_host.Platform(
            store_client,
            store_client,
            headers.HeaderCodec(),
            engines.EngineClient(session),
            stores.ContextStoreClient(session),
        )
        await entry_host.run(entry_host.EntryHost(settings, platform))


def main() -> None:
    """Run until the platform stops the process."""
    asyncio.run(_run())
    sys.exit(0)
