"""Export of new blocks to the store of the region during a run."""

import asyncio
import typing as t

from sesamefold import deadline as deadlines
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import routing
from sesamefold import state as states
from sesamefold.wire import control_pb2

# Exports that run at once, and exports that may wait; more are skipped.
MAX_RUNNING = 4
MAX_PENDING = 64
EXPORT_SECONDS = 30.0
_REPORT_SECONDS = 1.0


class BlockExporter:
    """Copies blocks in the background; a failure only costs a later import."""

    def __init__(self, state: states.GatewayState) -> None:
        self._state = state
        self._running = asyncio.Semaphore(MAX_RUNNING)
        self._pending = 0

    def schedule(
        self,
        address: str,
        blocks: t.Sequence[str],
        holders: t.Mapping[str, t.Sequence[control_pb2.Holder]],
    ) -> None:
        """Export the blocks that no store of the region holds."""
        placement = routing.PLACEMENTS[self._state.settings.placement]
        store = self._choose_store() if placement.uses_stores else None
        if store is None:
            return
        missing = [
            block
            for block in blocks
            if not any(
                holder.kind == "store" and self._is_near(holder.name)
                for holder in holders.get(block, ())
            )
        ]
        if not missing:
            return
        if self._pending >= MAX_PENDING or self._state.leaving:
            self._count("skipped", len(missing))
            return
        self._pending += 1
        self._state.spawn(self._export(address, missing, *store))

    def _is_near(self, name: str) -> bool:
        endpoint = self._state.list_stores().get(name)
        return endpoint is not None and endpoint.same_region

    def _choose_store(self) -> t.Optional[t.Tuple[str, str]]:
        """Return name and URL of a store of the region, at random."""
        near = [
            (name, endpoint.url)
            for name, endpoint in self._state.list_stores().items()
            if endpoint.same_region
        ]
        return self._state.random_generator.choice(near) if near else None

    async def _export(
        self, address: str, blocks: t.List[str], store: str, url: str
    ) -> None:
        try:
            async with self._running:
                engine = self._state.make_engine(self._state.session, address)
                deadline = deadlines.Deadline.after(EXPORT_SECONDS)
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
        """Tell the directory; fresh entries are in the memory tier."""
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
            _REPORT_SECONDS,
        )

    def _count(self, result: str, blocks: int) -> None:
        self._state.metrics.exported_blocks.labels(result).inc(blocks)
