"""Generated behaviour of faulty and of silent servers."""

import asyncio
import contextlib
import functools
import os
import selectors
import time
import typing as t
import unittest
import unittest.mock

import aiohttp
import attrs
import hypothesis
from hypothesis import strategies

from sesamefold import exceptions
from standins import platform_engine
from standins import platform_fixtures
from standins import scripted_server
from tests import entry_fakes
from tests import test_exchanges

# Examples of each test; `make fuzz` sets more, and a seed.
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "150"))
SEED = int(os.environ.get("FUZZ_SEED", "0"))
# Time after which a caller leaves; scripts take less.
CALLER_SECONDS = 0.15
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES,
    derandomize=not SEED,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

# Texts that belong to no request, or to an earlier one.
FOREIGN_TEXTS = (
    test_exchanges.make_refusal("{earlier}"),
    test_exchanges.make_refusal("{earlier}", 421),
    test_exchanges.make_refusal(None),
    test_exchanges.make_answer("{earlier}", "answer to {earlier}"),
    test_exchanges.make_answer("other", "answer to nobody"),
    "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "\r\n",
    "spoiled",
    "0\r\n\r\n",
    "\x00\xff",
)
ANSWER = test_exchanges.ANSWER


CUTS = strategies.one_of(
    strategies.just((None, None)),
    strategies.integers(1, 200).map(lambda size: (None, size)),
    strategies.integers(1, 200).map(lambda size: (-size, None)),
)
PACES = strategies.tuples(
    strategies.sampled_from((0, 0, 7, 64)),
    strategies.sampled_from((0.0, 0.0, 0.005, 0.02)),
)


def make_step(text: str, cut: t.Any, pace: t.Any) -> scripted_server.Step:
    """Return a step that writes a part of a text at some pace."""
    return scripted_server.Step(
        text,
        start=cut[0],
        stop=cut[1],
        piece_bytes=pace[0],
        pause_seconds=pace[1],
    )


# The own answer is whole or the last bytes of its connection: other bytes
# within its length are its body for any reader.
STEPS = strategies.one_of(
    strategies.builds(
        make_step,
        strategies.just(ANSWER),
        strategies.just((None, None)),
        PACES,
    ),
    strategies.builds(
        make_step, strategies.sampled_from(FOREIGN_TEXTS), CUTS, PACES
    ),
)
# A server that ran a request never says itself that it did not.
RUN_SCRIPTS = strategies.one_of(
    strategies.builds(
        scripted_server.Script,
        strategies.lists(STEPS, max_size=4).map(tuple),
        closes=strategies.booleans(),
    ),
    strategies.integers(1, len(ANSWER) - 1).map(
        lambda size: scripted_server.Script(
            (scripted_server.Step(ANSWER, stop=size),), closes=True
        )
    ),
)
# Only the connection ends such an answer: a close as whole, a reset does not.
UNFRAMED = ANSWER.replace("Content-Length: 13\r\n", "")
UNFRAMED_SCRIPTS = strategies.one_of(
    PACES.map(
        lambda pace: scripted_server.Script(
            (make_step(UNFRAMED, (None, None), pace),), closes=True
        )
    ),
    strategies.integers(1, len(UNFRAMED) - 1).map(
        lambda size: scripted_server.Script(
            (scripted_server.Step(UNFRAMED, stop=size, pause_seconds=0.01),),
            resets=True,
        )
    ),
)
SOUND_SCRIPTS = strategies.sampled_from(
    (
        test_exchanges.script(ANSWER),
        test_exchanges.script(test_exchanges.OWN_REFUSAL, executes=False),
    )
)


class FaultyServerTest(unittest.TestCase):
    """A server that plays generated scripts, one for each request."""

    def test_no_request_gets_the_answer_of_another(self) -> None:
        """Checks each outcome against what the server did.

        A body is that of the request, "not executed" is true, and each
        attempt ends in time.
        """

        @hypothesis.seed(SEED)
        @SETTINGS
        @hypothesis.given(
            strategies.lists(
                strategies.one_of(
                    RUN_SCRIPTS, UNFRAMED_SCRIPTS, SOUND_SCRIPTS
                ),
                min_size=2,
                max_size=6,
            )
        )
        def check(scripts: t.List[scripted_server.Script]) -> None:
            asyncio.run(self.check_scripts(scripts))

        check()

    async def check_scripts(
        self, scripts: t.List[scripted_server.Script]
    ) -> None:
        """Play the scripts and check the outcome of each request."""
        async with test_exchanges.UpstreamRig() as rig:
            rig.server.scripts = list(scripts)
            for number in range(1, len(scripts) + 1):
                await self.check_request(rig, f"r-{number}")

    async def check_request(
        self, rig: test_exchanges.UpstreamRig, request_id: str
    ) -> None:
        """Send a request and check its outcome."""
        outcome: t.Any
        try:
            async with asyncio.timeout(CALLER_SECONDS):
                outcome = await rig.find_outcome(request_id)
        except TimeoutError:
            # Its caller leaves; the server wrote less than an answer.
            return
        if isinstance(outcome, bytes):
            self.assertEqual(f"answer to {request_id}".encode(), outcome)
        elif outcome is exceptions.NotExecuted:
            self.assertNotIn(request_id, rig.server.executed)
        else:
            self.assertTrue(issubclass(outcome, exceptions.ReplyBroken))


