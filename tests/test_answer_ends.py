"""Tests of answers with neither a length nor chunks, at both interfaces.

Such an answer ends with its connection, whether it is whole or not.
"""

import asyncio
import json
import typing as t
import unittest

import aiohttp

from sesamefold import deadline as deadlines
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import transport
from standins import platform_fixtures
from standins import scripted_server
from tests import entry_fakes
from tests import test_calls

HEAD = (
    "HTTP/1.1 {status}\r\nSesamefold-Request-Id: {{id}}\r\n"
    "{fields}Connection: close\r\n\r\n"
)
SEAL = "Sesamefold-Response-Seal: seal\r\n"
PLAIN = HEAD.format(status="200 OK", fields=SEAL)
STREAM = HEAD.format(
    status="200 OK", fields=f"{SEAL}Content-Type: text/event-stream\r\n"
)
FAILURE = HEAD.format(status="500 Failed", fields=SEAL)
REFUSAL = HEAD.format(
    status="503 Full", fields="Sesamefold-Not-Executed: 1\r\n"
)
EVENTS = tuple(f"id: {n}\ndata: x\n\n" for n in (1, 2, 3))
WHOLE = "".join(EVENTS)
CLOSE: t.Dict[str, bool] = {"closes": True}
RESET: t.Dict[str, bool] = {"closes": True, "resets": True}
# Lets the bytes before a reset arrive.
PAUSE_SECONDS = 0.05
CUT = "CUT"


def make_script(
    *texts: str, pause_seconds: float = PAUSE_SECONDS, **end: bool
) -> scripted_server.Script:
    """Return a script that writes the texts and ends the connection."""
    return scripted_server.Script(
        tuple(
            scripted_server.Step(text, pause_seconds=pause_seconds)
            for text in texts
        ),
        **end,
    )


