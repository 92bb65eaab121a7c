"""Tests of the requests that wait for room at the servers."""

import asyncio
import random
import typing as t
import unittest

import attrs

from sesamefold.entry import loads
from sesamefold.entry import requests
from sesamefold.entry import room_queue
from sesamefold.entry import topology
from sesamefold import exceptions
from tests import entry_fakes
from tests import test_entry_contention

MEMORY_TOKENS = test_entry_contention.MEMORY_TOKENS


class RoomCase(unittest.IsolatedAsyncioTestCase):
    """Test case with one host and two servers."""

    server_count = 2

    def setUp(self) -> None:
        """Make the host and its queue."""
        self.clock = entry_fakes.FakeClock()
        self.host = self.make_host("h-1")
        self.queue = self.make_queue(self.host)
        self.number = 0

    def make_host(self, name: str) -> test_entry_contention.Host:
        """Return a host that knows the servers."""
        host = test_entry_contention.Host(name, self.clock, True)
        for server_id in list(host.placement.catalog.servers)[
            self.server_count :
        ]:
            del host.placement.catalog.servers[server_id]
        return host

    def make_queue(
        self, host: test_entry_contention.Host
    ) -> room_queue.RoomQueue:
        """Return the queue of a host."""
        return room_queue.RoomQueue(
            host.placement, host.loads, entry_fakes.make_log(), self.clock
        )

    def make_call(
        self, tokens: int, rank: int = 1, customer: str = "", **fields: t.Any
    ) -> requests.Call:
        """Return a request with a prompt of some tokens."""
        self.number += 1
        call = entry_fakes.make_call(
            f"r-{self.number}",
            requests.Prompt(
                "m",
                tokens,
                0,
                (requests.PromptPart(f"{self.number:x}", tokens),),
            ),
            arrived_at=self.clock.now,
            deadline=self.clock.now + 10.0,
            customer=topology.Customer(customer) if customer else None,
            **fields,
        )
        call.route = attrs.evolve(call.route, priority=rank)
        return call

    def start(
        self, call: requests.Call, check: t.Callable[[], None] = lambda: None
    ) -> "asyncio.Task[room_queue.Place]":
        """Let a request wait for room."""
        return asyncio.create_task(self.queue.acquire(call, check))

    def fill(self, server_id: str, tokens: int) -> loads.Reservation:
        """Put load on a server."""
        return self.host.loads.reserve(server_id, tokens, 0)

    def fill_all(self, free: int = 0) -> t.List[loads.Reservation]:
        """Fill all servers but for some tokens."""
        return [
            self.fill(server_id, MEMORY_TOKENS - free)
            for server_id in self.host.placement.catalog.servers
        ]

    async def settle(self) -> None:
        """Let the tasks run, and offer room."""
        for _ in range(3):
            self.queue.offer()
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    def get_waiting(self, rank: int = 1) -> loads.Load:
        """Return what the other hosts are told of waiting requests."""
        return self.host.loads.get_load(loads.make_waiting_row("chat", rank))


