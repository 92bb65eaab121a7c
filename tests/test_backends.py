"""Tests of the backend servers' states."""

import asyncio
import contextlib
import unittest

import attrs

from sesamefold import backends
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import membership
from sesamefold import quarantine
from sesamefold import revisions
from sesamefold import suspicions
from sesamefold.wire import control_pb2
from tests import control_fakes


class Fixture:
    """Backend states of control `a`; `now` is its clock, Unix seconds."""

    def __init__(self, *hosts):
        self.now = 5000.0
        self.engine = control_fakes.Engine()
        self.membership = membership.Membership(
            control_pb2.Member(name="a", data_centre="dc"),
            control_fakes.HostList(),
            clock=lambda: self.now,
            seed=1,
        )
        head, chunks = control_fakes.make_revision(1)
        built = revisions.build_configuration(
            head, chunks, include_customers=False
        )
        self.reported = []
        self.backends = backends.Backends(
            self.membership,
            lambda address: self.engine,
            lambda: built,
            report_blocks=self.record_blocks,
            clock=lambda: self.now,
            seed=1,
        )
        self.membership.reports = self.backends
        self.list_hosts(*hosts)

    async def record_blocks(self, request):
        self.reported.append(
            (
                [entry.block for entry in request.stored],
                [entry.block for entry in request.removed],
            )
        )

    def list_hosts(self, *hosts):
        revision = self.membership._listing.revision + 1
        self.membership.apply_listing(hostlist.Listing(revision, hosts))
        self.reconcile()

    def reconcile(self):
        """Reconcile without starting the polling tasks."""
        self.backends.add_future = lambda coro: (
            coro.close(),
            asyncio.get_running_loop().create_future(),
        )[1]
        self.backends.reconcile()

    async def poll(self, load=None, error=None, elapsed=0.5, name="b"):
        """Advance the clock, then poll with a load report or an error."""
        for _ in range(int(elapsed / 0.5)):
            self.now += 0.5
            self.reconcile()
        self.engine.error = error
        if load is not None:
            self.engine.load = lambda at: load
        poll_state = self.backends._poll_states.setdefault(
            name, backends.PollState()
        )
        await self.backends._poll_load(name, self.engine, poll_state)
        self.reconcile()

    def receive_heartbeat(self, sender, *states, sent_at=None, **kwargs):
        at = self.now if sent_at is None else sent_at
        return self.membership.handle_heartbeat(
            control_pb2.HeartbeatRequest(
                sender=control_pb2.Member(
                    name=sender,
                    data_centre="dc",
                    control_address="127.0.0.1:1",
                    **kwargs,
                ),
                states=states,
                deadline=at + defaults.HEARTBEAT_TIMEOUT,
            )
        )

    def get_state(self, name="b"):
        return self.backends.get_state(name).state


def make_load(measured_at, epoch="e1", cold=False, leaving=False, running=0):
    return engines.Load(
        epoch, cold, leaving, running, 0, 16, ("m@v1",), "serve", measured_at
    )


WARM = make_load(4999.0)
REFUSED = exceptions.BackendUnreachable("refused")
TIMEOUT = exceptions.BackendFailed("timeout")


