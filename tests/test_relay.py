"""Tests of the configuration relay with several controls in one process."""

import hashlib
import json
import unittest
import zlib

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

    def split_watcher(self, daemons):
        watcher = next(d for d in daemons if d.relay.is_watcher())
        return watcher, [d for d in daemons if d is not watcher]

    async def test_next_control_watches_after_watcher_stops(self):
        """Guards against edits that no control reads without the watcher."""
        daemons = await self.start("h1", "h2", "h3")
        control_fakes.store_revision(self.key_value, 1)
        await self.wait_for_revision(daemons, 1)
        watcher, others = self.split_watcher(daemons)
        await watcher.stop()
        control_fakes.store_revision(self.key_value, 2)
        await self.wait_for_revision(others, 2)
        self.assertEqual(
            1, sum(daemon.relay.is_watcher() for daemon in others)
        )

    async def test_unreachable_platform_moves_the_watch(self):
        """Guards against edits delayed by a watcher without the platform.

        Only the watcher loses the key-value service; another control has to
        take over the watch.
        """
        daemons = await self.start("h1", "h2", "h3")
        control_fakes.store_revision(self.key_value, 1)
        await self.wait_for_revision(daemons, 1)
        watcher, _ = self.split_watcher(daemons)
        down = control_fakes.KeyValue()
        down.down = True
        watcher.relay._keyvalue = down
        control_fakes.store_revision(self.key_value, 2)
        await self.wait_for_revision(daemons, 2)
        # The call that was open before the outage may still deliver this
        # edit; the watcher gives up the watch after its next calls fail.
        await control_fakes.wait_until(lambda: not watcher.relay.is_watcher())
        control_fakes.store_revision(self.key_value, 3)
        await self.wait_for_revision(daemons, 3)

    async def test_new_host_gets_configuration_during_outage(self):
        """Guards against a new host without configuration in an outage.

        Other members have to serve it while the key-value service is down.
        """
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
        """Guards against a downgrade by an older or conflicting head."""
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
                    await daemon.relay._apply_entry(entry[revisions.HEAD_KEY])
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

    async def test_missing_chunk_keeps_previous_revision(self):
        """Guards against a revision of which only some chunks are applied."""
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

    async def test_unreadable_revision_is_not_applied(self):
        """Guards against one edit that stops all controls."""
        (daemon,) = await self.start("h1")
        control_fakes.store_revision(self.key_value, 1)
        await self.wait_for_revision([daemon], 1)
        head, _ = control_fakes.make_revision(2)
        digests = []
        for data in (
            b"not compressed",
            zlib.compress(b"[" * 5000),
            zlib.compress(b"[7]"),
            zlib.compress(b"7"),
        ):
            digests.append(hashlib.sha256(data).hexdigest())
            self.key_value.set(revisions.CHUNK_PREFIX + digests[-1], data)
        fields = json.loads(head.encode())
        for value in (
            b"not JSON",
            b"{}",
            b"[]",
            b"7",
            b"\xff",
            b"[" * 5000,
            *(
                json.dumps({**fields, name: "@"}).replace('"@"', odd).encode()
                for name, odd in (
                    ("revision", '"2"'),
                    ("revision", "1e400"),
                    ("revision", "9" * 400),
                    ("revision", "true"),
                    ("edit_id", "[]"),
                    ("sections", "[]"),
                    ("sections", '{"models": 7}'),
                    ("sections", '{"models": [7]}'),
                    ("sections", '{"models": [[]]}'),
                    ("policy", "[]"),
                    ("author", "{}"),
                )
            ),
            *(
                attrs.evolve(head, sections={"models": (digest,)}).encode()
                for digest in digests
            ),
        ):
            with self.subTest(value=value[:80]):
                self.key_value.set(revisions.HEAD_KEY, value)
                entry = self.key_value.entries[revisions.HEAD_KEY]
                await daemon.relay._apply_entry(entry)
                self.assertEqual(1, daemon.relay.revision)
        control_fakes.store_revision(self.key_value, 3)
        await self.wait_for_revision([daemon], 3)

    async def test_only_one_control_watches(self):
        """Guards against load on the key-value service by a watch per host."""
        control_fakes.store_revision(self.key_value, 1)
        daemons = await self.start("h1", "h2", "h3")
        await self.wait_for_revision(daemons, 1)
        watcher, others = self.split_watcher(daemons)
        key_values = {
            d.settings.host: control_fakes.KeyValue() for d in others
        }
        for daemon in others:
            daemon.relay._keyvalue = key_values[daemon.settings.host]
        control_fakes.store_revision(self.key_value, 2)
        await self.wait_for_revision(daemons, 2)
        # A control that started its watch before it knew the other members
        # may make one more call.
        self.assertEqual(
            [], [c.calls for c in key_values.values() if len(c.calls) > 1]
        )

    async def test_fetched_head_has_no_audit_entries(self):
        """Guards against sending 256 KB of audit entries per host and edit."""
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
