"""Relay of the contents of context stores between hosts."""

import json
import typing as t
import unittest
import zlib

from sesamefold.entry import context_relay
from sesamefold.entry import context_stores
from sesamefold.entry import datagrams
from sesamefold.entry import store_views
from sesamefold.entry import topology
from tests import entry_fakes

STORE = topology.ContextStore("10.0.0.1:1", "dc-1", 100_000)
HOSTS = [f"entry-{number}" for number in range(14)]
REMOTE_HOSTS = [f"far-{number}" for number in range(5)]


class ContextRelayTest(unittest.TestCase):
    """Relay to one host, the receiver, by two hosts that follow a store.

    Every follower relays to some hosts. `other_follower` is one that does not
    relay to the receiver.
    """

    def setUp(self) -> None:
        """Make the hosts of a region and choose four of them."""
        self.clock = entry_fakes.FakeClock()
        self.network = entry_fakes.FakeNetwork()
        fleet = self.fleet = entry_fakes.FakeFleet(HOSTS, REMOTE_HOSTS)
        self.hosts = {host: self.make_host(host, fleet) for host in HOSTS}
        followers = self.hosts["entry-0"].rank_followers(STORE)
        name = next(host for host in HOSTS if host not in followers)
        self.receiver = self.hosts[name]
        self.view = self.receiver.views[STORE.address]
        rank = zlib.crc32(name.encode()) % len(followers)
        self.first_relay, self.second_relay, self.other_follower = (
            self.hosts[followers[(rank + n) % len(followers)]]
            for n in range(3)
        )

    def make_host(
        self, host: str, fleet: entry_fakes.FakeFleet
    ) -> context_stores.ContextStores:
        """Return the context stores of a new host with a relay."""
        local_hosts, remote_hosts = fleet.hosts, fleet.remote_hosts
        if host in REMOTE_HOSTS:
            local_hosts, remote_hosts = remote_hosts, local_hosts
        host_stores = context_stores.ContextStores(
            host,
            {"dc-1": "region-1", "dc-2": "region-2"},
            entry_fakes.make_catalog(self.clock),
            t.cast(context_stores.ContextStoreApi, None),
            fleet,
            entry_fakes.make_log(),
            self.clock,
        )
        host_stores.views[STORE.address] = store_views.StoreView(STORE)
        host_stores.followed_addresses = (
            {STORE.address} if host_stores.follows(STORE) else set()
        )
        context_relay.ContextRelay(
            t.cast(
                datagrams.PeerChannel,
                entry_fakes.FakeChannel(self.network, host_stores.host),
            ),
            entry_fakes.FakePeers(host, local_hosts, remote_hosts),
            host_stores,
            entry_fakes.make_log(),
            self.clock,
        )
        return host_stores

    def read_store(
        self,
        reader: context_stores.ContextStores,
        since: int,
        *parts: str,
        boot_epoch: int = 1,
        is_snapshot: bool = False,
    ) -> None:
        """Apply a read by a host with one event for each part.

        A part is removed if its name begins with a hyphen, else added.
        """
        now = self.clock.now
        batch = store_views.EventBatch(
            boot_epoch,
            since,
            since + len(parts),
            False,
            now + 500.0,
            tuple(
                store_views.ContextEvent(
                    since + number, part[0] != "-", "1/", part.strip("-"), 10
                )
                for number, part in enumerate(parts, 1)
            ),
            is_snapshot,
        )
        view = reader.views[STORE.address]
        view.apply_batch(batch, now, now)
        for listener in reader.read_listeners:
            listener(view, batch)

    def list_stored_parts(self) -> t.List[str]:
        """Return the parts in the receiver's view."""
        return sorted(part for _, part in self.view.stored_parts)

    def test_changes_reach_host_that_does_not_follow(self) -> None:
        self.assertFalse(self.receiver.follows(STORE))
        self.read_store(self.first_relay, 0, "a", "b")
        self.read_store(self.first_relay, 2, "-a", "c")
        self.assertEqual(["b", "c"], self.list_stored_parts())
        self.assertTrue(self.view.is_fresh(self.clock.now))
        self.assertEqual(500.0, self.view.engine_clock_offset)

    def test_long_salts_do_not_lengthen_each_part(self) -> None:
        """Guards against messages that fill the links of small hosts."""
        sizes = []
        for salt in ("1/", f"1/{'m' * 40}/shared"):
            rows, salts = context_relay._encode_rows(
                (number, True, salt, f"{number:08x}", 800)
                for number in range(100)
            )
            sizes.append(len(json.dumps([rows, salts])))
            self.assertEqual(
                [
                    (number, True, salt, f"{number:08x}", 800)
                    for number in (0, 99)
                ],
                [context_relay._decode_rows(rows, salts)[n] for n in (0, 99)],
            )
        self.assertLess(sizes[1] - sizes[0], 100)

    def test_parts_of_several_salts_are_told_apart(self) -> None:
        """Guards against context under the salt of another customer (WALL)."""
        rows = [
            (number, number % 3 > 0, f"{number % 5}/m/", "part", number)
            for number in range(30)
        ]
        encoded, salts = context_relay._encode_rows(rows)
        sent = json.loads(json.dumps([encoded, salts]))
        self.assertEqual(rows, context_relay._decode_rows(*sent))

    def test_rows_without_a_salt_are_rejected(self) -> None:
        """Guards against a malformed message that ends the host's task."""
        for rows in ([[1, 1, 3, "a", 8]], [[1, 1, -1, "a", 8]], [[1]], [7]):
            with self.assertRaises((KeyError, ValueError, TypeError)):
                context_relay._decode_rows(rows, ["1/"])

    def test_overlapping_batches_of_two_relays_are_applied_once(self) -> None:
        self.read_store(self.first_relay, 0, "a")
        self.read_store(self.second_relay, 0, "a", "b", "-a")
        self.read_store(self.first_relay, 1, "b")
        self.read_store(self.first_relay, 2, "-a", "c")
        self.assertEqual(["b", "c"], self.list_stored_parts())

    def test_each_host_receives_changes_from_two_followers(self) -> None:
        self.read_store(self.other_follower, 0, "a")
        self.assertEqual([], self.list_stored_parts())
        self.network.received.clear()
        for host in self.receiver.rank_followers(STORE):
            self.read_store(self.hosts[host], 0, "a")
        others = [h for h in self.hosts.values() if not h.follows(STORE)]
        self.assertEqual(
            len(HOSTS) - context_stores.FOLLOWERS_PER_STORE, len(others)
        )
        self.assertEqual(
            context_relay.RELAYS_PER_HOST * len(others),
            self.network.received[context_relay.CHANGES_TOPIC],
        )

    def test_forwarders_of_another_region_reach_its_hosts(self) -> None:
        remote = [self.make_host(host, self.fleet) for host in REMOTE_HOSTS]
        followers = self.receiver.rank_followers(STORE)
        for position, part in enumerate("ab"):
            for host in followers:
                self.read_store(self.hosts[host], position, part)
            self.clock.now += context_relay.STORE_REQUEST_INTERVAL_SECONDS
        for host in remote:
            stored = host.views[STORE.address].stored_parts
            self.assertEqual({("1/", "a"): 10, ("1/", "b"): 10}, stored)
        inter_region = [
            (sender, receiver)
            for topic, sender, receiver in self.network.message_log
            if topic == context_relay.CHANGES_TOPIC
            and sender in HOSTS
            and receiver in REMOTE_HOSTS
        ]
        self.assertEqual(
            2 * context_relay.FORWARDERS_PER_REGION, len(inter_region)
        )

    def test_nothing_is_sent_when_all_hosts_follow(self) -> None:
        self.fleet.hosts, self.fleet.remote_hosts = HOSTS[:4], REMOTE_HOSTS[:2]
        names = (*HOSTS[:4], *REMOTE_HOSTS[:2])
        for host in [self.make_host(name, self.fleet) for name in names]:
            self.read_store(host, 0, "a")
        self.assertEqual([], self.network.message_log)

    def test_lost_message_is_replaced_by_snapshot(self) -> None:
        self.read_store(self.first_relay, 0, "a")
        self.network.lost_topics.add(context_relay.CHANGES_TOPIC)
        self.read_store(self.first_relay, 1, "b", "-a")
        self.network.lost_topics.clear()
        self.clock.now += context_relay.STORE_REQUEST_INTERVAL_SECONDS
        self.read_store(self.first_relay, 3, "c")
        self.assertEqual(["b", "c"], self.list_stored_parts())

    def test_view_without_reads_expires(self) -> None:
        self.read_store(self.first_relay, 0, "a")
        self.clock.now += store_views.MAX_VIEW_AGE_SECONDS + 0.1
        self.assertFalse(self.view.is_fresh(self.clock.now))
        self.read_store(self.first_relay, 1)
        self.assertTrue(self.view.is_fresh(self.clock.now))

    def test_delay_at_suspended_host_counts_as_age(self) -> None:
        self.read_store(self.first_relay, 0, "a")
        self.network.delayed_deliveries = []
        self.read_store(self.first_relay, 1, "b")
        self.clock.now += 5.0
        for deliver in self.network.delayed_deliveries:
            deliver()
        self.assertFalse(self.view.is_fresh(self.clock.now))

    def test_snapshot_after_restart_replaces_contents(self) -> None:
        self.read_store(self.first_relay, 0, "a", "b")
        self.clock.now += store_views.SAVE_DELAY_SECONDS
        self.read_store(self.first_relay, 2)
        self.assertTrue(self.view.may_save(self.clock.now, 10))
        self.read_store(
            self.first_relay, 0, "c", boot_epoch=2, is_snapshot=True
        )
        self.assertEqual(["c"], self.list_stored_parts())
        self.assertFalse(self.view.may_save(self.clock.now, 10))

    def test_snapshot_of_several_messages_is_assembled(self) -> None:
        count = 2 * context_relay.PARTS_PER_MESSAGE + 1
        names = [f"{number:x}" for number in range(count)]
        self.network.lost_topics.add(context_relay.CHANGES_TOPIC)
        self.read_store(self.first_relay, 0, *names)
        self.network.lost_topics.clear()
        self.read_store(self.first_relay, count)
        self.assertEqual(sorted(names), self.list_stored_parts())
        self.assertEqual(10 * count, self.view.stored_tokens)

    def test_snapshot_requests_are_rate_limited(self) -> None:
        self.network.lost_topics.add(context_relay.SNAPSHOT_TOPIC)
        for host in self.hosts.keys() - {
            self.first_relay.host,
            self.receiver.host,
        }:
            del self.network.channels[host, 1]
        for position in range(5):
            self.read_store(self.first_relay, position, "a")
        self.assertEqual(
            1, self.network.sent[context_relay.SNAPSHOT_REQUEST_TOPIC]
        )
        self.clock.now += context_relay.STORE_REQUEST_INTERVAL_SECONDS
        self.read_store(self.first_relay, 5, "a")
        self.assertEqual(
            2, self.network.sent[context_relay.SNAPSHOT_REQUEST_TOPIC]
        )
