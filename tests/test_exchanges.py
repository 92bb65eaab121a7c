"""Tests of answers that belong to no request, at both interfaces."""

import asyncio
import json
import time
import typing as t
import unittest
import unittest.mock

import multidict

from sesamefold import deadline as deadlines
from sesamefold import engines
from sesamefold.entry import requests
from sesamefold.entry import upstream
from sesamefold import exceptions
from sesamefold import exchanges
from sesamefold.platform import headers
from sesamefold import transport
from standins import scripted_server
from tests import entry_fakes

ID_HEADER = "Sesamefold-Request-Id"
# Longest time that an attempt may take whose server sends no answer. Its
# deadline is much later.
GIVE_UP_SECONDS = 5.0


def make_answer(
    request_id: str = "{id}", body: str = "answer to {id}", extra: str = ""
) -> str:
    """Return an answer of the users' engines; `body` may name a request."""
    size = len(body.replace("{id}", "r-1").replace("{earlier}", "r-1"))
    return (
        "HTTP/1.1 200 OK\r\nSesamefold-Response-Seal: seal\r\n"
        f"{ID_HEADER}: {request_id}\r\n{extra}"
        f"Content-Length: {size}\r\n\r\n{body}"
    )


def make_refusal(request_id: t.Optional[str], status: int = 503) -> str:
    """Return a statement that a request was not executed."""
    name = "" if request_id is None else f"{ID_HEADER}: {request_id}\r\n"
    return (
        f"HTTP/1.1 {status} Refused\r\nSesamefold-Not-Executed: 1\r\n"
        f"{name}Content-Length: 2\r\n\r\nno"
    )


ANSWER = make_answer()
OWN_REFUSAL = make_refusal("{id}")
STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nSesamefold-Response-Seal: seal\r\n"
    f"{ID_HEADER}: {{id}}\r\nTransfer-Encoding: chunked\r\n"
)


NO_CONTENT = (
    "HTTP/1.1 204 No Content\r\nSesamefold-Response-Seal: seal\r\n"
    f"{ID_HEADER}: {{id}}\r\n"
)


def make_length_first() -> str:
    """Return an answer whose head begins with its length."""
    return ANSWER.replace("Content-Length: 13\r\n", "").replace(
        "\r\n", "\r\nContent-Length: 13\r\n", 1
    )


def script(
    *texts: str, executes: bool = True, closes: bool = False, **step: t.Any
) -> t.Any:
    """Return a script with a step for each text."""
    return scripted_server.Script(
        tuple(scripted_server.Step(text, **step) for text in texts),
        executes,
        closes,
    )


class UpstreamRig:
    """A client of the users' engines and a server that plays scripts."""

    def __init__(self) -> None:
        self.server = scripted_server.ScriptedServer(ID_HEADER)
        self.strays: t.List[exchanges.StrayAnswer] = []
        self.heads: t.List[requests.ReplyHead] = []

    async def __aenter__(self) -> "t.Self":
        await self.server.__aenter__()
        self.session = upstream.make_session(self.strays.append)
        self.client = upstream.UpstreamClient(
            self.session, headers.HeaderCodec()
        )
        return self

    async def __aexit__(self, *exc_info: t.Any) -> None:
        await self.session.close()
        await self.server.__aexit__()

    async def send(self, request_id: str, body: bytes = b"x") -> bytes:
        """Send a request and return the body of its answer."""
        head = requests.RequestHead(
            request_id, multidict.CIMultiDict({ID_HEADER: request_id})
        )
        route: t.Any = None
        call = requests.Call(
            head, route, "chat", None, "POST", "/", body, 0.0, 60.0
        )
        server = entry_fakes.make_server("i-1", address=self.server.address)
        added = requests.AddedHeaders("i-1", 5.0, None, 0)
        async with asyncio.timeout(GIVE_UP_SECONDS):
            async with self.client.send(
                server, call, added, self.heads.append
            ) as reply:
                return await reply.read_body()

    async def find_outcome(self, request_id: str, body: bytes = b"x") -> t.Any:
        """Return the body of the answer or the class of the error."""
        try:
            return await self.send(request_id, body)
        except exceptions.RoutingError as error:
            return type(error)


class UpstreamCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a rig."""

    async def asyncSetUp(self) -> None:
        """Start the server and open the session."""
        self.rig = await self.enterAsyncContext(UpstreamRig())
        self.server, self.strays = self.rig.server, self.rig.strays

    async def find_outcome(self, request_id: str) -> t.Any:
        """Return the body of the answer or the class of the error."""
        return await self.rig.find_outcome(request_id)

    async def play(
        self, *scripts: t.Any, pause: float = 0.05
    ) -> t.List[t.Any]:
        """Return the outcomes of a request for each script, one by one."""
        self.server.scripts = list(scripts)
        outcomes = []
        for number in range(1, len(scripts) + 1):
            outcomes.append(await self.find_outcome(f"r-{number}"))
            await asyncio.sleep(pause)
        return outcomes


class StrayAnswerTest(UpstreamCase):
    """Answers to other requests on kept connections."""

    async def test_earlier_refusal_in_place_of_an_answer_proves_nothing(
        self,
    ) -> None:
        """Guards against "not executed" for a request that has run.

        The server runs the second request and then writes the refusal of the
        first once more, with its id or without one.
        """
        for repeated in (
            make_refusal("{earlier}"),
            make_refusal(None),
            make_refusal("{earlier}", 421),
            make_refusal(None, 421),
            make_refusal("{earlier}") * 2,
            make_refusal("{earlier}") + ANSWER,
        ):
            with self.subTest(repeated=repeated):
                outcomes = await self.play(
                    script(OWN_REFUSAL, executes=False), script(repeated)
                )
                self.assertEqual(
                    [exceptions.NotExecuted, exceptions.ForeignReply], outcomes
                )
        self.assertEqual({1220}, {stray.code for stray in self.strays})

    async def test_cut_refusal_does_not_join_the_answer_behind_it(
        self,
    ) -> None:
        """Guards against fields of an earlier head in the head of an answer.

        The server begins to repeat the refusal, breaks off within a field or
        the status line and then writes the answer.
        """
        refusal = make_refusal("{earlier}")
        for size in range(1, len(refusal)):
            if refusal[:size].endswith("\r\n\r\n"):
                break
            with self.subTest(size=size):
                outcomes = await self.play(
                    script(OWN_REFUSAL, executes=False),
                    script(refusal[:size] + ANSWER),
                    pause=0.0,
                )
                self.assertTrue(
                    issubclass(outcomes[1], exceptions.ReplyBroken), outcomes
                )

    async def test_refusal_with_the_id_of_its_request_is_believed(
        self,
    ) -> None:
        """Guards against retries that are not made for lack of proof."""
        outcomes = await self.play(
            *(
                script(make_refusal("{id}", status), executes=False)
                for status in (503, 429, 421, 400)
            )
        )
        self.assertEqual([exceptions.NotExecuted] * 4, outcomes)
        self.assertEqual(1, self.server.connections)

    async def test_head_of_each_answer_to_the_request_is_observed(
        self,
    ) -> None:
        """Guards against notices of servers that are read from successes only.

        The answers are whole, refused, cut off and that to another request.
        """
        extra = "Server-Leaving: 1\r\n"
        refusal = make_refusal("{id}").replace("\r\n", f"\r\n{extra}", 1)
        await self.play(
            script(make_answer(extra=extra)),
            script(refusal, executes=False),
            scripted_server.Script(
                (scripted_server.Step(make_answer(extra=extra)[:-3]),),
                closes=True,
            ),
            script(make_answer("{earlier}", extra=extra)),
        )
        self.assertEqual(
            [(200, True), (503, True), (200, True)],
            [(head.status, head.leaving) for head in self.rig.heads],
        )

    async def test_late_copy_is_not_the_answer_to_the_next_request(
        self,
    ) -> None:
        """Guards against an answer that is another caller's.

        The copy comes at once, before the next request, in its place or in
        pieces across both.
        """
        copy = make_answer("{earlier}", "answer to {earlier}")
        own = b"answer to r-2"
        table = (
            ("at once", (ANSWER + ANSWER,), ANSWER, own),
            ("head first", (ANSWER[:80], ANSWER[80:] + ANSWER), ANSWER, own),
            ("before the next", (ANSWER, ANSWER), ANSWER, own),
            ("in its place", (ANSWER,), copy + ANSWER, None),
            ("instead of it", (ANSWER,), copy, None),
            ("after it", (ANSWER,), ANSWER + copy, own),
        )
        for name, first, second, expected in table:
            with self.subTest(name):
                outcomes = await self.play(
                    script(*first, pause_seconds=0.02), script(second)
                )
                self.assertEqual(b"answer to r-1", outcomes[0])
                self.assertEqual(
                    expected or exceptions.ForeignReply, outcomes[1]
                )

    async def test_half_of_a_copy_behind_an_answer_harms_no_other(
        self,
    ) -> None:
        """Guards against the rest of a copy that becomes an answer."""
        for size in (1, 20, len(ANSWER) - 3):
            outcomes = await self.play(
                script(ANSWER + ANSWER[:size]), script(ANSWER[size:] + ANSWER)
            )
            self.assertEqual(b"answer to r-1", outcomes[0])
            self.assertIn(
                outcomes[1],
                (
                    b"answer to r-2",
                    exceptions.ReplyBroken,
                    exceptions.ForeignReply,
                ),
            )

    async def test_bytes_behind_an_answer_do_not_spoil_it(self) -> None:
        """Guards against the loss of an answer that is whole."""
        for extra in ("spoiled", "HTTP/1.1 999\r\n\r\n", "\r\n\r\n", "0"):
            with self.subTest(extra=extra):
                outcomes = await self.play(
                    script(ANSWER + extra), script(ANSWER + extra)
                )
                self.assertEqual(
                    [b"answer to r-1", b"answer to r-2"], outcomes
                )

    async def test_id_is_not_sent_twice_on_a_connection(self) -> None:
        """Guards against a copy that bears the id of a repeated request."""
        self.server.scripts = [
            script(OWN_REFUSAL, executes=False),
            script(ANSWER),
        ]
        self.assertEqual(
            exceptions.NotExecuted, await self.find_outcome("r-1")
        )
        self.assertEqual(b"answer to r-1", await self.find_outcome("r-1"))
        self.assertEqual(2, self.server.connections)

    async def test_connection_with_stray_bytes_is_closed_and_reported(
        self,
    ) -> None:
        """Guards against a pooled connection that holds an old answer."""
        self.server.scripts = [
            script(ANSWER, make_refusal("{id}"), pause_seconds=0.02),
            script(ANSWER),
        ]
        await self.find_outcome("r-1")
        await asyncio.sleep(0.1)
        self.assertEqual(1, self.server.closed_by_peer)
        (stray,) = self.strays
        self.assertEqual(self.server.address, stray.address)
        self.assertEqual((1, None), (stray.exchanges, stray.request_id))
        await self.find_outcome("r-2")
        self.assertEqual(2, self.server.connections)

    async def test_sound_server_keeps_its_connection(self) -> None:
        """Guards against a check that costs new connections."""
        await self.play(*[script(ANSWER, piece_bytes=40)] * 9, pause=0.0)
        self.assertEqual(1, self.server.connections)
        self.assertEqual([], self.strays)

    # Guards against the answer of a server in trouble that callers would get
    # as one: the HTTP client takes any status of three digits for final.
    async def test_answer_without_a_valid_status_is_no_answer(self) -> None:
        for status in ("000", "099"):
            with self.subTest(status=status):
                text = make_answer().replace("200 OK", f"{status} OK")
                self.assertEqual(
                    [exceptions.ForeignReply], await self.play(script(text))
                )
                self.assertEqual(
                    "the answer has no valid status", self.strays[-1].reason
                )

    async def test_switch_to_another_protocol_is_no_answer(self) -> None:
        """Guards against a reply that hands the connection over."""
        (outcome,) = await self.play(
            script(
                "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\n"
                f"Upgrade: x\r\n{ID_HEADER}: {{id}}\r\n\r\nbytes"
            )
        )
        self.assertEqual(exceptions.ForeignReply, outcome)


class LostConnectionTest(unittest.TestCase):
    """Connections that are lost as soon as they are made."""

    def test_connection_without_a_peer_is_taken_over(self) -> None:
        """Guards against an error of this process for one of the server."""
        connection = unittest.mock.Mock()
        connection.get_extra_info.return_value = None
        carrier = exchanges._Carrier(
            connection, None, lambda stray: None, memoryview(bytearray(1))
        )
        self.assertEqual("unknown:0", carrier.address)


class EndlessBytesTest(UpstreamCase):
    """Bytes without end, which no answer is made of."""

    async def test_endless_bytes_end_the_attempt_and_the_connection(
        self,
    ) -> None:
        """Guards against an attempt that takes memory or time without end.

        Each case has the bytes that come first and those that are repeated
        until the caller closes.
        """
        chunked = STREAM_HEAD + "\r\n"
        sized = f"{ANSWER.partition('Content-Length')[0]}Content-Length: "
        table = (
            ("status line", "HTTP/1.1 200 ", "x"),
            ("header", "HTTP/1.1 200 OK\r\nX: ", "x"),
            ("headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
            ("blank lines", "", "\r\n"),
            ("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
            ("chunk size", chunked, "0"),
            ("chunk extension", chunked + "5;", "x"),
            ("trailers", chunked + "0\r\n", "X: y\r\n"),
            ("body with a length", sized + "99999999999\r\n\r\n", "x"),
            ("chunks", chunked, "5\r\nabcde\r\n"),
            ("smallest chunks", chunked, "1\r\nx\r\n"),
            ("body without a length", sized[:-16] + "\r\n", "x"),
        )
        for name, first, repeated in table:
            with self.subTest(name):
                started_at = time.monotonic()
                closed = self.server.closed_by_peer
                self.server.scripts = [
                    scripted_server.Script(
                        (
                            scripted_server.Step(first),
                            scripted_server.Step(
                                repeated * 4096, endless=True
                            ),
                        )
                    )
                ]
                outcome = await self.find_outcome("r-1")
                self.assertTrue(
                    issubclass(outcome, exceptions.ReplyBroken), outcome
                )
                self.assertLess(time.monotonic() - started_at, GIVE_UP_SECONDS)
                async with asyncio.timeout(GIVE_UP_SECONDS):
                    while self.server.closed_by_peer == closed:
                        await asyncio.sleep(0.01)

    async def test_small_chunks_of_a_sound_answer_are_whole(self) -> None:
        """Guards against a bound on framing that hits sound servers.

        Large bodies come in chunks of 128 bytes, and events in one each.
        """
        for text, count in (("x" * 128, 60_000), ("id: 1\ndata: x\n\n", 8000)):
            chunk = f"{len(text):x}\r\n{text}\r\n"
            with self.subTest(text=text):
                self.server.scripts = [
                    scripted_server.Script(
                        (
                            scripted_server.Step(f"{STREAM_HEAD}\r\n"),
                            scripted_server.Step(
                                chunk * 100, repeat=count // 100
                            ),
                            scripted_server.Step("0\r\n\r\n"),
                        )
                    )
                ]
                outcome = await self.find_outcome("r-1")
                self.assertEqual(text.encode() * count, outcome)

    async def test_endless_bytes_behind_an_answer_leave_it_whole(
        self,
    ) -> None:
        """Guards against a connection that is read after its answer."""
        self.server.scripts = [
            scripted_server.Script(
                (
                    scripted_server.Step(ANSWER),
                    scripted_server.Step("x" * 4096, endless=True),
                )
            )
        ]
        self.assertEqual(b"answer to r-1", await self.find_outcome("r-1"))
        async with asyncio.timeout(GIVE_UP_SECONDS):
            while not self.server.closed_by_peer:
                await asyncio.sleep(0.01)


class CutAnswerTest(UpstreamCase):
    """Servers that stop within an answer and close the connection."""

    async def test_answer_cut_at_any_byte_is_broken(self) -> None:
        """Guards against an empty or short answer that counts as whole.

        Each answer is cut at each of its bytes, as the first one of its
        connection and as a later one. Of an answer whose end is the close of
        its connection, only the head is cut.
        """
        unframed = ANSWER.replace("Content-Length: 13\r\n", "")
        chunked = f"{STREAM_HEAD}\r\n5\r\nabcde\r\n0\r\n\r\n"
        for name, answer, end in (
            ("length", ANSWER, ""),
            ("length first", make_length_first(), ""),
            ("chunks", chunked, "\r\n\r\n"),
            ("close", unframed, "answer to {id}"),
            ("no body", f"{NO_CONTENT}\r\n", ""),
            ("refusal", OWN_REFUSAL, ""),
        ):
            stop = len(answer.removesuffix(end).replace("{id}", "r-1"))
            for size in range(stop):
                cut = script(answer, stop=size, closes=True)
                with self.subTest(name, size=size):
                    for scripts in ([cut], [script(ANSWER), cut]):
                        outcome = (await self.play(*scripts, pause=0.0))[-1]
                        self.assertTrue(
                            isinstance(outcome, type)
                            and issubclass(outcome, exceptions.ReplyBroken),
                            outcome,
                        )


class EarlyAnswerTest(UpstreamCase):
    """Answers without a length that come before the request is complete."""

    UPLOAD = bytes(300_000)
    SUCCESS = make_answer().replace("Content-Length: 13\r\n", "")
    FAILURE = SUCCESS.replace("200 OK", "413 Too Large")

    async def get_outcome(self, text: str, **script: t.Any) -> t.Any:
        """Return the body or the error of a request with a long body."""
        self.server.scripts = [
            scripted_server.Script((scripted_server.Step(text),), **script)
        ]
        return await self.rig.find_outcome("r-1", self.UPLOAD)

    async def test_part_before_a_reset_is_no_answer(self) -> None:
        outcome = await self.get_outcome(self.SUCCESS, early=True, resets=True)
        self.assertIs(exceptions.ReplyBroken, outcome)

    # Guards against a part that is taken for a whole answer (MIXED): a server
    # that closes with a part of the request on its way sends the end of its
    # answer first, and a reset for each further part.
    async def test_part_before_an_end_and_a_reset_is_no_answer(self) -> None:
        outcome = await self.get_outcome(
            self.SUCCESS, early=True, half_closes=True, resets=True
        )
        self.assertIs(exceptions.ReplyBroken, outcome)

    async def test_answer_after_the_whole_request_is_whole(self) -> None:
        for script in ({"closes": True}, {"half_closes": True}):
            with self.subTest(**script):
                outcome = await self.get_outcome(self.SUCCESS, **script)
                self.assertEqual(b"answer to r-1", outcome)
                self.assertFalse(self.strays)

    async def test_early_failure_is_passed_on(self) -> None:
        outcome = await self.get_outcome(
            self.FAILURE, early=True, half_closes=True
        )
        self.assertEqual(b"answer to r-1", outcome)


class OwnEnginesTest(unittest.IsolatedAsyncioTestCase):
    """The same reports before engines of the product's own interface."""

    async def asyncSetUp(self) -> None:
        """Start the server and open the session."""
        self.server = await self.enterAsyncContext(
            scripted_server.ScriptedServer(transport.EXCHANGE_HEADER)
        )
        self.session = await self.enterAsyncContext(transport.make_session())
        self.engine = engines.HttpEngine(
            self.session, self.server.address, idle_seconds=0.3
        )

    async def run_prompt(self, *scripts: t.Any) -> t.Any:
        """Return the class of the error that ends the last of the runs."""
        self.server.scripts = list(scripts)
        outcome: t.Any = None
        for _ in scripts:
            request = engines.CompletionRequest(
                request_id="r-1",
                model="m",
                weight_version="v1",
                prompt="p",
                max_tokens=1,
                cache_salt="",
                seed=1,
                deadline=deadlines.Deadline.after(GIVE_UP_SECONDS),
            )
            try:
                outcome = [e async for e in self.engine.complete(request)]
            except exceptions.RoutingError as error:
                outcome = type(error)
        return outcome

    def make_own_refusal(self, name: str) -> str:
        """Return a refusal before execution; `name` is its id."""
        return (
            "HTTP/1.1 503 Refused\r\nSesamefold-Executed: no\r\n"
            f"{name}Content-Length: 2\r\n\r\n{{}}"
        )

    async def test_earlier_refusal_proves_nothing(self) -> None:
        """Guards against "not executed" for a run that began."""
        header = transport.EXCHANGE_HEADER
        refusal = script(
            self.make_own_refusal(f"{header}: {{id}}\r\n"), executes=False
        )
        self.assertEqual(
            exceptions.BackendRefused, await self.run_prompt(refusal, refusal)
        )
        for name in (f"{header}: {{earlier}}\r\n", ""):
            self.assertEqual(
                exceptions.BackendFailed,
                await self.run_prompt(
                    refusal, script(self.make_own_refusal(name))
                ),
            )

    async def test_stream_cut_at_any_byte_is_broken(self) -> None:
        """Guards against a short answer that counts as whole."""
        event = {"request_id": "r-1", "weight_version": "v1"}
        chunks = [
            f"{len(line):x}\r\n{line}\r\n"
            for line in (
                f"data: {json.dumps({**event, **fields})}\n\n"
                for fields in (
                    {"kind": "started", "offset": 0},
                    {"kind": "token", "offset": 1, "text": "a"},
                    {"kind": "finished", "offset": 1},
                )
            )
        ]
        head = (
            f"HTTP/1.1 200 OK\r\n{transport.EXCHANGE_HEADER}: {{id}}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        answer = head + "".join(chunks)
        outcome = await self.run_prompt(script(f"{answer}0\r\n\r\n"))
        self.assertEqual(3, len(outcome))
        # The id is longer than its place, and the last line of the stream is
        # blank.
        size = len(answer.replace("{id}", "0" * 32)) - len("}\n\n\r\n")
        for stop in range(size):
            with self.subTest(stop=stop):
                outcome = await self.run_prompt(
                    script(answer, stop=stop, closes=True)
                )
                self.assertEqual(exceptions.BackendFailed, outcome)

    async def test_malformed_reports_are_errors_of_the_engine(self) -> None:
        """Guards against an engine's report that ends the polling of all."""
        sound = {
            "epoch": "e",
            "cold": False,
            "leaving": False,
            "running": 1,
            "queued": 0,
            "limit": 8,
            "versions": ["m@v1"],
            "role": "serve",
            "measured_at": 1.5,
        }
        head = f"HTTP/1.1 200 OK\r\n{transport.EXCHANGE_HEADER}: {{id}}\r\n"

        async def fetch(text: str) -> engines.Load:
            self.server.scripts = [
                script(f"{head}Content-Length: {len(text)}\r\n\r\n{text}")
            ]
            return await self.engine.fetch_load(
                deadlines.Deadline.after(GIVE_UP_SECONDS)
            )

        load = await fetch(json.dumps(sound))
        self.assertEqual(("m@v1",), load.versions)
        await fetch(json.dumps({**sound, "measured_at": 1, "later": {}}))
        values = (
            "null",
            '"x"',
            "-1",
            "1e400",
            "NaN",
            "9" * 400,
            str(2**32),
            "true",
            "[]",
            "[7]",
            '["\\ud800"]',
            "{}",
        )
        texts = [
            json.dumps({**sound, name: "@"}).replace('"@"', value)
            for name in sound
            for value in values
            if (name, value)
            not in {
                *((name, "true") for name in ("cold", "leaving")),
                *((name, '"x"') for name in ("epoch", "role")),
                ("versions", "[]"),
                ("measured_at", "-1"),
                ("measured_at", str(2**32)),
            }
        ]
        for text in (*texts, "[]", "7", "null", "{}", "[" * 5000):
            with self.subTest(text=text[-300:]):
                with self.assertRaises(exceptions.BackendFailed):
                    await fetch(text)

    async def test_trickled_bytes_are_no_line(self) -> None:
        """Guards against a stalled stream that single bytes keep open."""
        head = (
            f"HTTP/1.1 200 OK\r\n{transport.EXCHANGE_HEADER}: {{id}}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        trickle = [scripted_server.Step("1\r\n:\r\n", pause_seconds=0.1)] * 100
        started_at = time.monotonic()
        outcome = await self.run_prompt(
            scripted_server.Script((scripted_server.Step(head), *trickle))
        )
        self.assertEqual(exceptions.BackendSilent, outcome)
        self.assertLess(time.monotonic() - started_at, 2.0)
