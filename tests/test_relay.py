"""Tests of the configuration relay, with several controls in one process."""

import hashlib
import unittest

import attrs
import logbook

from sesamefold import defaults
from sesamefold import revisions
from sesamefold.wire import control_pb2
from tests import control_fakes


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.key_value = control_fakes.KeyValue()
        self.hosts = control_fakes.HostList()

    async def start(self, *names):
        daemons = [
            control_fakes.Control(name, self.key_value, self.hosts)
            for name in names
        ]
        for daemon in daemons:
            await daemon.start()
            self.addAsyncCleanup(daemon.stop)
            self.hosts.add(
                control_fakes.make_host(
                    daemon.settings.host, daemon.control_address
                )
            )
        await control_fakes.wait_until(
            lambda: all(
                set(names) <= set(daemon.membership.list_members())
                for daemon in daemons
            )
        )
        return daemons

    async def wait_for_revision(self, daemons, revision):
        await control_fakes.wait_until(
            lambda: all(d.relay.revision == revision for d in daemons)
        )

    def split(self, daemons):
        watcher = next(d for d in daemons if d.relay.is_watcher())
        return watcher, [d for d in daemons if d is not watcher]

    async def test_watcher_dies(self):
        """Guards against edits that no one sees after the watcher's death."""
        daemons = await self.start("h1", "h2", "h3")
        control_fakes.store_revision(self.key_value, 1)
        await self.wait_for_revision(daemons, 1)
        watcher, others = self.split(daemons)
        await watcher.stop()
        control_fakes.store_revision(self.key_value, 2)
        await self.wait_for_revision(others, 2)
        self.assertEqual(
            1, sum(daemon.relay.is_watcher() for daemon in others)
        )

    async def test_watcher_is_cut_off_from_the_platform(self):
        """Guards against edits that a cut-off watcher holds up."""
        daemons = await self.start("h1", "h2", "h3")
        control_fakes.store_revision(self.key_value, 1)
        await self.wait_for_revision(daemons, 1)
        watcher, _ = self.split(daemons)
        down = control_fakes.KeyValue()
        down.down = True
        watcher.relay._keyvalue = down
        control_fakes.store_revision(self.key_value, 2)
        await self.wait_for_revision(daemons, 2)
        # The watch that was open at the cut may still deliver this edit; the
        # watcher gives up its role when its next call fails.
        await control_fakes.wait_until(lambda: not watcher.relay.is_watcher())
        control_fakes.store_revision(self.key_value, 3)
        await self.wait_for_revision(daemons, 3)

    async def test_start_while_the_platform_is_down(self):
        """Guards against a new host without configuration in an outage."""
        daemons = await self.start("h1", "h2")
        control_fakes.store_revision(self.key_value, 7)
        await self.wait_for_revision(daemons, 7)
        self.key_value.down = True
        (late,) = await self.start("h3")
        await self.wait_for_revision([late], 7)
        self.assertEqual(["m"], list(late.relay.configuration.models))
        self.assertEqual({}, late.relay.configuration.customers)
        self.assertEqual(
            4, len(late.relay.export(()).chunks), "customers included"
        )
        self.assertTrue(late.relay.initialised)

    async def test_older_revision_is_never_applied(self):
        """Guards against a service that answers with an older head."""
        (daemon,) = await self.start("h1")
        control_fakes.store_revision(self.key_value, 5)
        await self.wait_for_revision([daemon], 5)
        with logbook.TestHandler() as alarms:
            for case, revision, edit_id in (
                ("older", 4, ""),
                ("same number, another edit", 5, "other"),
            ):
                with self.subTest(case):
                    head, chunks = control_fakes.make_revision(
                        revision, version="v0", edit_id=edit_id
                    )
                    entry = daemon.relay._keyvalue.entries
                    self.key_value.set(revisions.HEAD_KEY, head.encode())
                    await daemon.relay._take_entry(entry[revisions.HEAD_KEY])
                    for source in ("keyvalue", "peer"):
                        self.assertFalse(
                            daemon.relay.apply(head.encode(), chunks, source)
                        )
                    self.assertTrue(alarms.has_errors)
                    alarms.records.clear()
            self.assertEqual(5, daemon.relay.revision)
            models = daemon.relay.configuration.models
            self.assertEqual("v1", models["m"].version)
        control_fakes.store_revision(self.key_value, 6)
        await self.wait_for_revision([daemon], 6)

    async def test_missing_chunk_keeps_the_revision(self):
        """Guards against a revision that is half in force."""
        (daemon,) = await self.start("h1")
        control_fakes.store_revision(self.key_value, 1)
        await self.wait_for_revision([daemon], 1)
        head, chunks = control_fakes.make_revision(2, version="v2")
        self.key_value.set(revisions.HEAD_KEY, head.encode())
        with self.assertRaises(KeyError):
            daemon.relay.apply(head.encode(), {}, "keyvalue")
        self.assertEqual(1, daemon.relay.revision)
        for digest, data in chunks.items():
            self.key_value.set(revisions.CHUNK_PREFIX + digest, data)
        await self.wait_for_revision([daemon], 2)

    async def test_unreadable_revision_keeps_the_daemon(self):
        """Guards against one edit that ends the controls everywhere."""
        (daemon,) = await self.start("h1")
        control_fakes.store_revision(self.key_value, 1)
        await self.wait_for_revision([daemon], 1)
        data = b"not compressed"
        digest = hashlib.sha256(data).hexdigest()
        head, _ = control_fakes.make_revision(2)
        self.key_value.set(revisions.CHUNK_PREFIX + digest, data)
        for value in (
            b"not JSON",
            b"{}",
            attrs.evolve(head, sections={"models": (digest,)}).encode(),
        ):
            self.key_value.set(revisions.HEAD_KEY, value)
            entry = self.key_value.entries[revisions.HEAD_KEY]
            await daemon.relay._take_entry(entry)
            self.assertEqual(1, daemon.relay.revision)
        control_fakes.store_revision(self.key_value, 3)
        await self.wait_for_revision([daemon], 3)

    async def test_only_one_control_watches(self):
        """Guards against a watch per host."""
        control_fakes.store_revision(self.key_value, 1)
        daemons = await self.start("h1", "h2", "h3")
        await self.wait_for_revision(daemons, 1)
        watcher, others = self.split(daemons)
        counts = {d.settings.host: control_fakes.KeyValue() for d in others}
        for daemon in others:
            daemon.relay._keyvalue = counts[daemon.settings.host]
        control_fakes.store_revision(self.key_value, 2)
        await self.wait_for_revision(daemons, 2)
        # A watch that began before the members were known may go on once.
        self.assertEqual(
            [], [c.calls for c in counts.values() if len(c.calls) > 1]
        )

    async def test_head_travels_without_audit(self):
        """Guards against 256 KB of audit entries to each host and edit."""
        control_fakes.store_revision(self.key_value, 1)
        (daemon,) = await self.start("h1")
        await self.wait_for_revision([daemon], 1)
        reply = await daemon.membership.get_stub("h1").FetchConfiguration(
            control_pb2.FetchConfigurationRequest(),
            timeout=defaults.CONTROL_TIMEOUT,
        )
        self.assertEqual((), revisions.Head.decode(reply.head).audit)
        again = await daemon.membership.get_stub("h1").FetchConfiguration(
            control_pb2.FetchConfigurationRequest(revision=1),
            timeout=defaults.CONTROL_TIMEOUT,
        )
        self.assertEqual((1, b""), (again.revision, again.head))
