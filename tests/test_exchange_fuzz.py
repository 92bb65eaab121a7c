"""Generated behaviour of faulty servers on kept connections."""

import asyncio
import os
import typing as t
import unittest

import hypothesis
from hypothesis import strategies

from sesamefold import exceptions
from standins import scripted_server
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
                strategies.one_of(RUN_SCRIPTS, SOUND_SCRIPTS),
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
