"""Deletion of expired journal buckets."""

import asyncio

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import keyvalue

PREFIX = "journal/"
# Key of the first hour, in decimal, that may still have buckets. With it, a
# control that takes over or starts after an outage continues where the last
# deletion stopped.
PROGRESS_KEY = "journal/expired"

HOUR_SECONDS = 3600
# Hours before the newest expired one that are listed when no progress is
# stored.
LOOKBACK_HOURS = 7 * 24
# Most hours whose buckets are listed in one round.
MAX_LISTINGS_PER_ROUND = 24
# Most buckets deleted in one round. A round takes place every 300 s, and an
# hour leaves up to 8 * 720 buckets, 480 for each round.
MAX_DELETIONS_PER_ROUND = 1000
# Pause after each deletion. The key-value service accepts several hundred
# writes a second, most of which the writes of the journal may need.
DELETION_PAUSE_SECONDS = 0.02


async def delete_expired(service: keyvalue.KeyValue, now: float) -> int:
    """Delete buckets of hours that ended over 25 h ago; return how many.

    One call is one round; the next one continues where it stopped. Raises
    `exceptions.PlatformError`.
    """
    expired_before = now - defaults.JOURNAL_BUCKET_SECONDS
    end_hour = int(expired_before // HOUR_SECONDS)
    entry = await service.get(PROGRESS_KEY, _make_deadline())
    has_progress = entry is not None and entry.value.isdigit()
    start_hour = (
        int(entry.value) if has_progress else end_hour - LOOKBACK_HOURS
    )
    deleted = 0
    hour = start_hour
    while hour < min(end_hour, start_hour + MAX_LISTINGS_PER_ROUND):
        keys = await service.list_keys(f"{PREFIX}{hour}/", _make_deadline())
        for key in keys[: MAX_DELETIONS_PER_ROUND - deleted]:
            await service.delete(key, None, _make_deadline())
            deleted += 1
            await asyncio.sleep(DELETION_PAUSE_SECONDS)
        if deleted >= MAX_DELETIONS_PER_ROUND:
            break
        hour += 1
    if hour > start_hour:
        await service.put(
            PROGRESS_KEY,
            str(hour).encode(),
            0 if entry is None else entry.version,
            _make_deadline(),
        )
    return deleted


def _make_deadline() -> deadlines.Deadline:
    return deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT)