class PollingTest(unittest.IsolatedAsyncioTestCase):
    async def test_poll_results_give_engine_state(self):
        """Guards against unlimited load on cold, silent or stopped engines."""
        restarted = make_load(5000.0, "e2")
        cases = (
            ("warm", "warm", [{"load": WARM}]),
            ("reports cold", "cold", [{"load": make_load(4999, cold=True)}]),
            (
                "leaving",
                "leaving",
                [{"load": make_load(4999, leaving=True)}],
            ),
            (
                "restart, lagging report",
                "cold",
                [{"load": WARM}, {"load": restarted}],
            ),
            (
                "restart, lagging report measured before it was seen",
                "cold",
                [
                    {"load": WARM},
                    {"load": restarted},
                    {"load": make_load(5000.4, "e2")},
                ],
            ),
            (
                "restart, then reports warm",
                "warm",
                [
                    {"load": WARM},
                    {"load": restarted},
                    {"load": make_load(5001.5, "e2")},
                ],
            ),
            (
                "restart, cold for long",
                "cold",
                [
                    {"load": WARM},
                    {"load": make_load(5000.0, "e2", cold=True)},
                    {
                        "load": make_load(5015.0, "e2", cold=True),
                        "elapsed": 15.0,
                    },
                ],
            ),
            (
                "reports lost",
                "unknown",
                [{"load": WARM}, {"error": TIMEOUT, "elapsed": 3.5}],
            ),
            (
                "reports lost for a moment",
                "warm",
                [{"load": WARM}, {"error": TIMEOUT, "elapsed": 1.0}],
            ),
            (
                "reports stuck at one measurement",
                "unknown",
                [{"load": WARM}, {"load": WARM, "elapsed": 3.5}],
            ),
            ("refused once", "warm", [{"load": WARM}, {"error": REFUSED}]),
            (
                "refused twice",
                "down",
                [{"load": WARM}, {"error": REFUSED}, {"error": REFUSED}],
            ),
            (
                "back after it was down",
                "warm",
                [
                    {"load": WARM},
                    {"error": REFUSED},
                    {"error": REFUSED},
                    {"load": make_load(5001.5)},
                ],
            ),
            (
                "back after it was down, restarted",
                "cold",
                [
                    {"load": WARM},
                    {"error": REFUSED},
                    {"error": REFUSED},
                    {"load": make_load(5001.0, "e2")},
                ],
            ),
        )
        for name, expected, steps in cases:
            with self.subTest(name):
                fixture = Fixture(control_fakes.make_backend("b"))
                self.assertEqual("unknown", fixture.get_state())
                for step in steps:
                    await fixture.poll(**step)
                self.assertEqual(expected, fixture.get_state())

    async def test_measurements_are_compared_within_the_clock_skew(self):
        """Guards against reports from before a restart or failure.

        The clock of the engine is ahead, so they seem to be newer.
        """

        async def restart(fixture):
            fixture.backends._suspect_restart("b")

        async def fail(fixture):
            await fixture.backends.report_failure(
                control_pb2.ReportFailureRequest(backend="b", epoch="e1"),
                forwarded=False,
            )

        for case, expected, interrupt in (
            ("connection lost", "cold", restart),
            ("failure reported", "down", fail),
        ):
            with self.subTest(case):
                fixture = Fixture(control_fakes.make_backend("b"))
                await fixture.poll(WARM)
                measured_at = fixture.now - 0.1 + defaults.CLOCK_SKEW
                await interrupt(fixture)
                await fixture.poll(make_load(measured_at))
                self.assertEqual(expected, fixture.get_state())
                await fixture.poll(make_load(measured_at + 0.5))
                self.assertEqual("warm", fixture.get_state())

    async def test_peers_get_a_measurement_that_is_newer_than_a_failure(self):
        """Guards against peers that avoid a server that has recovered.

        They compare the measurement with the failure, too.
        """
        fixture = Fixture(control_fakes.make_backend("b"))
        await fixture.poll(WARM)
        await fixture.backends.report_failure(
            control_pb2.ReportFailureRequest(backend="b"), forwarded=False
        )
        newest_at = fixture.now + defaults.CLOCK_SKEW
        received = []
        for measured_at in (5000.8, 5001.3, 5001.8, 5002.3):
            await fixture.poll(make_load(measured_at))
            states, mark = fixture.backends.collect_states("x", "i1")
            fixture.backends.acknowledge("x", "i1", mark)
            received.extend(state.measured_at for state in states)
        self.assertLessEqual(newest_at, received[-1])
        self.assertLess(received[-1], 5002.3, "sent without a change")

    async def test_server_listed_as_leaving_is_leaving(self):
        """Guards against requests to a server that the platform removes."""
        fixture = Fixture(control_fakes.make_backend("b", state="leaving"))
        await fixture.poll(WARM)
        self.assertEqual("leaving", fixture.get_state())

    async def test_failed_engine_is_down_until_newer_report(self):
        """Guards against further requests to a server that just crashed."""
        fixture = Fixture(control_fakes.make_backend("b"))
        await fixture.poll(WARM)
        for epoch, expected in (("e0", "warm"), ("e1", "down")):
            await fixture.backends.report_failure(
                control_pb2.ReportFailureRequest(backend="b", epoch=epoch),
                forwarded=False,
            )
            self.assertEqual(expected, fixture.get_state(), epoch)
        # A measurement from before the failure does not change the state.
        await fixture.poll(make_load(5000.2))
        self.assertEqual("down", fixture.get_state())
        await fixture.poll(make_load(5001.0))
        self.assertEqual("warm", fixture.get_state())

    async def test_plain_service_is_down_only_after_failure(self):
        """Guards against services used after a failure or never again.

        A plain service reports no load; it is down for a limited time after
        a failure.
        """
        fixture = Fixture(control_fakes.make_backend("s", group="p"))
        self.assertEqual("warm", fixture.get_state("s"))
        await fixture.backends.report_failure(
            control_pb2.ReportFailureRequest(backend="s"), forwarded=False
        )
        self.assertEqual("down", fixture.get_state("s"))
        fixture.now += defaults.FAILURE_SECONDS
        fixture.reconcile()
        self.assertEqual("warm", fixture.get_state("s"))

    async def test_cache_events_update_directory(self):
        """Guards against freed blocks that stay in the directory."""
        event = engines.CacheEvent
        fixture = Fixture(control_fakes.make_backend("b"))
        poll_state = backends.PollState()
        cases = (
            ("first listing", [], ["x", "y"], [(["x", "y"], [])]),
            (
                "events in order",
                [event(1, "stored", "z"), event(2, "freed", "x")],
                [],
                [(["z"], ["x"])],
            ),
            ("nothing new", [event(2, "freed", "x")], [], []),
            (
                "gap, listing not due",
                [event(5, "stored", "w")],
                ["w"],
                [(["w"], [])],
            ),
        )
        for name, events, blocks, expected in cases:
            with self.subTest(name):
                fixture.engine.events, fixture.engine.blocks = events, blocks
                fixture.reported.clear()
                await fixture.backends._poll_events(
                    "b", fixture.engine, poll_state
                )
                self.assertEqual(expected, fixture.reported)
        self.assertTrue(poll_state.has_missed_events)
        fixture.reported.clear()
        poll_state.listed_at -= defaults.DIRECTORY_RESYNC_INTERVAL
        await fixture.backends._poll_events("b", fixture.engine, poll_state)
        self.assertEqual([(["w"], ["y", "z"])], fixture.reported)
        self.assertFalse(poll_state.has_missed_events)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    def make_fixture(self, owner):
        """Return a fixture and the name of a server owned by "a" or "x"."""
        fixture = Fixture()
        fixture.receive_heartbeat("x")
        names = (f"b{index}" for index in range(100))
        name = next(n for n in names if fixture.backends.get_owner(n) == owner)
        fixture.list_hosts(control_fakes.make_backend(name))
        return fixture, name

    async def test_state_is_unknown_without_heartbeats_of_owner(self):
        """Guards against a state that no heartbeat of its owner refreshes."""
        for case, expected, steps in (
            ("reported", "warm", ("states",)),
            ("refreshed by heartbeats", "warm", ("states", 2, "", 2, "")),
            ("owner silent", "unknown", ("states", 2, "", 3.5)),
            ("owner leaves", "unknown", ("states", "leaving", 3.5)),
            ("heartbeat delayed", "unknown", ("states", 3.5, "late")),
        ):
            with self.subTest(case):
                fixture, name = self.make_fixture("x")
                state = control_pb2.BackendState(
                    name=name, state="warm", epoch="e1"
                )
                for step in steps:
                    if step == "states":
                        fixture.receive_heartbeat("x", state)
                    elif step == "leaving":
                        fixture.receive_heartbeat("x", leaving=True)
                    elif step == "late":
                        fixture.receive_heartbeat(
                            "x", sent_at=fixture.now - 3.5
                        )
                    elif step == "":
                        fixture.receive_heartbeat("x")
                    else:
                        for _ in range(int(step / 0.5)):
                            fixture.now += 0.5
                            fixture.reconcile()
                self.assertEqual(expected, fixture.get_state(name))

    async def test_restarted_owner_does_not_refresh_earlier_states(self):
        """Guards against a state kept by an owner that does not poll it.

        The new incarnation of the owner gets no answer from the engine, so it
        has no state of the engine to send.
        """
        fixture, name = self.make_fixture("x")
        state = control_pb2.BackendState(name=name, state=backends.WARM)
        fixture.receive_heartbeat("x", state, incarnation="i1")
        for _ in range(10):
            fixture.now += 0.5
            fixture.receive_heartbeat("x", incarnation="i2")
            fixture.reconcile()
        self.assertEqual(backends.UNKNOWN, fixture.get_state(name))

    async def test_delayed_state_of_an_earlier_incarnation_is_ignored(self):
        """Guards against a state from before the restart of its owner."""
        fixture, name = self.make_fixture("x")
        warm, down = (
            control_pb2.BackendState(name=name, state=state, epoch="e1")
            for state in (backends.WARM, backends.DOWN)
        )
        sent_at = fixture.now
        fixture.now += 1.0
        fixture.receive_heartbeat("x", down, incarnation="i2")
        reply = fixture.receive_heartbeat(
            "x", warm, sent_at=sent_at, incarnation="i1"
        )
        self.assertEqual(backends.DOWN, fixture.get_state(name))
        self.assertEqual("", reply.receiver.name, "acknowledged")

    async def test_delayed_heartbeat_does_not_replace_a_newer_state(self):
        """Guards against a state that a delayed heartbeat sets for good.

        The owner considers the newer state as received and does not send it
        again, while its later heartbeats confirm the older one.
        """
        fixture, name = self.make_fixture("x")
        warm, down = (
            control_pb2.BackendState(name=name, state=state, epoch="e1")
            for state in (backends.WARM, backends.DOWN)
        )
        sent_at = fixture.now
        fixture.now += 0.5
        fixture.receive_heartbeat("x", down)
        fixture.receive_heartbeat("x", warm, sent_at=sent_at)
        for _ in range(10):
            fixture.now += 0.5
            fixture.receive_heartbeat("x")
            fixture.reconcile()
        self.assertEqual(backends.DOWN, fixture.get_state(name))

    async def test_change_numbers_order_the_states_of_a_control(self):
        """Guards against an order of requests and replies by time alone.

        A reply may have been sent long after the call that it answers.
        """
        state = control_pb2.BackendState
        warm, down, busy = (
            state(state="warm", change_number=1, measured_at=4999.0),
            state(state="down", change_number=2),
            state(state="warm", change_number=1, measured_at=4999.5),
        )
        old_warm, old_down = state(state="warm"), state(state="down")
        for case, expected, steps in (
            ("late reply", down, ((warm, 0.6, 0.6), (down, 0.0, 0.7))),
            ("late request", down, ((down, 0.0, 0.7), (warm, 0.2, 0.2))),
            ("late load", busy, ((busy, 0.0, 0.7), (warm, 0.2, 0.2))),
            (
                "late reply of an earlier build",
                old_down,
                ((old_warm, 0.6, 0.6), (old_down, 0.0, 0.7)),
            ),
            (
                "request within the clock skew, of an earlier build",
                old_down,
                ((old_warm, 0.6, 0.7), (old_down, 0.2, 0.2)),
            ),
        ):
            for listed in (True, False):
                with self.subTest(case, listed=listed):
                    fixture, name = self.make_fixture("x")
                    hosts = fixture.membership.list_backends()
                    if not listed:
                        fixture.list_hosts()
                    for sent, sent_at, sent_until in steps:
                        sent.name = name
                        fixture.backends.receive_states(
                            control_pb2.Member(name="x", incarnation="i1"),
                            [sent],
                            fixture.now + sent_at,
                            fixture.now + sent_until,
                        )
                    fixture.now += 0.7
                    fixture.list_hosts(*hosts)
                    found = fixture.backends.get_state(name)
                    self.assertEqual(
                        (expected.state, expected.measured_at),
                        (found.state, found.measured_at),
                    )
                    self.assertEqual(0, found.change_number)

    async def test_each_change_that_is_sent_has_a_higher_number(self):
        """Guards against changes that peers cannot order."""
        fixture, name = self.make_fixture("a")
        numbers = []
        for step in (
            {"load": WARM},
            {"load": make_load(5000.5, running=1)},  # not a change for peers
            {"load": make_load(5001.0, cold=True)},
            {"error": REFUSED},
            {"error": REFUSED},
            {"load": make_load(5002.5)},
            {"error": TIMEOUT, "elapsed": 3.5},
        ):
            await fixture.poll(name=name, **step)
            states, _ = fixture.backends.collect_states("x", "i1")
            numbers.append(states[0].change_number)
        self.assertEqual([1, 1, 2, 2, 3, 4, 5], numbers)

    async def test_state_received_before_listing_is_applied(self):
        """Guards against a state lost because the host list lags here."""
        fixture, name = self.make_fixture("x")
        fixture.list_hosts()
        fixture.receive_heartbeat(
            "x", control_pb2.BackendState(name=name, state="warm")
        )
        fixture.list_hosts(control_fakes.make_backend(name))
        self.assertEqual("warm", fixture.get_state(name))

    async def test_new_owner_detects_restart(self):
        """Guards against a restart missed because the owner changes."""
        fixture, name = self.make_fixture("x")
        fixture.receive_heartbeat(
            "x",
            control_pb2.BackendState(name=name, state="warm", epoch="e1"),
        )
        fixture.receive_heartbeat("x", leaving=True)
        fixture.reconcile()
        self.assertEqual("a", fixture.backends.get_owner(name))
        record = fixture.backends._records[name]
        poll_state = fixture.backends._get_poll_state(record)
        fixture.backends.apply_load_report(
            name, make_load(4999.0, "e2"), poll_state
        )
        self.assertEqual("cold", fixture.get_state(name))
        # The former owner reports after a pause; its state is ignored.
        fixture.receive_heartbeat(
            "x",
            control_pb2.BackendState(name=name, state="warm", epoch="e1"),
            leaving=True,
        )
        self.assertEqual("cold", fixture.get_state(name))

    async def test_new_owner_sends_a_failure_before_its_first_poll(self):
        """Guards against peers that do not get the failure of a server."""
        fixture, name = self.make_fixture("x")
        fixture.receive_heartbeat(
            "x", control_pb2.BackendState(name=name, state="warm", epoch="e1")
        )
        fixture.receive_heartbeat("x", leaving=True)
        await fixture.backends.report_failure(
            control_pb2.ReportFailureRequest(backend=name), forwarded=False
        )
        states, _ = fixture.backends.collect_states("y", "i1")
        self.assertEqual(["unknown"], [state.state for state in states])

    async def test_peer_gets_unacknowledged_changes(self):
        """Guards against a change that a peer lacks after a lost heartbeat."""
        fixture, name = self.make_fixture("a")
        owner = fixture.backends

        def collect(incarnation):
            states, mark = owner.collect_states("x", incarnation)
            return [state.name for state in states], mark

        await fixture.poll(WARM, name=name)
        names, mark = collect("")
        self.assertEqual([name], names, "no heartbeat before")
        self.assertEqual([name], collect("")[0], "reply lost")
        owner.acknowledge("x", "i1", mark)
        self.assertEqual([], collect("i1")[0], "confirmed")
        await fixture.poll(make_load(5001.0, running=1), name=name)
        self.assertEqual([], collect("i1")[0], "small change of the load")
        await fixture.poll(make_load(5002.0, cold=True), name=name)
        names, mark = collect("i1")
        self.assertEqual([name], names, "changed")
        owner.acknowledge("x", "i2", mark)
        self.assertEqual([name], collect("i2")[0], "peer restarted")

    async def test_reply_repeats_states_until_acknowledged(self):
        """Guards against states lost with the reply to a heartbeat."""
        fixture, name = self.make_fixture("a")
        await fixture.poll(WARM, name=name)
        own = fixture.membership.member.incarnation

        def call(**fields):
            request = control_pb2.HeartbeatRequest(
                sender=control_pb2.Member(
                    name="x", data_centre="dc", incarnation="i1"
                ),
                deadline=fixture.now + defaults.HEARTBEAT_TIMEOUT,
                **fields,
            )
            reply = fixture.membership.handle_heartbeat(request)
            return [state.name for state in reply.states], reply.mark

        names, mark = call()
        self.assertEqual([name], names)
        self.assertEqual([name], call()[0], "reply lost")
        stale = {"received_mark": mark, "received_from": "before a restart"}
        self.assertEqual([name], call(**stale)[0])
        acknowledged = {"received_mark": mark, "received_from": own}
        self.assertEqual([], call(**acknowledged)[0])
        self.assertEqual([], call()[0])

    async def test_suspicions_reach_peers_and_gateways(self):
        """Guards against suspicions that a late or restarted host lacks."""
        fixture, other = self.make_fixture("a")[0], self.make_fixture("a")[0]
        records = suspicions.Suspicions(
            clock=lambda: fixture.now, types=quarantine.MESSAGE_TYPES
        )
        change = records.add_crash(b"r" * 16, b"crash-1 ")
        urgent_event = fixture.membership._urgent.event
        fixture.backends.report_suspicions([change])
        self.assertTrue(urgent_event.is_set())
        request = control_pb2.HeartbeatRequest(
            sender=control_pb2.Member(
                name="x", data_centre="dc", incarnation="i1"
            ),
            deadline=fixture.now + defaults.HEARTBEAT_TIMEOUT,
        )
        reply = fixture.membership.handle_heartbeat(request)
        self.assertEqual([change], list(reply.suspicions))
        fixture.backends.acknowledge("x", "i1", reply.mark)
        self.assertEqual([], fixture.backends.collect_suspicions("x", "i1"))
        found = fixture.backends.collect_suspicions("x", "i2")
        self.assertEqual([change], found, "restarted")
        # A peer forwards the suspicions that it received.
        request.suspicions.extend(found)
        other.membership.handle_heartbeat(request)
        found = other.backends.collect_suspicions("y", "i1")
        self.assertEqual([change], found, "third host")
        async with contextlib.aclosing(other.backends.watch()) as watch:
            message = await anext(watch)
            self.assertEqual([change], list(message.suspicions))
            cleared = records.clear_crashes(b"r" * 16, [b"crash-1 "])
            other.backends.report_suspicions([cleared])
            message = await anext(watch)
        self.assertTrue(message.suspicions[0].crashes[0].cleared)
        fixture.now += defaults.QUARANTINE_SECONDS
        self.assertEqual([], fixture.backends.collect_suspicions("z", ""))

    async def test_silent_engine_becomes_unknown_at_peers(self):
        """Guards against heartbeats that refresh an outdated state."""
        fixture, name = self.make_fixture("a")
        await fixture.poll(WARM, name=name)
        _, mark = fixture.backends.collect_states("x", "i1")
        fixture.backends.acknowledge("x", "i1", mark)
        for _ in range(8):
            fixture.receive_heartbeat("x")
            await fixture.poll(error=TIMEOUT, name=name)
        states, _ = fixture.backends.collect_states("x", "i1")
        self.assertEqual(["unknown"], [state.state for state in states])


class MessageTest(unittest.TestCase):
    def test_backend_state_has_all_load_fields(self):
        """Guards against a load field that is not sent to peers."""
        fields = {field.name for field in attrs.fields(engines.Load)}
        wire = {f.name for f in control_pb2.BackendState.DESCRIPTOR.fields}
        self.assertEqual({"cold", "leaving"}, fields - wire)
