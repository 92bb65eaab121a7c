"""Export of new blocks from engines to a store of the region."""

import asyncio
import typing as t

from sesamefold import deadline as deadlines
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import routing
from sesamefold import state as states
from sesamefold.wire import control_pb2

# Exports that run at once.
_MAX_RUNNING_EXPORTS = 4
# Exports that run or wait; further ones are skipped.
_MAX_PENDING_EXPORTS = 64
_EXPORT_TIMEOUT_SECONDS = 30.0
_REPORT_TIMEOUT_SECONDS = 1.0


class BlockExporter:
    """Exports blocks from engines to stores in the background.

    Failed and skipped exports are only counted; without the export, a later
    request cannot import these blocks.
    """

    def __init__(self, state: states.GatewayState) -> None:
        self._state = state
        self._run_slots = asyncio.Semaphore(_MAX_RUNNING_EXPORTS)
        self._pending = 0

    def schedule(
        self,
        address: str,
        blocks: t.Sequence[str],
        holders: t.Mapping[str, t.Sequence[control_pb2.Holder]],
    ) -> None:
        """Start the export of the blocks that no store of the region holds.

        `address` is the address of the engine that has the blocks, `holders`
        maps a block to the engines and stores known to hold it.
        """
        placement = routing.PLACEMENTS[self._state.settings.placement]
        store = self._choose_store() if placement.uses_stores else None
        if store is None:
            return
        missing = [
            block
            for block in blocks
            if not any(
                holder.kind == "store" and self._is_in_region(holder.name)
                for holder in holders.get(block, ())
            )
        ]
        if not missing:
            return
        if self._pending >= _MAX_PENDING_EXPORTS or self._state.leaving:
            self._count("skipped", len(missing))
            return
        self._pending += 1
        self._state.spawn(self._export(address, missing, *store))

    def _is_in_region(self, name: str) -> bool:
        endpoint = self._state.list_stores().get(name)
        return endpoint is not None and endpoint.same_region

    def _choose_store(self) -> t.Optional[t.Tuple[str, str]]:
        """Return the name and URL of a random store of the region, if any."""
        stores = [
            (name, endpoint.url)
            for name, endpoint in self._state.list_stores().items()
            if endpoint.same_region
        ]
        return self._state.random_generator.choice(stores) if stores else None

    async def _export(
        self, address: str, blocks: t.List[str], store: str, url: str
    ) -> None:
        try:
            async with self._run_slots:
                engine = self._state.make_engine(self._state.session, address)
                deadline = deadlines.Deadline.after(_EXPORT_TIMEOUT_SECONDS)
                async with asyncio.timeout(deadline.remaining()):
                    entries = await engine.export_blocks(blocks, url, deadline)
            await self._report(entries, store)
        except (exceptions.SesamefoldError, TimeoutError):
            self._count("failed", len(blocks))
        finally:
            self._pending -= 1

    async def _report(
        self, entries: t.Sequence[engines.ImportBlock], store: str
    ) -> None:
        """Report the exported blocks to the block directory of the control.

        A store keeps newly written blocks in its memory tier.
        """
        self._count("stored", len(entries))
        if not entries:
            return
        stored = [
            control_pb2.BlockEntry(
                block=entry.block,
                holders=[
                    control_pb2.Holder(
                        kind="store",
                        name=store,
                        generation=entry.generation,
                        length=entry.length,
                        sha256=entry.sha256,
                        tier="memory",
                    )
                ],
            )
            for entry in entries
        ]
        await self._state.try_call_control(
            self._state.stub.ReportBlocks,
            control_pb2.ReportBlocksRequest(stored=stored),
            _REPORT_TIMEOUT_SECONDS,
        )

    def _count(self, result: str, blocks: int) -> None:
        self._state.metrics.exported_blocks.labels(result).inc(blocks)
