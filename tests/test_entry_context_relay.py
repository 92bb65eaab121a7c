"""Contents of stores, passed on between hosts."""

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
FAR_HOSTS = [f"far-{number}" for number in range(5)]


class ContextRelayTest(unittest.TestCase):
    """Two hosts that read a store and one that does not."""

    def setUp(self) -> None:
        """Choose a host, and three of those that read the store."""
        self.clock = entry_fakes.FakeClock()
        self.network = entry_fakes.FakeNetwork()
        fleet = self.fleet = entry_fakes.FakeFleet(HOSTS, FAR_HOSTS)
        self.hosts = {host: self.make(host, fleet) for host in HOSTS}
        followers = self.hosts["entry-0"].rank_followers(STORE)
        name = next(host for host in HOSTS if host not in followers)
        self.other = self.hosts[name]
        self.view = self.other.views[STORE.address]
        place = zlib.crc32(name.encode()) % len(followers)
        self.first, self.second, self.third = (
            self.hosts[followers[(place + n) % len(followers)]]
            for n in range(3)
        )

    def make(
        self, host: str, fleet: entry_fakes.FakeFleet
    ) -> context_stores.ContextStores:
        """Return a host's contexts, with a relay."""
        near, far = fleet.hosts, fleet.remote_hosts
        if host in FAR_HOSTS:
            near, far = far, near
        made = context_stores.ContextStores(
            host,
            {"dc-1": "region-1", "dc-2": "region-2"},
            entry_fakes.make_catalog(self.clock),
            t.cast(context_stores.ContextStoreApi, None),
            fleet,
            entry_fakes.make_log(),
            self.clock,
        )
        made.views[STORE.address] = store_views.StoreView(STORE)
        made.followed = {STORE.address} if made.follows(STORE) else set()
        context_relay.ContextRelay(
            t.cast(
                datagrams.PeerChannel,
                entry_fakes.FakeChannel(self.network, made.host),
            ),
            entry_fakes.FakePeers(host, near, far),
            made,
            entry_fakes.make_log(),
            self.clock,
        )
        return made

    def read(
        self,
        reader: context_stores.ContextStores,
        since: int,
        *parts: str,
        boot_epoch: int = 1,
        is_snapshot: bool = False,
    ) -> None:
        """Let a host read one event for each part."""
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
        view.take(batch, now, now)
        for listener in reader.on_read:
            listener(view, batch)

    def list_held(self) -> t.List[str]:
        """Return the parts that the third host knows of."""
        return sorted(part for _, part in self.view.stored_parts)

    def test_changes_reach_hosts_that_do_not_follow(self) -> None:
        self.assertFalse(self.other.follows(STORE))
        self.read(self.first, 0, "a", "b")
        self.read(self.first, 2, "-a", "c")
        self.assertEqual(["b", "c"], self.list_held())
        self.assertTrue(self.view.is_fresh(self.clock.now))
        self.assertEqual(500.0, self.view.engine_clock_offset)

    def test_two_relayers_with_other_cuts(self) -> None:
        self.read(self.first, 0, "a")
        self.read(self.second, 0, "a", "b", "-a")
        self.read(self.first, 1, "b")
        self.read(self.first, 2, "-a", "c")
        self.assertEqual(["b", "c"], self.list_held())

    def test_two_hosts_send_to_each_other_host(self) -> None:
        self.read(self.third, 0, "a")
        self.assertEqual([], self.list_held())
        self.network.received.clear()
        for host in self.other.rank_followers(STORE):
            self.read(self.hosts[host], 0, "a")
        others = [h for h in self.hosts.values() if not h.follows(STORE)]
        self.assertEqual(
            len(HOSTS) - context_stores.STORE_FOLLOWERS, len(others)
        )
        self.assertEqual(
            context_relay.RELAYERS * len(others),
            self.network.received[context_relay.CHANGES_TOPIC],
        )

    def test_hosts_of_another_region_pass_changes_on(self) -> None:
        far = [self.make(host, self.fleet) for host in FAR_HOSTS]
        followers = self.other.rank_followers(STORE)
        for position, part in enumerate("ab"):
            for host in followers:
                self.read(self.hosts[host], position, part)
            self.clock.now += context_relay.REQUEST_INTERVAL
        for host in far:
            held = host.views[STORE.address].stored_parts
            self.assertEqual({("1/", "a"): 10, ("1/", "b"): 10}, held)
        crossing = [
            (sender, receiver)
            for topic, sender, receiver in self.network.message_log
            if topic == context_relay.CHANGES_TOPIC
            and sender in HOSTS
            and receiver in FAR_HOSTS
        ]
        self.assertEqual(2 * context_relay.FORWARDERS, len(crossing))

    def test_nothing_is_sent_where_all_hosts_follow(self) -> None:
        self.fleet.hosts, self.fleet.remote_hosts = HOSTS[:4], FAR_HOSTS[:2]
        names = (*HOSTS[:4], *FAR_HOSTS[:2])
        for host in [self.make(name, self.fleet) for name in names]:
            self.read(host, 0, "a")
        self.assertEqual([], self.network.message_log)

    def test_a_lost_message_is_made_up_for(self) -> None:
        self.read(self.first, 0, "a")
        self.network.lost_topics.add(context_relay.CHANGES_TOPIC)
        self.read(self.first, 1, "b", "-a")
        self.network.lost_topics.clear()
        self.clock.now += context_relay.REQUEST_INTERVAL
        self.read(self.first, 3, "c")
        self.assertEqual(["b", "c"], self.list_held())

    def test_a_view_without_news_counts_as_unknown(self) -> None:
        self.read(self.first, 0, "a")
        self.clock.now += store_views.FRESH_SECONDS + 0.1
        self.assertFalse(self.view.is_fresh(self.clock.now))
        self.read(self.first, 1)
        self.assertTrue(self.view.is_fresh(self.clock.now))

    def test_a_message_that_waited_at_a_suspended_host_is_old(self) -> None:
        self.read(self.first, 0, "a")
        self.network.delayed_deliveries = []
        self.read(self.first, 1, "b")
        self.clock.now += 5.0
        for deliver in self.network.delayed_deliveries:
            deliver()
        self.assertFalse(self.view.is_fresh(self.clock.now))

    def test_a_restarted_store(self) -> None:
        self.read(self.first, 0, "a", "b")
        self.clock.now += store_views.SAVE_DELAY_SECONDS
        self.read(self.first, 2)
        self.assertTrue(self.view.may_save(self.clock.now, 10))
        self.read(self.first, 0, "c", boot_epoch=2, is_snapshot=True)
        self.assertEqual(["c"], self.list_held())
        self.assertFalse(self.view.may_save(self.clock.now, 10))

    def test_contents_of_several_messages(self) -> None:
        count = 2 * context_relay.CONTENTS_PARTS + 1
        names = [f"{number:x}" for number in range(count)]
        self.network.lost_topics.add(context_relay.CHANGES_TOPIC)
        self.read(self.first, 0, *names)
        self.network.lost_topics.clear()
        self.read(self.first, count)
        self.assertEqual(sorted(names), self.list_held())
        self.assertEqual(10 * count, self.view.stored_tokens)

    def test_requests_are_bounded(self) -> None:
        self.network.lost_topics.add(context_relay.CONTENTS_TOPIC)
        for host in self.hosts.keys() - {self.first.host, self.other.host}:
            del self.network.channels[host, 1]
        for position in range(5):
            self.read(self.first, position, "a")
        self.assertEqual(1, self.network.sent[context_relay.REQUEST_TOPIC])
        self.clock.now += context_relay.REQUEST_INTERVAL
        self.read(self.first, 5, "a")
        self.assertEqual(2, self.network.sent[context_relay.REQUEST_TOPIC])
