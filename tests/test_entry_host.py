"""Tests of a whole entry host with stand-ins of the platform."""

import asyncio
import json
import typing as t
import unittest
import unittest.mock

import aiohttp

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import room_queue
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold.platform import records
from standins import platform_fixtures
from standins import scripted_server
from tests import entry_fakes

PROMPT = {
    "Sesamefold-Model": platform_fixtures.MODEL,
    "Sesamefold-Token-Usage": "900,80",
    "Sesamefold-Prompt-Prefix": "aa:400,bb:300,cc:200",
}
EXPECTED_VERSION_HEADER = "Sesamefold-Expect-Version"


class ResponseTest(entry_fakes.EntryHostCase):
    """Responses and errors, and whether they state the outcome truly."""

    async def test_forged_and_hop_by_hop_headers_are_not_forwarded(
        self,
    ) -> None:
        status, headers, body = await self.call(
            "/safe/a%2Fb?x=1",
            headers={
                "sesamefold-tenant-name": "forged",
                "Sesamefold_Tenant_Name": "forged",
                "Sesamefold-Kv-Fetch": "forged",
                "Sesamefold-Hold": "forged",
                "Kv-From": "forged",
                "X-Own": "kept",
                "X-Dropped": "1",
                "Connection": "keep-alive, X-Dropped",
            },
        )
        self.assertEqual((200, b"answer"), (status, body))
        self.assertIn("Sesamefold-Response-Seal", headers)
        (run,) = self.list_runs()
        self.assertEqual("/safe/a%2Fb?x=1", run.target)
        self.assertEqual(b"body", run.body)
        names = {name.lower() for name in run.headers}
        self.assertEqual("customer-1", run.headers["Sesamefold-Tenant-Name"])
        self.assertNotIn("forged", run.headers.values())
        self.assertIn("x-own", names)
        self.assertNotIn("x-dropped", names)
        self.assertNotIn("api-key", names)
        self.assertLessEqual(int(run.headers["Sesamefold-Deadline-Ms"]), 2000)

    async def test_server_faults_lead_to_a_truthful_status(
        self,
    ) -> None:
        """Each case has a path, the servers' faults, the status and the runs.

        Guards against a status that says that a request was not executed
        although a server may have executed it.
        """
        cases = (
            ("/unsafe/", ["refuse"], 200, 1),
            ("/unsafe/", ["refuse", "refuse"], 503, 0),
            ("/unsafe/", ["misdirect"], 200, 1),
            ("/unsafe/", ["reset"], 502, 1),
            ("/unsafe/", ["foreign"], 502, 1),
            ("/unsafe/", ["unsealed"], 502, 1),
            ("/unsafe/", ["fail"], 500, 1),
            ("/unsafe/", ["cut-unframed"], 502, 1),
            ("/safe/", ["reset"], 200, 2),
            ("/safe/", ["foreign"], 200, 2),
            ("/safe/", ["fail"], 200, 2),
            ("/safe/", ["cut-unframed"], 200, 2),
            ("/safe/", ["reset", "reset"], 502, 2),
            ("/safe/", ["reset", "refuse"], 502, 1),
        )
        for number, (path, faults, status, runs) in enumerate(cases):
            with self.subTest(path=path, faults=faults):
                shared = list(faults)
                for engine in self.engines:
                    engine.faults = shared
                    engine.runs.clear()
                self.host.placement.states.clear()
                response = await self.call(path, f"r-{number}")
                self.assertEqual(status, response[0])
                self.assertEqual(runs, len(self.list_runs()))
                sealed = "Sesamefold-Response-Seal" in response[1]
                self.assertEqual(status in (200, 500), sealed)
                if status == 503:
                    self.assertGreater(float(response[1]["Retry-After"]), 0)

    async def test_entries_of_replaced_servers_cost_no_request(self) -> None:
        """Guards against refusals after several servers were replaced.

        Four entries name servers that have ended; another one answers at
        their addresses.
        """
        address = self.host.catalog.servers["i-0"].address
        for number in range(4):
            self.put_server_entry(f"gone-{number}", address)
        await self.wait_until(lambda: len(self.host.catalog.servers) == 6)
        # The host tries the servers that have ended first.
        for name in ("i-0", "i-1"):
            server = self.host.catalog.servers[name]
            for _ in range(3):
                self.host.server_statuses.record_outcome(server, failed=True)
        for number in range(12):
            path = ("/safe/", "/unsafe/")[number % 2]
            status, _, _ = await self.call(path, f"r-{number}")
            self.assertEqual(200, status)
        replaced = [
            server_id
            for server_id, server in self.host.catalog.servers.items()
            if not self.host.server_statuses.get(server).is_available(
                clock.read_time()
            )
        ]
        self.assertEqual(
            sorted(replaced), [f"gone-{number}" for number in range(4)]
        )

    async def test_requests_without_route_key_or_id_are_refused(self) -> None:
        cases = (
            ("/none/", {}, 404),
            ("/safe/", {"Host": "other.example"}, 404),
            ("/safe/", {"Api-Key": "wrong"}, 401),
            ("/safe/", {"Api-Key": None}, 401),
            ("/safe/", {"Sesamefold-Request-Id": None}, 400),
        )
        for path, headers, status in cases:
            with self.subTest(path=path, headers=headers):
                response = await self.call(path, headers=headers)
                self.assertEqual(status, response[0])
        self.assertEqual([], self.list_runs())

    async def test_a_body_over_the_limit_is_refused(self) -> None:
        status, _, _ = await self.call("/safe/", data=b"x" * 100_001)
        self.assertEqual(413, status)

    async def test_a_run_past_the_route_timeout_is_cancelled(self) -> None:
        for engine in self.engines:
            engine.faults = ["late"]
        status, _, _ = await self.call("/short/")
        self.assertEqual(504, status)
        await self.wait_until(
            lambda: sum(engine.cancelled_requests for engine in self.engines)
        )

    async def test_a_run_whose_caller_disconnects_is_cancelled(self) -> None:
        for engine in self.engines:
            engine.faults = ["late"]
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await self.call("/safe/")
        await self.wait_until(
            lambda: sum(engine.cancelled_requests for engine in self.engines),
            0.5,
        )

    async def test_a_request_to_unreachable_servers_is_refused(self) -> None:
        self.put_server_entry("i-1", "127.0.0.1:1", seq=2)
        self.put_server_entry("i-0", "127.0.0.1:1", seq=2)
        await self.wait_until(
            lambda: all(
                server.address == "127.0.0.1:1"
                for server in self.host.catalog.servers.values()
            )
        )
        status, _, _ = await self.call("/unsafe/")
        self.assertEqual(503, status)