# Rate of the clocks of the tests of silent servers.
CLOCK_RATE = 5.0
# Examples of silent servers; each starts an entry host.
SILENCE_EXAMPLES = max(1, EXAMPLES // 6)
STREAM_EVENTS = 8
EVENT_SECONDS = 0.05
ROUTE_SECONDS = 6.0
SILENCES = strategies.tuples(
    strategies.integers(0, 8).map(lambda number: number / 10),
    strategies.integers(4, 25).map(lambda number: number / 10),
)
# What else happens to the second of two servers.
OTHER_SERVERS = strategies.sampled_from(("sound", "rest", "leaving", "gone"))
STREAM_PATHS = strategies.sampled_from(("/stream/x", "/resumable/x"))


class _FastSelector(selectors.DefaultSelector):
    """A selector that waits as long as its caller's clock is fast."""

    def select(self, timeout: t.Optional[float] = None) -> t.Any:
        """Return the events within `timeout` seconds of the fast clock."""
        return super().select(timeout and timeout / CLOCK_RATE)


@contextlib.contextmanager
def run_clocks_fast() -> t.Iterator[asyncio.Runner]:
    """Let the clocks run fast, and yield a runner with such a loop."""
    clocks = {
        name: functools.partial(
            lambda read, *clock: CLOCK_RATE * read(*clock), getattr(time, name)
        )
        for name in ("monotonic", "time", "clock_gettime")
    }
    with (
        unittest.mock.patch.multiple(time, **clocks),
        asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(_FastSelector())
        ) as runner,
    ):
        yield runner


@attrs.frozen
class SilencePlan:
    """Silences of two servers, and what else happens to the second one.

    Each silence has a start, in seconds after the first request, and a
    length. A stream is requested each 0.1 s, of the paths in turn.
    """

    silences: t.Tuple[t.Tuple[float, float], t.Tuple[float, float]]
    other_server: str
    other_at: float
    paths: t.Sequence[str]


class SilentServerTest(unittest.TestCase):
    """Sound servers that fall silent at generated times and go on."""

    def test_no_answer_is_ended_because_of_silence(self) -> None:
        """Guards against answers that are given up before their deadline.

        Each server would finish its streams in time. A request is answered
        whole, or it is refused and was not executed.
        """

        @hypothesis.seed(SEED)
        @hypothesis.settings(
            SETTINGS,
            max_examples=SILENCE_EXAMPLES,
            # Each step of a reduction would take a second.
            phases=[hypothesis.Phase.generate],
            report_multiple_bugs=False,
        )
        @hypothesis.given(
            strategies.builds(
                SilencePlan,
                strategies.tuples(SILENCES, SILENCES),
                OTHER_SERVERS,
                strategies.integers(0, 10).map(lambda number: number / 10),
                strategies.lists(STREAM_PATHS, min_size=1, max_size=8),
            )
        )
        def check(plan: SilencePlan) -> None:
            with run_clocks_fast() as runner:
                runner.run(self.check_plan(plan))

        check()

    async def check_plan(self, plan: SilencePlan) -> None:
        """Play a plan and check the outcome of each request."""
        case = entry_fakes.EntryHostCase()
        # The start of a host takes as much processor time as ever.
        wait_until = functools.partial(
            case.wait_until, seconds=5.0 * CLOCK_RATE
        )
        with unittest.mock.patch.object(case, "wait_until", wait_until):
            await case.asyncSetUp()
        try:
            configuration = platform_fixtures.make_configuration(2)
            for route in configuration["routes"]:
                route["timeout_ms"] = 1000 * ROUTE_SECONDS
            case.store.put("op/config", configuration)
            await case.wait_until(
                lambda: case.host.catalog.require_configuration().version == 2
            )
            tasks = [
                asyncio.create_task(self.check_request(case, number, path))
                for number, path in enumerate(plan.paths)
            ]
            for engine, silence in zip(case.engines, plan.silences):
                engine.stream_events = STREAM_EVENTS
                engine.event_seconds = EVENT_SECONDS
                tasks.append(asyncio.create_task(_silence(engine, *silence)))
            await asyncio.sleep(plan.other_at)
            _change_server(case, plan.other_server)
            await asyncio.gather(*tasks)
        finally:
            await case.stack.aclose()

    async def check_request(
        self, case: entry_fakes.EntryHostCase, number: int, path: str
    ) -> None:
        """Send a request and check its outcome."""
        await asyncio.sleep(number * 0.1)
        request_id = f"r-{number}"
        try:
            status, _, body = await case.call(
                path,
                request_id,
                headers={
                    "Sesamefold-Model": platform_fixtures.MODEL,
                    "Sesamefold-Token-Usage": f"10,{STREAM_EVENTS}",
                    "Sesamefold-Deadline-Ms": str(int(1000 * ROUTE_SECONDS)),
                },
            )
        except aiohttp.ClientError as error:
            self.fail(f"the answer to {request_id} was cut: {error!r}")
        if status == 503:
            runs = [run.request_id for run in case.list_runs()]
            self.assertNotIn(request_id, runs)
            return
        self.assertEqual(200, status)
        self.assertEqual(
            b"".join(
                b"id: %d\ndata: x\n\n" % event
                for event in range(1, STREAM_EVENTS + 1)
            ),
            body,
        )


async def _silence(
    engine: platform_engine.PlatformEngine, start: float, seconds: float
) -> None:
    await asyncio.sleep(start)
    engine.silent_until = time.monotonic() + seconds


def _change_server(case: entry_fakes.EntryHostCase, change: str) -> None:
    """Let the second server ask for rest, leave, or be gone for new work."""
    engine = case.engines[1]
    if change == "rest":
        engine.faults = ["rest"] * 10
    elif change == "leaving":
        engine.leaving = platform_engine.LEAVING_VALUE
    elif change == "gone":
        case.store.remove(f"servers/{engine.id}")
