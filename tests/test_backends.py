"""Tests of the states of backend servers."""

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
from sesamefold import revisions
from sesamefold import suspicions
from sesamefold.wire import control_pb2
from tests import control_fakes


class Setting:
    """The states as control `a` sees them; `now` is its clock."""

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
        built = revisions.build_configuration(head, chunks, customers=False)
        self.reported = []
        self.backends = backends.Backends(
            self.membership,
            lambda address: self.engine,
            lambda: built,
            report_blocks=self.take_blocks,
            clock=lambda: self.now,
            seed=1,
        )
        self.membership.reports = self.backends
        self.list_hosts(*hosts)

    async def take_blocks(self, request):
        self.reported.append(
            (
                [entry.block for entry in request.stored],
                [entry.block for entry in request.removed],
            )
        )

    def list_hosts(self, *hosts):
        revision = self.membership._listing.revision + 1
        self.membership.apply_listing(hostlist.Listing(revision, hosts))
        self.adjust()

    def adjust(self):
        """Adjust without starting tasks that poll."""
        self.backends.add_future = lambda coro: (
            coro.close(),
            asyncio.get_running_loop().create_future(),
        )[1]
        self.backends.adjust()

    async def poll(self, load=None, error=None, after=0.5, name="b"):
        """Let time pass, then poll with a load report or an error."""
        for _ in range(int(after / 0.5)):
            self.now += 0.5
            self.adjust()
        self.engine.error = error
        if load is not None:
            self.engine.load = lambda at: load
        poll = self.backends._polls.setdefault(name, backends.Poll())
        await self.backends._poll_load(name, self.engine, poll)
        self.adjust()

    def hear(self, sender, *states, sent_at=None, **kwargs):
        at = self.now if sent_at is None else sent_at
        self.membership.handle_heartbeat(
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
    async def test_states_of_an_engine(self):
        """Guards against load on engines that are cold, silent or gone."""
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
                        "after": 15.0,
                    },
                ],
            ),
            (
                "reports lost",
                "unknown",
                [{"load": WARM}, {"error": TIMEOUT, "after": 3.5}],
            ),
            (
                "reports lost for a moment",
                "warm",
                [{"load": WARM}, {"error": TIMEOUT, "after": 1.0}],
            ),
            (
                "reports stuck at one measurement",
                "unknown",
                [{"load": WARM}, {"load": WARM, "after": 3.5}],
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
                setting = Setting(control_fakes.make_backend("b"))
                self.assertEqual("unknown", setting.get_state())
                for step in steps:
                    await setting.poll(**step)
                self.assertEqual(expected, setting.get_state())

    async def test_listed_as_leaving(self):
        """Guards against new work for a server that the platform removes."""
        setting = Setting(control_fakes.make_backend("b", state="leaving"))
        await setting.poll(WARM)
        self.assertEqual("leaving", setting.get_state())

    async def test_failure_of_an_engine(self):
        """Guards against more requests to a server that just crashed."""
        setting = Setting(control_fakes.make_backend("b"))
        await setting.poll(WARM)
        for epoch, expected in (("e0", "warm"), ("e1", "down")):
            await setting.backends.report_failure(
                control_pb2.ReportFailureRequest(backend="b", epoch=epoch),
                forwarded=False,
            )
            self.assertEqual(expected, setting.get_state(), epoch)
        # A report that was measured before the failure says nothing.
        await setting.poll(make_load(5000.2))
        self.assertEqual("down", setting.get_state())
        await setting.poll(make_load(5001.0))
        self.assertEqual("warm", setting.get_state())

    async def test_plain_service(self):
        """Guards against plain services that are never or always used."""
        setting = Setting(control_fakes.make_backend("s", group="p"))
        self.assertEqual("warm", setting.get_state("s"))
        await setting.backends.report_failure(
            control_pb2.ReportFailureRequest(backend="s"), forwarded=False
        )
        self.assertEqual("down", setting.get_state("s"))
        setting.now += defaults.FAILURE_SECONDS
        setting.adjust()
        self.assertEqual("warm", setting.get_state("s"))

    async def test_cache_events(self):
        """Guards against blocks that the directory never forgets."""
        event = engines.CacheEvent
        setting = Setting(control_fakes.make_backend("b"))
        poll = backends.Poll()
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
                setting.engine.events, setting.engine.blocks = events, blocks
                setting.reported.clear()
                await setting.backends._poll_events("b", setting.engine, poll)
                self.assertEqual(expected, setting.reported)
        self.assertTrue(poll.gap)
        setting.reported.clear()
        poll.listed_at -= defaults.DIRECTORY_RESYNC_INTERVAL
        await setting.backends._poll_events("b", setting.engine, poll)
        self.assertEqual([(["w"], ["y", "z"])], setting.reported)
        self.assertFalse(poll.gap)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    def open(self, owner):
        """Return a setting and a server that `owner` ("a" or "x") owns."""
        setting = Setting()
        setting.hear("x")
        names = (f"b{index}" for index in range(100))
        name = next(n for n in names if setting.backends.get_owner(n) == owner)
        setting.list_hosts(control_fakes.make_backend(name))
        return setting, name

    async def test_states_from_the_owner(self):
        """Guards against states that no one vouches for."""
        for case, expected, steps in (
            ("reported", "warm", ("states",)),
            ("vouched for by heartbeats", "warm", ("states", 2, "", 2, "")),
            ("owner silent", "unknown", ("states", 2, "", 3.5)),
            ("owner leaves", "unknown", ("states", "leaving", 3.5)),
            ("heartbeat held up", "unknown", ("states", 3.5, "late")),
        ):
            with self.subTest(case):
                setting, name = self.open("x")
                state = control_pb2.BackendState(
                    name=name, state="warm", epoch="e1"
                )
                for step in steps:
                    if step == "states":
                        setting.hear("x", state)
                    elif step == "leaving":
                        setting.hear("x", leaving=True)
                    elif step == "late":
                        setting.hear("x", sent_at=setting.now - 3.5)
                    elif step == "":
                        setting.hear("x")
                    else:
                        for _ in range(int(step / 0.5)):
                            setting.now += 0.5
                            setting.adjust()
                self.assertEqual(expected, setting.get_state(name))

    async def test_state_that_arrives_before_the_listing(self):
        """Guards against a state lost because this host's list lags."""
        setting, name = self.open("x")
        setting.list_hosts()
        setting.hear("x", control_pb2.BackendState(name=name, state="warm"))
        setting.list_hosts(control_fakes.make_backend(name))
        self.assertEqual("warm", setting.get_state(name))

    async def test_owner_change(self):
        """Guards against a restart unseen because the owner changed."""
        setting, name = self.open("x")
        setting.hear(
            "x",
            control_pb2.BackendState(name=name, state="warm", epoch="e1"),
        )
        setting.hear("x", leaving=True)
        setting.adjust()
        self.assertEqual("a", setting.backends.get_owner(name))
        record = setting.backends._records[name]
        poll = setting.backends._open_poll(record)
        setting.backends.take_load(name, make_load(4999.0, "e2"), poll)
        self.assertEqual("cold", setting.get_state(name))
        # The earlier owner, back from a pause, does not replace it.
        setting.hear(
            "x",
            control_pb2.BackendState(name=name, state="warm", epoch="e1"),
            leaving=True,
        )
        self.assertEqual("cold", setting.get_state(name))

    async def test_peers_get_what_they_lack(self):
        """Guards against peers that miss a change after a lost heartbeat."""
        setting, name = self.open("a")
        exchange = setting.backends

        def collect(incarnation):
            states, mark = exchange.collect_states("x", incarnation)
            return [state.name for state in states], mark

        await setting.poll(WARM, name=name)
        names, mark = collect("")
        self.assertEqual([name], names, "never heard")
        self.assertEqual([name], collect("")[0], "answer lost")
        exchange.acknowledge("x", "i1", mark)
        self.assertEqual([], collect("i1")[0], "confirmed")
        await setting.poll(make_load(5001.0, running=1), name=name)
        self.assertEqual([], collect("i1")[0], "small change of the load")
        await setting.poll(make_load(5002.0, cold=True), name=name)
        names, mark = collect("i1")
        self.assertEqual([name], names, "changed")
        exchange.acknowledge("x", "i2", mark)
        self.assertEqual([name], collect("i2")[0], "restarted meanwhile")

    async def test_states_travel_in_replies(self):
        """Guards against states lost with the reply to a heartbeat."""
        setting, name = self.open("a")
        await setting.poll(WARM, name=name)
        own = setting.membership.member.incarnation

        def call(**fields):
            request = control_pb2.HeartbeatRequest(
                sender=control_pb2.Member(
                    name="x", data_centre="dc", incarnation="i1"
                ),
                deadline=setting.now + defaults.HEARTBEAT_TIMEOUT,
                **fields,
            )
            reply = setting.membership.handle_heartbeat(request)
            return [state.name for state in reply.states], reply.mark

        names, mark = call()
        self.assertEqual([name], names)
        self.assertEqual([name], call()[0], "reply lost")
        other = {"received_mark": mark, "received_from": "before a restart"}
        self.assertEqual([name], call(**other)[0])
        taken = {"received_mark": mark, "received_from": own}
        self.assertEqual([], call(**taken)[0])
        self.assertEqual([], call()[0])

    async def test_suspicions_reach_members_and_gateways(self):
        """Guards against verdicts that a late or restarted host lacks."""
        setting, other = self.open("a")[0], self.open("a")[0]
        records = suspicions.Suspicions(clock=lambda: setting.now)
        change = records.add_crash(b"r" * 16, b"crash-1 ")
        urgent = setting.membership._urgent.event
        setting.backends.report_suspicions([change])
        self.assertTrue(urgent.is_set())
        request = control_pb2.HeartbeatRequest(
            sender=control_pb2.Member(
                name="x", data_centre="dc", incarnation="i1"
            ),
            deadline=setting.now + defaults.HEARTBEAT_TIMEOUT,
        )
        reply = setting.membership.handle_heartbeat(request)
        self.assertEqual([change], list(reply.suspicions))
        setting.backends.acknowledge("x", "i1", reply.mark)
        self.assertEqual([], setting.backends.collect_suspicions("x", "i1"))
        found = setting.backends.collect_suspicions("x", "i2")
        self.assertEqual([change], found, "restarted")
        # A member passes on what it got from another one.
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
        setting.now += defaults.QUARANTINE_SECONDS
        self.assertEqual([], setting.backends.collect_suspicions("z", ""))

    async def test_silent_engine_is_withdrawn(self):
        """Guards against heartbeats that vouch for an old state."""
        setting, name = self.open("a")
        await setting.poll(WARM, name=name)
        _, mark = setting.backends.collect_states("x", "i1")
        setting.backends.acknowledge("x", "i1", mark)
        for _ in range(8):
            setting.hear("x")
            await setting.poll(error=TIMEOUT, name=name)
        states, _ = setting.backends.collect_states("x", "i1")
        self.assertEqual(["unknown"], [state.state for state in states])


class MessageTest(unittest.TestCase):
    def test_reports_keep_their_fields(self):
        """Guards against a load field that is not passed on."""
        fields = {field.name for field in attrs.fields(engines.Load)}
        wire = {f.name for f in control_pb2.BackendState.DESCRIPTOR.fields}
        self.assertEqual({"cold", "leaving"}, fields - wire)