def make_reply(
    status: str, body: str, *lines: str, request_id: str = "{id}"
) -> str:
    """Return a reply of a server, which names the request."""
    size = len(body.replace("{id}", "r-1"))
    head = (
        f"HTTP/1.1 {status}",
        f"Sesamefold-Request-Id: {request_id}",
        *lines,
        f"Content-Length: {size}",
    )
    return "\r\n".join((*head, "", body))


SEAL = "Sesamefold-Response-Seal: seal"
EVENT_STREAM = "Content-Type: text/event-stream"
FIRST_EVENT = "id: 1\ndata: x\n\n"
LATER_EVENTS = "id: 2\ndata: x\n\nid: 3\ndata: x\n\n"
STREAM_HEAD = (
    f"HTTP/1.1 200 OK\r\nSesamefold-Request-Id: {{id}}\r\n{SEAL}\r\n"
    f"{EVENT_STREAM}\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def make_chunk(text: str) -> str:
    """Return a text as one chunk of a body."""
    return f"{len(text):x}\r\n{text}\r\n"


class ScriptedServersTest(entry_fakes.EntryHostCase):
    """Bytes that callers get from servers that play the same scripts."""

    async def asyncSetUp(self) -> None:
        """Replace the servers by two that take their scripts from one list."""
        await super().asyncSetUp()
        self.scripts: list[scripted_server.Script] = []
        for number in range(2):
            server = await self.stack.enter_async_context(
                scripted_server.ScriptedServer("Sesamefold-Request-Id")
            )
            server.scripts = self.scripts
            self.put_server_entry(f"i-{number}", server.address, seq=2)
        await self.wait_until(
            lambda: all(
                server.sequence == 2
                for server in self.host.catalog.servers.values()
            )
        )

    async def exchange(
        self, path: str, number: int, *replies: str, version: str = "1.1"
    ) -> tuple[bytes, bytes]:
        """Return the head and the body that a caller gets, as sent.

        Each server closes its connection after its reply. `version` is that
        of HTTP in the caller's request.
        """
        self.host.placement.states.clear()
        self.scripts[:] = [
            scripted_server.Script((scripted_server.Step(reply),), closes=True)
            for reply in replies
        ]
        reader, writer = await asyncio.open_connection(
            *self.settings.listen_address
        )
        request_id = f"r-{number}"
        headers = {
            "Host": platform_fixtures.ROUTE_HOST,
            "Sesamefold-Request-Id": request_id,
            "Sesamefold-Deadline-Ms": "2000",
            "Api-Key": platform_fixtures.API_KEY,
            "Connection": "close",
            "Content-Length": "0",
            **PROMPT,
        }
        lines = [f"POST {path} HTTP/{version}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join((*lines, "", "")).encode())
        async with asyncio.timeout(5.0):
            received = await reader.read()
        writer.close()
        head, _, body = received.partition(b"\r\n\r\n")
        return head, body

    async def test_reply_of_the_next_server_does_not_enter_a_broken_stream(
        self,
    ) -> None:
        """Guards against an error of the next server within a stream.

        A stream breaks off after an event, and the next server replies with
        something that does not continue it. The caller gets the event, and
        its stream does not end as a complete one.
        """
        error = '{"error": "id: 7"}\n\nid: 8\ndata: error\n\n'
        broken = STREAM_HEAD + make_chunk(FIRST_EVENT) + "5\r\nid: 2"
        not_executed = "Sesamefold-Not-Executed: 1"
        number = 0
        for name, reply in (
            ("failed", make_reply("500 Failed", error, SEAL)),
            ("failed stream", make_reply("500 No", error, SEAL, EVENT_STREAM)),
            ("refused", make_reply("503 Refused", error, not_executed)),
            ("busy", make_reply("503 Busy", error)),
            ("misdirected", make_reply("421 Not here", error)),
            ("not found", make_reply("404 Not Found", error, SEAL)),
            ("bad request", make_reply("400 Bad", error, SEAL, EVENT_STREAM)),
            ("moved", make_reply("302 Found", error, "Location: /stream/")),
            ("no content", make_reply("204 No Content", "", SEAL)),
            ("no body", make_reply("200 OK", "", SEAL)),
            ("text", make_reply("200 OK", error, SEAL)),
            (
                "JSON",
                make_reply(
                    "200 OK", error, SEAL, "Content-Type: application/json"
                ),
            ),
            ("accepted", make_reply("202 OK", error, SEAL, EVENT_STREAM)),
            ("no seal", make_reply("200 OK", error, EVENT_STREAM)),
            (
                "foreign",
                make_reply(
                    "200 OK", error, SEAL, EVENT_STREAM, request_id="other"
                ),
            ),
            ("no HTTP", error),
            ("nothing", ""),
            ("event cut", STREAM_HEAD + make_chunk("id: 2\ndata: x")),
        ):
            for path in ("/resumable/", "/stream/"):
                number += 1
                with self.subTest(name, path=path):
                    head, body = await self.exchange(
                        path, number, broken, reply, ""
                    )
                    self.assertIn(b"HTTP/1.1 200 OK", head)
                    self.assertIn(b"Transfer-Encoding: chunked", head)
                    self.assertEqual(make_chunk(FIRST_EVENT).encode(), body)

    async def test_stream_of_the_next_server_continues_a_broken_one(
        self,
    ) -> None:
        """Guards against a check that ends streams which can continue.

        A stream may also break off after its last event, so that the next
        server has none left.
        """
        broken = STREAM_HEAD + make_chunk(FIRST_EVENT) + "5\r\nid: 2"
        for number, (reply, events) in enumerate(
            (
                (make_reply("200 OK", LATER_EVENTS, SEAL, EVENT_STREAM), 3),
                (make_reply("200 OK", "", SEAL, EVENT_STREAM), 1),
                (
                    make_reply(
                        "200 OK",
                        LATER_EVENTS,
                        SEAL,
                        "content-type: Text/Event-Stream; charset=utf-8",
                    ),
                    3,
                ),
            )
        ):
            with self.subTest(reply=reply):
                _, body = await self.exchange(
                    "/resumable/", number, broken, reply
                )
                self.assertEqual(events, body.count(b"data: x"))
                self.assertTrue(body.endswith(b"0\r\n\r\n"))

    async def test_broken_stream_to_an_old_caller_is_reset(self) -> None:
        """Guards against a broken stream that ends as a complete one.

        The body of an answer to HTTP/1.0 ends with its connection, so that
        only a reset shows that it is not complete.
        """
        broken = STREAM_HEAD + make_chunk(FIRST_EVENT) + "5\r\nid: 2"
        with self.assertRaises(ConnectionResetError):
            await self.exchange("/stream/", 1, broken, version="1.0")
        whole = STREAM_HEAD + make_chunk(FIRST_EVENT) + "0\r\n\r\n"
        _, body = await self.exchange("/stream/", 2, whole, version="1.0")
        self.assertEqual(FIRST_EVENT.encode(), body)

    async def test_cut_head_is_no_answer_to_a_caller(self) -> None:
        """Guards against a short body that is framed as a whole one.

        The head of a reply is cut at each of its bytes, on the connections
        of calls and of streams. No caller gets a success.
        """
        reply = make_reply("200 OK", FIRST_EVENT, SEAL, EVENT_STREAM)
        for size in range(reply.index("id: 1")):
            for path in ("/unsafe/", "/stream/"):
                head, body = await self.exchange(path, size, reply[:size])
                with self.subTest(path=path, size=size):
                    self.assertIn(b"HTTP/1.1 502 ", head)
                    self.assertNotIn(b"data", body)

    async def test_answer_that_is_no_stream_is_not_continued(self) -> None:
        """Guards against events behind the head of another kind of answer."""
        reply = make_reply(
            "200 OK", FIRST_EVENT + LATER_EVENTS, SEAL, "Content-Type: a/b"
        )
        broken = reply.removesuffix(LATER_EVENTS)
        head, body = await self.exchange(
            "/resumable/", 1, broken, STREAM_HEAD + make_chunk(LATER_EVENTS)
        )
        self.assertIn(b"Content-Length: 45", head)
        self.assertEqual(FIRST_EVENT.encode(), body)
        self.assertEqual(1, len(self.scripts))


class StreamTest(entry_fakes.EntryHostCase):
    """Streams and the context of their prompts."""

    async def test_a_cut_resumable_stream_continues_at_another_server(
        self,
    ) -> None:
        shared = ["cut"]
        for engine in self.engines:
            engine.faults = shared
        status, _, body = await self.call("/resumable/", headers=PROMPT)
        self.assertEqual(200, status)
        self.assertEqual(
            "".join(f"id: {n}\ndata: x\n\n" for n in (1, 2, 3)), body.decode()
        )
        first, second = self.list_runs()
        last = {run.headers.get("Last-Event-Id") for run in (first, second)}
        self.assertEqual({None, "1"}, last)

    async def test_an_answer_lost_after_the_run_is_told_truly(self) -> None:
        """Guards against a second run, and against "not executed".

        Each case has the path, the status and the runs of a request whose
        first server runs it and resets the connection without an answer.
        """
        for number, (path, headers, status, runs) in enumerate(
            (
                ("/unsafe/", {}, 502, 1),
                ("/stream/", PROMPT, 502, 1),
                ("/safe/", {}, 200, 2),
                ("/resumable/", PROMPT, 200, 2),
            )
        ):
            with self.subTest(path=path):
                shared = ["reset"]
                for engine in self.engines:
                    engine.faults = shared
                    engine.runs.clear()
                self.host.placement.states.clear()
                answer = await self.call(path, f"l-{number}", headers=headers)
                self.assertEqual(status, answer[0])
                self.assertEqual(runs, len(self.list_runs()))

    async def test_a_cut_stream_that_cannot_resume_ends_incomplete(
        self,
    ) -> None:
        shared = ["cut"]
        for engine in self.engines:
            engine.faults = shared
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.call("/stream/", headers=PROMPT)
        self.assertEqual(1, len(self.list_runs()))

    async def test_the_cache_salt_contains_the_weight_version(self) -> None:
        for engine in self.engines:
            engine.weights = {platform_fixtures.MODEL: 4}
        for server in list(self.host.catalog.servers.values()):
            self.host.catalog.update_weights(
                server.id, {platform_fixtures.MODEL: 4}
            )
        await self.call("/stream/", headers=PROMPT)
        (run,) = self.list_runs()
        self.assertEqual("4", run.headers["Sesamefold-Expect-Version"])
        self.assertEqual("4/model-1/", run.headers["Sesamefold-Cache-Salt"])

    async def test_the_shared_salt_changes_when_a_customer_is_isolated(
        self,
    ) -> None:
        """Guards against context of an isolated customer in use (WALL).

        Its requests put it into the caches of engines before.
        """
        for engine in self.engines:
            engine.weights = {platform_fixtures.MODEL: 4}
            self.host.catalog.update_weights(engine.id, engine.weights)
        for isolated in (False, True):
            version = self.host.catalog.require_configuration().version + 1
            configuration = platform_fixtures.make_configuration(version)
            (first,) = configuration["tenants"][:1]
            configuration["tenants"] = [
                {**first, "isolated": isolated},
                {**first, "name": "another", "api_keys": ["another"]},
            ]
            self.store.put("op/config", configuration)
            await self.wait_until(
                lambda: self.host.catalog.require_configuration().version
                == version  # noqa: B023
            )
            headers = {**PROMPT, "Api-Key": "another"}
            await self.call("/stream/", f"r-{version}", headers=headers)
        before, after = sorted(
            (run.request_id, run.headers["Sesamefold-Cache-Salt"])
            for run in self.list_runs()
        )
        self.assertNotEqual(before[1], after[1])

    async def test_a_stream_goes_on_under_the_limits_that_hold_then(
        self,
    ) -> None:
        """Guards against the limits of the time at which a request came.

        A customer is isolated, or may be served elsewhere only, while its
        stream runs; then the stream's server breaks it off. The rest ran in
        the cache that all other customers share since then (WALL), or in a
        region that is no longer permitted (HOME).
        """
        away = ["region-9"]
        shared, own = "4/model-1/", "4/model-1/customer-1"
        isolated = {"isolated": True}
        for number, (before, after, route, salts) in enumerate(
            (
                ({}, {}, {}, [shared, shared]),
                ({}, isolated, {}, [shared, own]),
                ({}, {**isolated, "api_keys": []}, {}, [shared, own]),
                (isolated, {}, {}, [own, own]),
                ({}, {"allowed_regions": away}, {}, [shared]),
                ({}, {}, {"allowed_regions": away}, [shared]),
            )
        ):
            with self.subTest(before=before, after=after, route=route):
                request_id = f"r-{number}"
                self.configure(before, {})
                faults = ["cut"]
                for engine in self.engines:
                    engine.weights = {platform_fixtures.MODEL: 4}
                    self.host.catalog.update_weights(engine.id, engine.weights)
                    engine.faults, engine.event_seconds = faults, 0.5
                    engine.runs.clear()
                calling = asyncio.create_task(
                    self.call("/resumable/", request_id, headers=PROMPT)
                )
                await self.wait_until(self.list_runs)
                self.configure(after, route)
                if len(salts) > 1:
                    self.assertEqual(200, (await calling)[0])
                else:
                    with self.assertRaises(aiohttp.ClientPayloadError):
                        await calling
                runs = sorted(self.list_runs(), key=lambda r: r.began_at)
                self.assertEqual(
                    salts, [r.headers["Sesamefold-Cache-Salt"] for r in runs]
                )

    def configure(
        self, tenant: t.Dict[str, t.Any], route: t.Dict[str, t.Any]
    ) -> None:
        """Apply a configuration with fields of the customer and all routes."""
        version = self.host.catalog.require_configuration().version + 1
        body = platform_fixtures.make_configuration(version)
        body["tenants"][0].update(tenant)
        for item in body["routes"]:
            item.update(route)
        change = records.decode_record(
            "op/config", json.dumps(body).encode(), version
        )
        self.host.catalog.apply_changes(changes.Batch((change,), version))

    async def test_a_mismatch_refusal_updates_the_known_weights(self) -> None:
        for engine in self.engines:
            engine.weights = {platform_fixtures.MODEL: 5}
            self.host.catalog.update_weights(
                engine.id, {platform_fixtures.MODEL: 4}
            )
        self.host.catalog.target_weights[platform_fixtures.MODEL] = 5
        self.host.election.handover_pause_seconds = 60.0
        for number in range(4):
            await self.call("/resumable/", f"r-{number}", headers=PROMPT)
        status, _, _ = await self.call("/resumable/", "r-9", headers=PROMPT)
        self.assertEqual(200, status)
        self.assertEqual(
            "5", self.list_runs()[-1].headers[EXPECTED_VERSION_HEADER]
        )

    async def test_engine_without_a_version_is_expected_to_have_the_target(
        self,
    ) -> None:
        """Guards against requests on weights that nobody knows (VERSION)."""
        model = platform_fixtures.MODEL
        self.engines[0].weights = {model: 1}
        self.engines[1].weights = {model: 2}
        self.host.catalog.target_weights[model] = 2
        self.host.election.handover_pause_seconds = 60.0
        for number in range(4):
            await self.call("/resumable/", f"r-{number}", headers=PROMPT)
        self.assertEqual([], self.engines[0].runs)
        self.assertEqual(
            {"2"},
            {
                run.headers[EXPECTED_VERSION_HEADER]
                for run in self.engines[1].runs
            },
        )

    async def test_refusal_by_another_server_proves_nothing_about_weights(
        self,
    ) -> None:
        """Guards against target weights ascribed to an engine that ended.

        Its successor at the address refuses requests that name it. Further
        requests then went there as well, and none to an engine that runs.
        """
        model = platform_fixtures.MODEL
        for engine in self.engines:
            engine.weights = {model: 1}
            self.host.catalog.update_weights(engine.id, {model: 1})
        self.host.catalog.target_weights[model] = 2
        self.host.election.handover_pause_seconds = 60.0
        self.engines[0].id = "i-9"
        statuses = [
            (await self.call("/resumable/", f"r-{n}", headers=PROMPT))[0]
            for n in range(8)
        ]
        self.assertEqual([200] * 8, statuses)
        self.assertEqual({model: 1}, self.host.catalog.servers["i-0"].weights)
        self.assertLessEqual(self.engines[0].refusals, 1)


class KeyTest(entry_fakes.EntryHostCase):
    """API keys that are withdrawn or cannot be confirmed."""

    settings_fields = {"key_withdrawal_seconds": 1.0, "leaving_seconds": 0.5}

    async def asyncSetUp(self) -> None:
        """Shorten the watches to confirm keys within the short limit."""
        patched = unittest.mock.patch(
            "sesamefold.entry.follower.WATCH_TIMEOUT_SECONDS", 0.2
        )
        patched.start()
        self.addCleanup(patched.stop)
        await super().asyncSetUp()

    async def test_keys_are_refused_while_the_store_is_unavailable(
        self,
    ) -> None:
        self.assertEqual(200, (await self.call("/safe/"))[0])
        self.store.error_status = 503
        await asyncio.sleep(1.0)
        self.assertEqual(503, (await self.call("/safe/"))[0])
        self.assertFalse(self.host.is_ready())
        self.store.error_status = 0
        await self.wait_until(self.host.is_ready)
        self.assertEqual(200, (await self.call("/safe/"))[0])

    async def test_a_withdrawn_key_is_refused(self) -> None:
        configuration = platform_fixtures.make_configuration(2)
        configuration["tenants"][0]["api_keys"] = []
        self.store.put("op/config", configuration)
        await asyncio.sleep(0.5)
        self.assertEqual(401, (await self.call("/safe/"))[0])

    async def test_a_key_withdrawn_while_a_body_arrives_is_refused(
        self,
    ) -> None:
        """Guards against a withdrawn key that runs (CONFIG).

        The key is looked up at the head, and the configuration without it is
        confirmed before the end of the body.
        """

        async def write_slowly() -> t.AsyncIterator[bytes]:
            yield b"bo"
            configuration = platform_fixtures.make_configuration(2)
            configuration["tenants"][0]["api_keys"] = ["another"]
            self.store.put("op/config", configuration)
            await self.wait_until(
                lambda: self.host.catalog.require_configuration().version == 2
            )
            yield b"dy"

        status, _, _ = await self.call("/safe/", data=write_slowly())
        self.assertEqual(401, status)
        self.assertEqual([], self.list_runs())

    async def test_a_key_that_stays_serves_a_body_beside_a_change(
        self,
    ) -> None:
        async def write_slowly() -> t.AsyncIterator[bytes]:
            yield b"bo"
            configuration = platform_fixtures.make_configuration(2)
            configuration["tenants"][0]["api_keys"].append("another")
            self.store.put("op/config", configuration)
            await self.wait_until(
                lambda: self.host.catalog.require_configuration().version == 2
            )
            yield b"dy"

        status, _, _ = await self.call("/safe/", data=write_slowly())
        self.assertEqual(200, status)


class UnexpectedErrorTest(entry_fakes.EntryHostCase):
    """Unexpected exceptions while a request is served."""

    async def test_an_unexpected_error_is_reported_and_logged_as_failed(
        self,
    ) -> None:
        """Guards against logging such a request as answered."""
        log = entry_fakes.RecordingLog()
        self.host.frontend.log = log
        with unittest.mock.patch.object(
            topology.Configuration,
            "find_route",
            side_effect=RuntimeError("unexpected"),
        ):
            status, _, body = await self.call("/safe/")
        self.assertEqual(500, status)
        self.assertEqual(
            {"code": exceptions.InternalError.code}, json.loads(body)
        )
        self.assertEqual(["error", "failed"], log.events)


class ReadinessTest(entry_fakes.EntryHostCase):
    """Readiness, shutdown and metrics."""

    async def get(
        self, address: tuple[str, int], path: str
    ) -> tuple[int, str]:
        """Return the status and the text of a page."""
        url = f"http://{address[0]}:{address[1]}{path}"
        async with self.caller.get(url) as response:
            return response.status, await response.text()

    async def test_a_draining_host_is_not_ready_but_serves_requests(
        self,
    ) -> None:
        ready = self.settings.ready_address
        self.assertEqual(200, (await self.get(ready, "/ready"))[0])
        draining = asyncio.create_task(self.host.drain())
        await asyncio.sleep(0.1)
        self.assertEqual(503, (await self.get(ready, "/ready"))[0])
        status, headers, _ = await self.call("/unsafe/")
        self.assertEqual(200, status)
        self.assertEqual("close", headers["Connection"].lower())
        await draining

    async def test_metrics_count_requests_by_result_code(self) -> None:
        await self.call("/safe/")
        _, text = await self.get(self.settings.metrics_address, "/metrics")
        self.assertIn('sesamefold_requests_total{code="0"} 1.0', text)


class RestTest(entry_fakes.EntryHostCase):
    """Requests while servers have asked for no requests."""

    def rest(self, number: int, seconds: float) -> None:
        """Record that a server asks for a rest."""
        self.host.server_statuses.record_rest(
            self.host.catalog.servers[f"i-{number}"], seconds, "r-0"
        )

    async def call_timed(
        self, path: str, request_id: str = "r-1"
    ) -> t.Tuple[int, float, float]:
        """Return the status, the time to return and the time it took."""
        start = clock.read_time()
        status, headers, _ = await self.call(path, request_id)
        retry_after = float(headers.get("Retry-After", "nan"))
        return status, retry_after, clock.read_time() - start

    async def test_callers_are_refused_at_once_while_all_servers_rest(
        self,
    ) -> None:
        """Guards against callers that wait in vain and return together."""
        self.rest(0, 3.0)
        self.rest(1, 2.0)
        answers = [
            await self.call_timed("/safe/", f"r-{number}")
            for number in range(8)
        ]
        self.assertEqual({503}, {status for status, _, _ in answers})
        self.assertLess(sum(seconds for _, _, seconds in answers), 0.5)
        returns = [retry_after for _, retry_after, _ in answers]
        self.assertGreater(min(returns), 1.5)
        self.assertLessEqual(
            max(returns), 2.0 + room_queue.REST_SPREAD_SECONDS
        )
        self.assertGreater(max(returns) - min(returns), 0.05)
        self.assertEqual([], self.list_runs())

    async def test_request_waits_for_a_rest_that_ends_at_once(self) -> None:
        self.rest(0, 0.1)
        self.rest(1, 0.1)
        status, _, seconds = await self.call_timed("/safe/")
        self.assertEqual(200, status)
        self.assertGreaterEqual(seconds, 0.09)

    async def test_retry_waits_for_the_end_of_a_rest(self) -> None:
        """Guards against retries that reach a resting server."""
        self.rest(1, 0.6)
        self.engines[0].faults = ["reset"]
        status, _, seconds = await self.call_timed("/safe/")
        self.assertEqual(200, status)
        self.assertGreaterEqual(seconds, 0.58)

    async def test_retry_fails_at_once_if_the_rest_outlasts_the_deadline(
        self,
    ) -> None:
        """Guards against callers that are kept until their deadline."""
        self.rest(1, 5.0)
        self.engines[0].faults = ["reset"]
        status, _, seconds = await self.call_timed("/safe/")
        self.assertEqual(502, status)
        self.assertLess(seconds, 0.5)
        self.assertEqual([], self.engines[1].runs)


class WeightsTest(entry_fakes.EntryHostCase):
    """Orders to load new weights."""

    async def test_each_engine_gets_one_order_for_new_weights(self) -> None:
        for engine in self.engines:
            engine.weights = {platform_fixtures.MODEL: 1}
            self.host.catalog.update_weights(
                engine.id, {platform_fixtures.MODEL: 1}
            )
        self.engines[0].lose_order_answers = True
        self.store.put(
            "op/version/model-1",
            {"model": platform_fixtures.MODEL, "version": 2},
        )
        await self.wait_until(
            lambda: all(
                server.weights == {platform_fixtures.MODEL: 2}
                for server in self.host.catalog.servers.values()
            ),
            8.0,
        )
        orders = [order for e in self.engines for order in e.orders]
        self.assertEqual(2, len(orders))
        self.assertEqual({"entry-1"}, {order["holder"] for order in orders})
        self.assertEqual(1, len({order["fence_token"] for order in orders}))
        holder = self.store.get("sesamefold/orders/holder")
        self.assertEqual(b"entry-1", holder)

    async def test_ignored_orders_are_repeated(self) -> None:
        """Guards against a rollout that stalls on orders without effect."""
        for engine in self.engines:
            engine.weights = {platform_fixtures.MODEL: 1}
            engine.orders_to_ignore = 2
            self.host.catalog.update_weights(engine.id, engine.weights)
        self.store.put(
            "op/version/model-1",
            {"model": platform_fixtures.MODEL, "version": 2},
        )
        await self.wait_until(
            lambda: all(
                engine.weights == {platform_fixtures.MODEL: 2}
                for engine in self.engines
            ),
            6.0,
        )

    async def test_a_leaving_engine_gets_no_order(self) -> None:
        """Guards against engines that load weights shortly before they end."""
        leaving, other = self.engines
        for engine in self.engines:
            engine.weights = {platform_fixtures.MODEL: 1}
            self.host.catalog.update_weights(engine.id, engine.weights)
        self.host.server_statuses.record_leaving(
            self.host.catalog.servers[leaving.id], "r-1"
        )
        self.store.put(
            "op/version/model-1",
            {"model": platform_fixtures.MODEL, "version": 2},
        )
        await self.wait_until(
            lambda: other.weights == {platform_fixtures.MODEL: 2}, 6.0
        )
        await asyncio.sleep(0.5)
        self.assertEqual([], leaving.orders)

    async def test_a_stream_that_begins_too_late_for_its_weights_is_cancelled(
        self,
    ) -> None:
        """Guards against requests that an engine begins on expired weights.

        The engine begins only after a second, which is after the expiry.
        """
        catalog = self.host.catalog
        for engine in self.engines:
            engine.weights = {platform_fixtures.MODEL: 1}
            engine.event_seconds = 1.0
            engine.orders_to_ignore = 1000
            catalog.update_weights(engine.id, engine.weights)
        catalog.weights_limits = catalogs.WeightsLimits(0.8, 0.0)
        catalog.confirm(clock.read_time())
        change = changes.TargetWeightsChanged(platform_fixtures.MODEL, 2)
        catalog.apply_changes(changes.Batch((change,), 2))
        status, _, _ = await self.call("/resumable/", headers=PROMPT)
        self.assertEqual(504, status)
        self.assertEqual(1, len(self.list_runs()))
        self.assertEqual(
            1, sum(engine.cancelled_requests for engine in self.engines)
        )
        self.assertEqual(
            {0.0},
            {
                self.host.placement.states.get(server).failure_rate
                for server in catalog.servers.values()
            },
        )

    async def test_a_host_holds_the_lease_before_new_weights_are_published(
        self,
    ) -> None:
        """Guards against a rollout that first has to wait for an election.

        The handover pause would then begin only when weights are published.
        """
        await self.wait_until(self.host.election.holds_lease)
        await self.host.election.stop()
        await self.wait_until(lambda: self.host.election.vacant)

    async def test_a_stopping_host_releases_the_lease(self) -> None:
        await self.host.election.campaign()
        self.assertTrue(self.host.election.holds_lease())
        await self.host.election.stop()
        self.assertIsNone(self.store.get("sesamefold/orders/holder"))
        await self.host.election.campaign()
        self.assertFalse(self.host.election.holds_lease())

    async def test_malformed_records_are_ignored(self) -> None:
        self.store.put("servers/i-7", b"\xff no JSON")
        self.store.put("servers/i-8", {"service": 5})
        self.store.put("op/other", {})
        self.store.put("op/config", {"version": "x"})
        await asyncio.sleep(1.5)
        self.assertEqual(200, (await self.call("/safe/"))[0])
        self.assertEqual({"i-0", "i-1"}, set(self.host.catalog.servers))
