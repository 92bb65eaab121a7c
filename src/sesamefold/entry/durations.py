"""How long the runs of requests recently took, by kind and size."""

import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import requests

# A run counts for one to two of these windows.
WINDOW_SECONDS = 60.0
# Weight of a generated token in the size of a request; reading a token of the
# prompt takes less time.
OUTPUT_TOKEN_WEIGHT = 10


@attrs.define
class _Maximum:
    """The longest runs of the window that ends at `ends_at` and the last.

    None stands for no run.
    """

    ends_at: float
    current: t.Optional[float] = None
    previous: t.Optional[float] = None

    def record(self, seconds: float, now: float) -> None:
        """Count a run."""
        self._advance(now)
        self.current = max(seconds, self.current or 0.0)

    def find(self, now: float) -> t.Optional[float]:
        """Return the longest run of both windows, None without any."""
        self._advance(now)
        known = [s for s in (self.current, self.previous) if s is not None]
        return max(known, default=None)

    def _advance(self, now: float) -> None:
        """Begin a new window if the last one has ended."""
        if now < self.ends_at:
            return
        is_next = now < self.ends_at + WINDOW_SECONDS
        self.previous = self.current if is_next else None
        self.current = None
        self.ends_at = now + WINDOW_SECONDS


@attrs.define
class Durations:
    """The longest recent runs by service, kind and size of the request.

    Durations are in seconds. The size of a prompt is a power of two, so that
    the number of entries is bounded by that of services and kinds.

        durations = Durations()
        durations.record(call, 0.8)
        durations.find_longest(call)  # 0.8
    """

    read_time: t.Callable[[], float] = clock.read_time
    _maxima: t.Dict[t.Tuple[str, str], t.Dict[int, _Maximum]] = attrs.field(
        factory=dict
    )
    _purge_at: float = 0.0

    def record(self, call: requests.Call, seconds: float) -> None:
        """Record how long a server ran a request, or at least ran it."""
        now = self.read_time()
        self._purge(now)
        sizes = self._maxima.setdefault(_get_kind(call), {})
        maximum = sizes.setdefault(
            _get_size(call), _Maximum(now + WINDOW_SECONDS)
        )
        maximum.record(seconds, now)

    def find_longest(self, call: requests.Call) -> t.Optional[float]:
        """Return the longest recent run of such a request, None if unknown.

        Runs of smaller requests count, and if none of this size is known,
        those of the next larger size.
        """
        now, size = self.read_time(), _get_size(call)
        known = {
            other: seconds
            for other, maximum in self._maxima.get(_get_kind(call), {}).items()
            if (seconds := maximum.find(now)) is not None
        }
        bound = min((other for other in known if other >= size), default=None)
        if bound is None:
            return None
        return max(known[other] for other in known if other <= bound)

    def _purge(self, now: float) -> None:
        """Remove entries without a recent run, once a window."""
        if now < self._purge_at:
            return
        self._purge_at = now + WINDOW_SECONDS
        remaining = {
            kind: {
                size: maximum
                for size, maximum in sizes.items()
                if maximum.find(now) is not None
            }
            for kind, sizes in self._maxima.items()
        }
        self._maxima = {k: sizes for k, sizes in remaining.items() if sizes}


def _get_kind(call: requests.Call) -> t.Tuple[str, str]:
    return call.service, call.route.get_kind()


def _get_size(call: requests.Call) -> int:
    """Return the power of two above the size of a prompt, 0 without one."""
    prompt = call.head.prompt
    if prompt is None:
        return 0
    tokens = prompt.tokens + OUTPUT_TOKEN_WEIGHT * prompt.max_output_tokens
    return tokens.bit_length()