class OrderTest(RoomCase):
    """Who is next while callers compete for too little room."""

    async def test_request_with_room_does_not_wait(self) -> None:
        place = await self.queue.acquire(self.make_call(1000), lambda: None)
        self.assertEqual(
            self.host.loads.get_load(place.server.id).memory_tokens, 1000
        )
        self.assertEqual(self.get_waiting(), loads.Load())

    async def test_urgent_request_goes_before_those_that_wait(self) -> None:
        """Guards against urgent requests behind less urgent ones."""
        filled = self.fill_all()
        later = self.start(self.make_call(9000, rank=2))
        await self.settle()
        urgent = self.start(self.make_call(9000, rank=0))
        await self.settle()
        filled[0].release()
        self.fill("i-0", MEMORY_TOKENS - 20_000)
        await self.settle()
        self.assertTrue(urgent.done())
        self.assertFalse(later.done())
        later.cancel()

    async def test_customer_with_many_requests_leaves_room_to_others(
        self,
    ) -> None:
        """Guards against one customer that takes all room."""
        filled = self.fill_all()
        many = [
            self.start(self.make_call(9000, customer="large"))
            for _ in range(6)
        ]
        await self.settle()
        single = self.start(self.make_call(9000, customer="small"))
        await self.settle()
        filled[0].release()
        self.fill("i-0", MEMORY_TOKENS - 30_000)
        await self.settle()
        self.assertTrue(single.done())
        self.assertLess(sum(task.done() for task in many), 3)
        for task in many:
            task.cancel()

    async def test_long_prompts_are_spread_over_the_engines(self) -> None:
        """Guards against streams that pause while long prompts are read."""
        places = [
            await self.queue.acquire(self.make_call(13_000), lambda: None)
            for _ in range(2)
        ]
        self.assertEqual(len({place.server.id for place in places}), 2)
        third = self.start(self.make_call(13_000))
        await self.settle()
        self.assertFalse(third.done())
        short = await self.queue.acquire(
            self.make_call(800, rank=0), lambda: None
        )
        short.reservation.release()
        places[0].reservation.record_prefill()
        for _ in range(40):
            await self.settle()
        self.assertTrue(third.done())

    async def test_large_prompt_is_not_passed_over_forever(self) -> None:
        """Guards against small prompts that take each piece of room."""
        filled = self.fill_all()
        large = self.start(self.make_call(40_000))
        await self.settle()
        self.clock.now += 1.5
        await self.settle()
        waited = 0
        while not large.done() and waited < 20:
            waited += 1
            # Pieces of room are freed, and small prompts arrive all the time.
            filled.pop(0).release()
            for server_id in ("i-0", "i-1"):
                used = self.host.loads.get_load(server_id).memory_tokens
                if used < 10_000:
                    filled.append(self.fill(server_id, MEMORY_TOKENS // 2))
            small = self.start(self.make_call(5000))
            await self.settle()
            if small.done():
                filled.append(small.result().reservation)
            else:
                small.cancel()
        self.assertTrue(large.done())
        large.result().reservation.release()


class EndTest(RoomCase):
    """Ends of waiting requests."""

    async def test_nothing_is_held_however_a_request_ends(self) -> None:
        """Guards against room that is reserved for nobody."""
        filled = self.fill_all()
        tasks = [self.start(self.make_call(60_000)) for _ in range(3)]
        await self.settle()
        self.assertEqual(self.get_waiting().requests, 3)
        self.clock.now += 1.5
        await self.settle()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for reservation in filled:
            reservation.release()
        self.assertEqual(self.host.loads._own_loads, {})
        self.assertEqual(self.queue.count_waiting(), 0)

    async def test_request_that_gets_room_as_its_caller_leaves(self) -> None:
        filled = self.fill_all()
        task = self.start(self.make_call(9000))
        await self.settle()
        filled[0].release()
        self.queue.offer()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        filled[1].release()
        self.assertEqual(self.host.loads._own_loads, {})

    async def test_request_that_cannot_be_served_is_refused_at_once(
        self,
    ) -> None:
        """Guards against callers that wait for their deadline in vain."""
        self.fill_all()
        self.queue.record_run("route-1", 9.0)
        call = self.make_call(9000)
        call.deadline = self.clock.now + 1.0
        with self.assertRaises(exceptions.NoRoom) as caught:
            await asyncio.wait_for(self.queue.acquire(call, lambda: None), 0.5)
        self.assertGreater(caught.exception.retry_after or 0, 0.0)

    async def test_request_is_refused_at_once_while_all_servers_rest(
        self,
    ) -> None:
        """Guards against callers that wait for servers that rest longer."""
        placement = self.host.placement
        for server in placement.catalog.servers.values():
            placement.states.record_rest(server, 20.0, "r-0")
        with self.assertRaises(exceptions.NoRoom) as caught:
            await asyncio.wait_for(
                self.queue.acquire(self.make_call(9000), lambda: None), 0.5
            )
        self.assertGreaterEqual(caught.exception.retry_after or 0, 20.0)

    async def test_request_that_may_no_longer_be_sent_ends(self) -> None:
        """Guards against a key that is withdrawn while its request waits."""
        self.fill_all()
        errors: t.List[Exception] = []

        def check() -> None:
            for error in errors:
                raise error

        task = self.start(self.make_call(9000), check)
        await self.settle()
        self.assertFalse(task.done())
        errors.append(exceptions.Unauthenticated("the key is unknown"))
        await self.settle()
        with self.assertRaises(exceptions.Unauthenticated):
            await task


class FleetTest(RoomCase):
    """Many hosts that wait for the same room."""

    server_count = 3

    async def test_freed_room_is_not_taken_by_all_hosts_at_once(self) -> None:
        """Guards against a server that is overrun as soon as it has room."""
        random.seed(3)
        names = [f"h-{n}" for n in range(30)]
        hosts = [self.make_host(name) for name in names]
        queues = [self.make_queue(host) for host in hosts]
        summing = loads.Loads("sum", "region-1", self.clock)
        sequence = 0

        def exchange() -> None:
            nonlocal sequence
            sequence += 1
            for host in hosts:
                summing.receive_loads(
                    host.loads.host, ("", 1), host.loads.encode_loads(sequence)
                )
            body = summing.encode_sums(sequence)
            for host in hosts:
                host.loads.receive_sums("sum", ("", 1), body)
            self.clock.now += loads.AGGREGATION_INTERVAL_SECONDS

        filled = [
            summing.reserve(f"i-{n}", MEMORY_TOKENS, 0) for n in range(3)
        ]
        exchange()
        tasks = [
            asyncio.create_task(
                queue.acquire(self.make_call(10_000), lambda: None)
            )
            for queue in queues
        ]
        await asyncio.sleep(0)
        exchange()
        await asyncio.sleep(0)
        filled.pop().release()
        for _ in range(4):
            exchange()
            for queue in queues:
                queue.offer()
            await asyncio.sleep(0)
        placed = sum(task.done() for task in tasks)
        self.assertGreaterEqual(placed, 3)
        self.assertLessEqual(placed, 11)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
