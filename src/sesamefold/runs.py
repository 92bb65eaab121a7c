"""One run of a request on an engine, resumed after broken streams."""

import contextlib
import typing as t

import attrs

from sesamefold import deadline as deadlines
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import metrics as metrics_module
from sesamefold import streams

# Consecutive resumes without a new token before a run counts as failed.
MAX_RESUMES = 2


@attrs.define(eq=False)
class Run:
    """A run whose events are verified before they are passed on.

    `may_have_executed` is set once the engine may have executed something.
    `is_lost` is set when the engine refuses or can't be reached to resume the
    run, for example because a crash removed it. `has_lost_permit` returns
    whether the permit of the run expired; such a run isn't resumed.
    `may_move` returns whether another server could continue the run. If none
    could, a silent engine is waited for until the deadline.
    """

    engine: engines.Engine
    request_id: str
    verifier: streams.Verifier
    deadline: deadlines.Deadline
    metrics: metrics_module.GatewayMetrics
    has_lost_permit: t.Callable[[], bool] = lambda: False
    may_move: t.Callable[[], bool] = lambda: True
    may_have_executed: bool = False
    is_lost: bool = False
    finished: bool = False
    _started_passed_on: bool = False

    async def stream_events(
        self, source: t.AsyncGenerator[engines.TokenEvent, None]
    ) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the events of `source`, and of the run's later streams.

        After a broken stream or a gap the run is resumed at the first missing
        token. Only the first "started" event is passed on. Raises
        `exceptions.BackendRefused` and `exceptions.BackendUnreachable` only
        if the run can't have executed anything, otherwise
        `exceptions.BackendFailed`.
        """
        resumes, last_offset = 0, self.verifier.offset
        while True:
            cause = exceptions.BackendFailed("the event stream ended early")
            try:
                async for event in source:
                    self.may_have_executed = True
                    if self.has_lost_permit():
                        raise exceptions.BackendFailed("the permit expired")
                    if self._accept(event):
                        yield event
                        if self.finished:
                            return
            except exceptions.RoutingError as error:
                cause = self._classify_error(error, resumes)
            except (streams.EventGap, streams.StreamMismatch) as error:
                cause = exceptions.BackendFailed(str(error))
                self.verifier.mismatches = 0
                await _stop_reading(source, cause)
            finally:
                await source.aclose()
            if self.verifier.offset > last_offset:
                resumes, last_offset = 0, self.verifier.offset
            if self.has_lost_permit() or (
                resumes >= MAX_RESUMES and not self._should_wait(cause)
            ):
                raise cause
            resumes += 1
            self.metrics.retries.labels("gap").inc()
            source = self.engine.resume(
                self.request_id, self.verifier.offset, self.deadline
            )

    def _should_wait(self, cause: exceptions.BackendFailed) -> bool:
        """Return whether to go on waiting for a silent engine."""
        return (
            isinstance(cause, exceptions.BackendSilent)
            and not self.deadline.has_passed()
            and not self.may_move()
        )

    def _accept(self, event: engines.TokenEvent) -> bool:
        if not self.verifier.accept(event):
            return False
        if event.kind == "started":
            repeated, self._started_passed_on = self._started_passed_on, True
            return not repeated
        self.finished = event.kind == "finished"
        return True

    def _classify_error(
        self, error: exceptions.RoutingError, resumes: int
    ) -> exceptions.BackendFailed:
        """Return an error after which to resume; raise a final one."""
        if isinstance(error, exceptions.BackendFailed):
            self.may_have_executed = True
            return error
        if not resumes and not self.may_have_executed:
            raise error
        self.is_lost = True
        raise exceptions.BackendFailed(
            f"the engine lost the run: {error.message}"
        ) from error


async def _stop_reading(
    source: t.AsyncGenerator[engines.TokenEvent, None],
    error: exceptions.BackendFailed,
) -> None:
    """End a stream by raising `error` in its generator.

    Closing the generator would cancel the run on the engine, which is to be
    resumed.
    """
    with contextlib.suppress(exceptions.BackendFailed, StopAsyncIteration):
        await source.athrow(error)
