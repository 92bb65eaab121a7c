"""Lookups of blocks in the directory."""

import typing as t

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import state as states
from sesamefold.wire import control_pb2

# The control answers at its deadline with what it has by then; without time
# for that answer's way, a late shard would cost the entries of all shards.
_LOOKUP_REPLY_SECONDS = 0.01

Holders = t.Dict[str, t.Sequence[control_pb2.Holder]]


async def look_up_blocks(
    state: states.State,
    names: t.Sequence[str],
    deadline: deadlines.Deadline,
) -> Holders:
    """Return the holders of each block that the directory knows.

    A lookup that fails or is late returns nothing, which leads to
    recomputation.
    """
    if not names:
        return {}
    limit = deadline.cap(defaults.DIRECTORY_LOOKUP_SECONDS)
    reply = await state.call_quietly(
        state.stub.LookupBlocks,
        control_pb2.LookupBlocksRequest(blocks=names, deadline=limit.at),
        limit.remaining() + _LOOKUP_REPLY_SECONDS,
    )
    counter = state.metrics.lookups
    if reply is None:
        counter.labels("failed").inc(len(names))
        return {}
    counter.labels("found").inc(len(reply.entries))
    counter.labels("missing").inc(len(names) - len(reply.entries))
    return {entry.block: tuple(entry.holders) for entry in reply.entries}