class EntryAnswerTest(entry_fakes.EntryHostCase):
    """An entry host whose two servers play scripts."""

    async def asyncSetUp(self) -> None:
        """Replace the servers."""
        await super().asyncSetUp()
        self.servers = []
        for number in range(2):
            server = await self.enterAsyncContext(
                scripted_server.ScriptedServer("Sesamefold-Request-Id")
            )
            self.servers.append(server)
            self.put_server_entry(f"i-{number}", server.address, born=2)
        await self.wait_until(
            lambda: {s.address for s in self.servers}
            == {s.address for s in self.host.catalog.servers.values()}
        )

    async def get_outcome(
        self, path: str, *scripts: scripted_server.Script
    ) -> t.Tuple[int, str, int]:
        """Return the status and the body of a response, and the runs.

        Each attempt plays the next script, on whichever server. The body ends
        with `CUT` if the response breaks off.
        """
        queue = list(scripts)
        for server in self.servers:
            server.scripts = queue
            server.executed.clear()
        prompt = {
            "Sesamefold-Model": platform_fixtures.MODEL,
            "Sesamefold-Token-Usage": "900,80",
            "Sesamefold-Prompt-Prefix": "aa:400,bb:300,cc:200",
        }
        address = ":".join(map(str, self.settings.listen_address))
        self.number = getattr(self, "number", 0) + 1
        received = b""
        async with self.caller.post(
            f"http://{address}{path}",
            headers={
                "Host": platform_fixtures.ROUTE_HOST,
                "Sesamefold-Request-Id": f"r-{self.number}",
                "Sesamefold-Deadline-Ms": "2000",
                "Api-Key": platform_fixtures.API_KEY,
                **(prompt if path in ("/stream/", "/resumable/") else {}),
            },
        ) as response:
            try:
                async for chunk in response.content.iter_any():
                    received += chunk
            except aiohttp.ClientError:
                received += CUT.encode()
        runs = sum(len(server.executed) for server in self.servers)
        return response.status, received.decode(), runs

    async def test_plain_answer_that_its_connection_ends_is_whole(
        self,
    ) -> None:
        for name, texts in (
            ("at once", [f"{PLAIN}answer"]),
            ("in pieces", [PLAIN, "ans", "wer"]),
            ("HTTP/1.0", [f"{PLAIN}answer".replace("1.1", "1.0", 1)]),
        ):
            for path in ("/safe/", "/unsafe/"):
                with self.subTest(name, path=path):
                    outcome = await self.get_outcome(
                        path, make_script(*texts, **CLOSE)
                    )
                    self.assertEqual((200, "answer", 1), outcome)

    async def test_plain_answer_without_a_body_is_whole(self) -> None:
        outcome = await self.get_outcome(
            "/unsafe/", make_script(PLAIN, **CLOSE)
        )
        self.assertEqual((200, "", 1), outcome)

    async def test_plain_answer_that_is_reset_is_not_passed_on(self) -> None:
        """Guards against half an answer that looks whole to a caller."""
        whole = make_script(f"{PLAIN}answer", **CLOSE)
        for texts in ([PLAIN], [f"{PLAIN}ans"], [PLAIN, "ans", "wer"]):
            reset = make_script(*texts, **RESET)
            with self.subTest(texts=texts):
                outcome = await self.get_outcome("/unsafe/", reset)
                self.assertEqual((502, 1), outcome[::2])
                outcome = await self.get_outcome("/safe/", reset, whole)
                self.assertEqual((200, "answer", 2), outcome)

    async def test_plain_answer_that_does_not_end_fails_at_the_deadline(
        self,
    ) -> None:
        endless = make_script(f"{PLAIN}ans", pause_seconds=3.0, **CLOSE)
        status, _, runs = await self.get_outcome("/unsafe/", endless)
        self.assertEqual((504, 1), (status, runs))

    async def test_failure_is_passed_on_whole_or_not_at_all(self) -> None:
        outcome = await self.get_outcome(
            "/unsafe/", make_script(f"{FAILURE}failed", **CLOSE)
        )
        self.assertEqual((500, "failed", 1), outcome)
        outcome = await self.get_outcome(
            "/unsafe/", make_script(f"{FAILURE}fai", **RESET)
        )
        self.assertEqual((502, '{"code":1216}', 1), outcome)

    async def test_failure_of_a_run_is_not_passed_on_as_a_refusal(
        self,
    ) -> None:
        """Guards against a request that runs twice because its caller is told
        that it has not run.
        """
        for status in ("408 Late", "429 Busy", "503 Failed"):
            failure = make_script(
                HEAD.format(status=status, fields=SEAL) + "failed", **CLOSE
            )
            for path in ("/unsafe/", "/stream/"):
                with self.subTest(status, path=path):
                    outcome = await self.get_outcome(path, failure)
                    self.assertEqual((502, '{"code":1216}', 1), outcome)
            for path in ("/safe/", "/resumable/"):
                with self.subTest(status, path=path):
                    outcome = await self.get_outcome(path, failure, failure)
                    self.assertEqual((502, '{"code":1216}', 2), outcome)

    async def test_refusal_lets_the_request_run_elsewhere(self) -> None:
        refusal = scripted_server.Script(
            (scripted_server.Step(f"{REFUSAL}full"),),
            executes=False,
            closes=True,
        )
        outcome = await self.get_outcome(
            "/unsafe/", refusal, make_script(f"{PLAIN}answer", **CLOSE)
        )
        self.assertEqual((200, "answer", 1), outcome)

    async def test_stream_that_its_connection_ends_is_whole(self) -> None:
        for name, texts in (
            ("at once", [STREAM + WHOLE]),
            ("by event", [STREAM, *EVENTS]),
            ("in pieces", [STREAM + WHOLE[:5], WHOLE[5:20], WHOLE[20:]]),
            ("a further blank line", [f"{STREAM}{WHOLE}\n"]),
            ("returns", [STREAM + WHOLE.replace("\n", "\r\n")]),
        ):
            for path in ("/stream/", "/resumable/"):
                with self.subTest(name, path=path):
                    status, body, runs = await self.get_outcome(
                        path, make_script(*texts, **CLOSE)
                    )
                    self.assertEqual((200, 1), (status, runs))
                    self.assertEqual(
                        WHOLE, body.replace("\r\n", "\n").rstrip("\n") + "\n\n"
                    )

    async def test_stream_that_ends_inside_an_event_is_broken(self) -> None:
        """Guards against a short stream that looks whole to a caller.

        A resumable one goes on after the last whole event; of another one,
        the caller's connection ends without the end of the body.
        """
        second = len(EVENTS[0] + EVENTS[1])
        rest = make_script(STREAM + EVENTS[2], **CLOSE)
        for size in range(second + 1, len(WHOLE)):
            for end in (CLOSE, RESET):
                cut = make_script(STREAM + WHOLE[:size], **end)
                with self.subTest(size=size, end=end):
                    outcome = await self.get_outcome("/resumable/", cut, rest)
                    self.assertEqual((200, WHOLE, 2), outcome)
                    outcome = await self.get_outcome("/stream/", cut)
                    self.assertEqual(
                        (200, EVENTS[0] + EVENTS[1] + CUT, 1), outcome
                    )

    async def test_stream_that_is_reset_after_an_event_is_broken(self) -> None:
        """Guards against a reset that counts as the end of a stream."""
        reset = make_script(STREAM + EVENTS[0] + EVENTS[1], **RESET)
        rest = make_script(STREAM + EVENTS[2], **CLOSE)
        outcome = await self.get_outcome("/resumable/", reset, rest)
        self.assertEqual((200, WHOLE, 2), outcome)
        outcome = await self.get_outcome("/stream/", reset)
        self.assertEqual((200, EVENTS[0] + EVENTS[1] + CUT, 1), outcome)

    async def test_stream_without_an_event_is_broken(self) -> None:
        """Guards against a crashed server whose empty stream looks whole.

        It would also clear its request of the crash.
        """
        for end in (CLOSE, RESET):
            empty = make_script(STREAM, **end)
            with self.subTest(end=end):
                outcome = await self.get_outcome("/stream/", empty)
                self.assertEqual((502, 1), outcome[::2])
                outcome = await self.get_outcome(
                    "/resumable/", empty, make_script(STREAM + WHOLE, **CLOSE)
                )
                self.assertEqual((200, WHOLE, 2), outcome)

    async def test_head_that_its_connection_ends_is_no_answer(self) -> None:
        for end in (CLOSE, RESET):
            for size in (0, 5, 20, len(PLAIN) - 1):
                with self.subTest(size=size, end=end):
                    cut = make_script(PLAIN[:size] or " ", **end)
                    outcome = await self.get_outcome("/unsafe/", cut)
                    self.assertEqual((502, 1), outcome[::2])


