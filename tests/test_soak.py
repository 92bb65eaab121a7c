"""Tests of the soak, and a short run of it with one seed."""

import asyncio
import pathlib
import socket
import types
import typing as t
import unittest
import unittest.mock

import attrs

from standins import platform_engine
from standins import platform_fixtures
from standins import proxy
from tools import soak
from tools import soak_invariants

SEED = 1
SECONDS = 6.0
HOSTS = 2


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """The soak's own bookkeeping, and the invariants under faults."""

    async def test_starting_host_is_not_reported_as_exited(self) -> None:
        """Guards against a false violation while a host restarts.

        Until the new process exists, the host still has the process that the
        soak ended, whose exit status would count as an unexpected exit.
        """
        run = soak.Soak(SEED, SECONDS, 1)
        host = soak.HostProcess(
            "entry-0",
            "127.0.0.1",
            pathlib.Path("settings.toml"),
            (),
            proxy.Proxy("127.0.0.1:1"),
            types.SimpleNamespace(returncode=-9),
            terminated_by_soak=True,
        )
        run.hosts = [host]

        async def start(*arguments: str, **options: object) -> object:
            await asyncio.sleep(0.05)
            return types.SimpleNamespace(returncode=None)

        with unittest.mock.patch.object(
            asyncio, "create_subprocess_exec", start
        ):
            starting = asyncio.create_task(run._start_process(host))
            await asyncio.sleep(0.01)
            await run._terminate_host(0.1)
            await starting
        self.assertEqual([], run.violations)
        self.assertFalse(host.terminated_by_soak)

    async def test_host_that_exits_at_its_start_is_reported(self) -> None:
        """Guards against a wait for a host that can't listen on its port."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            taken = listener.getsockname()[1]

            async def find_ports(count: int) -> t.List[int]:
                return [taken, *await find_free_ports(count - 1)]

            find_free_ports = platform_fixtures.find_free_ports
            with (
                unittest.mock.patch.object(
                    platform_fixtures, "find_free_ports", find_ports
                ),
                self.assertRaisesRegex(RuntimeError, "exited with status 1"),
            ):
                await soak.Soak(SEED, SECONDS, 1).run()

    async def test_random_faults_violate_no_invariant(self) -> None:
        result = await soak.Soak(SEED, SECONDS, HOSTS).run()
        self.assertEqual([], result["broken"])
        self.assertGreater(result["statuses"]["200"], 50)


class WeightsInvariantTest(unittest.TestCase):
    """The invariant on the expiry of weights, on made-up runs."""

    def test_run_on_expired_weights_is_found(self) -> None:
        """Guards against a soak that passes although VERSION is broken."""
        runs = [
            platform_engine.Run(
                f"r-{number}", "POST", "/stream/x", {}, b"body", version, at
            )
            for number, (version, at) in enumerate(
                ((1, 10.0), (1, 106.0), (1, 107.0), (2, 107.0), (None, 107.0))
            )
        ]
        violations = soak_invariants.find_expired_weights(runs, {1: 100.0})
        self.assertEqual(
            ["r-2 began on version 1, 7.0 s after the next one was named"],
            list(violations),
        )


class OrderInvariantTest(unittest.TestCase):
    """The invariant on fencing tokens, on made-up orders."""

    def test_orders_of_two_holders_are_found(self) -> None:
        """Guards against a soak that passes although ONE is broken."""
        for orders, violations in (
            ((("a", 1), ("a", 1), ("b", 2)), 0),
            ((("a", 2), ("b", 1)), 1),
            ((("a", 2), ("b", 2)), 1),
        ):
            with self.subTest(orders=orders):
                found = soak_invariants.find_order_violations(
                    [
                        {"holder": holder, "fence_token": token}
                        for holder, token in orders
                    ]
                )
                self.assertEqual(violations, len(list(found)))


class LostResponseTest(unittest.TestCase):
    """The invariant on requests without an answer, on made-up ones."""

    def find_violations(
        self, disruption: t.Tuple[float, float] = (0.0, 0.0), **fields: t.Any
    ) -> t.List[str]:
        """Return the violations of a stream, sent at 10.0, with one run.

        The run began at 10.1. `disruption` is one of the link to its server.
        `fields` are those of the request, and "fault", "crash_time" and
        "host_disruption".
        """
        run = platform_engine.Run(
            "r-1", "POST", "/stream/x", {}, b"body", 1, 10.1
        )
        attempt = soak_invariants.Attempt(
            attrs.evolve(run, fault=fields.pop("fault", "")),
            (fields.pop("crash_time", 0.0),),
            (soak_invariants.Disruption(*disruption),),
        )
        host_disruption = fields.pop("host_disruption", (0.0, 0.0))
        request = soak_invariants.SentRequest(
            "/stream/", "key", 10.0, **{"ended_at": 10.8, **fields}
        )
        return list(
            soak_invariants.find_lost_response(
                request,
                (attempt,),
                (soak_invariants.Disruption(*host_disruption),),
            )
        )

    def test_cut_at_a_sound_server_is_found(self) -> None:
        """Guards against a soak that passes although answers are given up."""
        self.assertEqual(
            ["was cut after 0.80 s although its server was sound"],
            self.find_violations(status=200),
        )
        self.assertEqual(
            1, len(self.find_violations(status=200, fault="late"))
        )
        excuses: t.Tuple[t.Dict[str, t.Any], ...] = (
            {"complete": True},
            {"ended_at": 12.0},
            {"fault": "cut"},
            {"crash_time": 10.5},
            {"disruption": (10.5, 11.0)},
            {"host_disruption": (10.5, 11.0)},
        )
        for excuse in excuses:
            with self.subTest(excuse):
                self.assertEqual(
                    [], self.find_violations(status=200, **excuse)
                )

    def test_only_a_silent_server_may_be_replaced(self) -> None:
        """Guards against a soak that excuses a host that leaves servers."""
        run = platform_engine.Run(
            "r-1", "POST", "/stream/x", {}, b"body", 1, 10.1
        )
        for excused, abandoned_at, silence, successor in (
            (True, 10.7, (10.2, 10.6), {"fault": "cut"}),
            (False, 10.7, (10.2, 10.6), {}),
            (False, 10.7, (10.2, 10.6), None),
            (False, 10.7, (10.2, 10.4), {"fault": "cut"}),
            (False, float("inf"), (10.2, 10.6), {"fault": "cut"}),
            (False, 10.4, (10.2, 10.6), {"fault": "cut"}),
        ):
            attempts = [
                soak_invariants.Attempt(
                    attrs.evolve(run, abandoned_at=abandoned_at),
                    (),
                    (),
                    (soak_invariants.Disruption(*silence),),
                )
            ]
            if successor is not None:
                later = attrs.evolve(run, began_at=10.5, **successor)
                attempts.append(soak_invariants.Attempt(later, (), ()))
            request = soak_invariants.SentRequest(
                "/stream/", "key", 10.0, ended_at=10.8, status=200
            )
            found = list(
                soak_invariants.find_lost_response(request, attempts, ())
            )
            with self.subTest(excused=excused, abandoned_at=abandoned_at):
                self.assertEqual(excused, not found)

    def test_request_without_answer_is_found(self) -> None:
        """Guards against a soak that passes although LOST is broken."""
        self.assertEqual(
            ["got neither an answer nor a refusal within 0.80 s"],
            self.find_violations(fault="cut"),
        )
        excuses: t.Tuple[t.Dict[str, t.Any], ...] = (
            {"status": 503},
            {"taken": False},
            {"host_disruption": (10.5, 11.0)},
        )
        for excuse in excuses:
            with self.subTest(excuse):
                self.assertEqual([], self.find_violations(**excuse))


class NoticeInvariantsTest(unittest.TestCase):
    """The invariants on what servers announce, on made-up arrivals."""

    def setUp(self) -> None:
        """Start without requests."""
        self.requests: t.Dict[str, soak_invariants.SentRequest] = {}
        self.arrivals: t.List[platform_engine.Arrival] = []
        self.disruptions: t.Dict[str, t.List[soak_invariants.Disruption]] = {}

    def add(self, at: float, host: str = "a", **fields: t.Any) -> None:
        """Add a request that a server answers 0.1 seconds after it is sent.

        `fields` are those of its arrival.
        """
        request_id = f"r-{len(self.requests)}"
        self.requests[request_id] = soak_invariants.SentRequest(
            "/safe/", "key", at, host, at + 0.1, 200, True
        )
        self.arrivals.append(
            platform_engine.Arrival(request_id, at, "i-1", **fields)
        )

    def find_violations(self) -> t.List[str]:
        """Return the violations of all requests that were added."""
        return list(
            soak_invariants.find_notice_violations(
                self.arrivals, self.requests, self.disruptions
            )
        )

    def test_late_request_to_a_leaving_server_is_found(self) -> None:
        """Guards against a soak that passes although DRAIN is broken."""
        self.add(0.0, leaving=True)
        self.add(2.5, leaving=True)
        self.assertEqual([], self.find_violations())
        self.add(2.7, leaving=True)
        self.add(2.7, host="b", leaving=True)
        (violation,) = self.find_violations()
        self.assertEqual(
            "a and i-1: r-2 was sent to a server that leaves", violation
        )

    def test_disruption_excuses_until_the_next_notice(self) -> None:
        self.add(0.0, leaving=True)
        self.disruptions["a"] = [soak_invariants.Disruption(1.0, 2.0)]
        self.add(3.0, leaving=True)
        self.assertEqual([], self.find_violations())
        self.add(6.0, leaving=True)
        self.assertEqual(1, len(self.find_violations()))
        self.disruptions["i-1"] = [soak_invariants.Disruption(4.0, 7.0)]
        self.assertEqual([], self.find_violations())

    def test_notice_that_the_caller_did_not_get_does_not_count(self) -> None:
        self.add(0.0, leaving=True)
        self.arrivals.append(
            platform_engine.Arrival("r-0", 0.05, "i-2"),
        )
        self.add(3.0, leaving=True)
        self.assertEqual([], self.find_violations())

    def test_more_than_two_requests_in_a_rest_are_found(self) -> None:
        """Guards against a soak that passes although BUDGET is broken."""
        self.add(0.0, retry_after="2")
        for at in (0.1, 0.2, 0.3, 0.6, 0.7, 2.1, 2.2):
            self.add(at)
        self.add(0.8, host="b")
        self.assertEqual([], self.find_violations())
        self.add(1.9)
        (violation,) = self.find_violations()
        self.assertIn("arrived in the rest after r-0", violation)
        self.disruptions["a"] = [soak_invariants.Disruption(0.5, 1.0)]
        self.assertEqual([], self.find_violations())
