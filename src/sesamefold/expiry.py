"""Deletion of old journal buckets."""

import asyncio

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import keyvalue

PREFIX = "journal/"
# Names the first hour that may still have buckets, as a decimal number. It
# lets a control that takes over, or starts after an outage, continue where
# the deletion ended.
PROGRESS_KEY = "journal/expired"

HOUR_SECONDS = 3600
# Hours before the newest expired one that are listed when there is no mark.
LOOKBACK_HOURS = 7 * 24
# Listings and deletions of one round. A round takes place every 300 s, and
# an hour leaves up to 8 * 720 buckets, 480 for each round.
MAX_LISTINGS_PER_ROUND = 24
MAX_DELETIONS_PER_ROUND = 1000
# Pause after a deletion, seconds. The service takes several hundred writes a
# second, of which the journal may use most.
DELETION_PAUSE = 0.02


async def delete_expired(service: keyvalue.KeyValue, now: float) -> int:
    """Delete buckets of hours that ended over 25 h ago; return how many.

    Work beyond the limits of one round is left to the next one. Raises
    `exceptions.PlatformError`.
    """
    limit = now - defaults.JOURNAL_BUCKET_SECONDS
    end = int(limit // HOUR_SECONDS)
    entry = await service.get(PROGRESS_KEY, _make_deadline())
    marked = entry is not None and entry.value.isdigit()
    start = int(entry.value) if marked else end - LOOKBACK_HOURS
    deleted = 0
    hour = start
    while hour < min(end, start + MAX_LISTINGS_PER_ROUND):
        keys = await service.list_keys(f"{PREFIX}{hour}/", _make_deadline())
        for key in keys[: MAX_DELETIONS_PER_ROUND - deleted]:
            await service.delete(key, None, _make_deadline())
            deleted += 1
            await asyncio.sleep(DELETION_PAUSE)
        if deleted >= MAX_DELETIONS_PER_ROUND:
            break
        hour += 1
    if hour > start:
        await service.put(
            PROGRESS_KEY,
            str(hour).encode(),
            0 if entry is None else entry.version,
            _make_deadline(),
        )
    return deleted


def _make_deadline() -> deadlines.Deadline:
    return deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT)