class OwnEngineAnswerTest(unittest.IsolatedAsyncioTestCase):
    """The same answers of engines of the product's own interface."""

    async def asyncSetUp(self) -> None:
        """Start the server and open the session."""
        self.server = await self.enterAsyncContext(
            scripted_server.ScriptedServer(transport.EXCHANGE_HEADER)
        )
        session = await self.enterAsyncContext(transport.make_session())
        self.engine = engines.HttpEngine(
            session, self.server.address, idle_seconds=0.5
        )
        event = {"request_id": "r-1", "weight_version": "v1"}
        self.lines = [
            f"data: {json.dumps({**event, **fields})}\n\n"
            for fields in (
                {"kind": "started", "offset": 0},
                {"kind": "token", "offset": 1, "text": "a"},
                {"kind": "finished", "offset": 1},
            )
        ]
        self.head = (
            f"HTTP/1.1 200 OK\r\n{transport.EXCHANGE_HEADER}: {{id}}\r\n"
            "Connection: close\r\n\r\n"
        )

    async def run_prompt(
        self, *texts: str, **end: bool
    ) -> t.Union[int, t.Type[Exception]]:
        """Return the number of events or the class of the error."""
        self.server.scripts = [make_script(*texts, pause_seconds=0.02, **end)]
        request = engines.CompletionRequest(
            request_id="r-1",
            model="m",
            weight_version="v1",
            prompt="p",
            max_tokens=1,
            cache_salt="",
            seed=1,
            deadline=deadlines.Deadline.after(5.0),
        )
        try:
            return len([e async for e in self.engine.complete(request)])
        except exceptions.RoutingError as error:
            return type(error)

    async def test_stream_that_its_connection_ends_is_whole(self) -> None:
        for name, texts in (
            ("at once", [self.head + "".join(self.lines)]),
            ("by event", [self.head, *self.lines]),
        ):
            with self.subTest(name):
                self.assertEqual(3, await self.run_prompt(*texts, **CLOSE))

    async def test_stream_that_ends_before_its_last_event_is_broken(
        self,
    ) -> None:
        """Guards against a short answer that counts as whole."""
        whole = "".join(self.lines)
        for size in range(0, len(whole) - len("}\n\n"), 7):
            for end in (CLOSE, RESET):
                with self.subTest(size=size, end=end):
                    self.assertEqual(
                        exceptions.BackendFailed,
                        await self.run_prompt(self.head + whole[:size], **end),
                    )

    async def test_stream_that_does_not_end_is_broken(self) -> None:
        self.server.scripts = [
            make_script(self.head + self.lines[0], pause_seconds=3.0, **CLOSE)
        ]
        async with asyncio.timeout(2.5):
            outcome = await self.run_prompt(
                self.head + self.lines[0], *[": c\n"] * 60
            )
        self.assertTrue(
            isinstance(outcome, type)
            and issubclass(outcome, exceptions.BackendFailed),
            outcome,
        )


class OwnServiceAnswerTest(test_calls.CallCase):
    """The same answers of plain services of the own interface."""

    async def test_answer_that_its_connection_ends_is_whole(self) -> None:
        for body in (b"whole", b""):
            with self.subTest(body=body):
                self.service.replies = [
                    b"HTTP/1.1 200 OK\r\nX: y\r\n\r\n" + body
                ]
                self.service.resets = False
                status, received, _ = await self.call("GET", "/list")
                self.assertEqual(200, status)
                self.assertIn(body, str(received).encode())

    async def test_answer_that_is_reset_is_a_failure(self) -> None:
        """Guards against half an answer that counts as whole."""
        for body in (b"", b"d", b"whole"):
            with self.subTest(body=body):
                self.bench.state.failures.clear()
                self.service.replies = [
                    b"HTTP/1.1 200 OK\r\nX: y\r\n\r\n" + body
                ]
                self.service.resets = True
                status, received, _ = await self.call("GET", "/list")
                self.assertEqual((502, 1212), (status, received["code"]))
