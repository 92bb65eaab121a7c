"""Lookup of block holders in the directory."""

import typing as t

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import state as states
from sesamefold.wire import control_pb2

# Time for the reply to arrive, seconds. The control replies at its deadline
# with the entries that it has by then; without this margin, one slow shard
# would lose the entries of all shards.
_REPLY_MARGIN_SECONDS = 0.01

Holders = t.Dict[str, t.Sequence[control_pb2.Holder]]


async def look_up_blocks(
    state: states.GatewayState,
    names: t.Sequence[str],
    deadline: deadlines.Deadline,
) -> Holders:
    """Return the holders of each named block that the directory lists.

    Returns an empty mapping if the lookup fails or exceeds `deadline` or
    `defaults.DIRECTORY_LOOKUP_SECONDS`; the blocks are then recomputed.
    """
    if not names:
        return {}
    lookup_deadline = deadline.cap(defaults.DIRECTORY_LOOKUP_SECONDS)
    reply = await state.try_call_control(
        state.stub.LookupBlocks,
        control_pb2.LookupBlocksRequest(
            blocks=names, deadline=lookup_deadline.at
        ),
        lookup_deadline.remaining() + _REPLY_MARGIN_SECONDS,
    )
    counter = state.metrics.looked_up_blocks
    if reply is None:
        counter.labels("failed").inc(len(names))
        return {}
    counter.labels("found").inc(len(reply.entries))
    counter.labels("missing").inc(len(names) - len(reply.entries))
    return {entry.block: tuple(entry.holders) for entry in reply.entries}
