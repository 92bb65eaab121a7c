"""One run of a request on one engine, followed through gaps."""

import contextlib
import typing as t

import attrs

from sesamefold import deadline as deadlines
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import metrics as metrics_module
from sesamefold import streams

# Resumes of one run that bring no new token before the run is given up.
MAX_RESUMES = 2


@attrs.define(eq=False)
class Run:
    """A run whose events are verified before they are passed on.

    `begun` tells that the engine may have executed something. `gone` tells
    that the engine was lost or does not know the run any more, as after a
    crash. `lost` is asked before the run is resumed.
    """

    engine: engines.Engine
    request_id: str
    verifier: streams.Verifier
    deadline: deadlines.Deadline
    metrics: metrics_module.GatewayMetrics
    has_lost_permit: t.Callable[[], bool] = lambda: False
    may_have_executed: bool = False
    is_lost: bool = False
    finished: bool = False
    _started: bool = False

    async def stream_events(
        self, source: t.AsyncGenerator[engines.TokenEvent, None]
    ) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the events of `source`, resuming the run where it broke.

        Only the first "started" event is passed on. Raises
        `exceptions.BackendRefused` and `exceptions.BackendUnreachable` only
        when the run has not begun, otherwise `exceptions.BackendFailed`.
        """
        resumes, progress = 0, self.verifier.offset
        while True:
            cause = exceptions.BackendFailed("the stream broke off")
            try:
                async for event in source:
                    self.may_have_executed = True
                    if self.has_lost_permit():
                        raise exceptions.BackendFailed("the permit lapsed")
                    if self._accept(event):
                        yield event
                        if self.finished:
                            return
            except exceptions.RoutingError as error:
                cause = self._judge(error, resumes)
            except (streams.EventGap, streams.StreamMismatch) as error:
                cause = exceptions.BackendFailed(str(error))
                self.verifier.mismatches = 0
                await _abandon(source, cause)
            finally:
                await source.aclose()
            if self.verifier.offset > progress:
                resumes, progress = 0, self.verifier.offset
            if resumes >= MAX_RESUMES or self.has_lost_permit():
                raise cause
            resumes += 1
            self.metrics.retries.labels("gap").inc()
            source = self.engine.resume(
                self.request_id, self.verifier.offset, self.deadline
            )

    def _accept(self, event: engines.TokenEvent) -> bool:
        if not self.verifier.accept(event):
            return False
        if event.kind == "started":
            repeated, self._started = self._started, True
            return not repeated
        self.finished = event.kind == "finished"
        return True

    def _judge(
        self, error: exceptions.RoutingError, resumes: int
    ) -> exceptions.BackendFailed:
        """Return the failure to resume after, or raise the final one."""
        if isinstance(error, exceptions.BackendFailed):
            self.may_have_executed = True
            return error
        if not resumes and not self.may_have_executed:
            raise error
        self.is_lost = True
        raise exceptions.BackendFailed(
            f"the run is gone: {error.message}"
        ) from error


async def _abandon(
    source: t.AsyncGenerator[engines.TokenEvent, None],
    error: exceptions.BackendFailed,
) -> None:
    """End a stream without a cancellation of its run.

    Closing the iterator would cancel the run, which is to be resumed.
    """
    with contextlib.suppress(exceptions.BackendFailed, StopAsyncIteration):
        await source.athrow(error)
