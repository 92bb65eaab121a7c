"""In-memory fakes of the platform for the tests of the control daemon."""

import asyncio
import hashlib
import zlib

from sesamefold import configuration
from sesamefold import control
from sesamefold import deadline as deadlines
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import keyvalue
from sesamefold import notification
from sesamefold import revisions
from sesamefold import settings


class KeyValue:
    """A key-value service that can be down or lose the replies to writes.

    `lose_answers` is the number of next writes that succeed without a reply.
    """

    def __init__(self):
        self.entries = {}
        self.leases = {}
        self.down = False
        self.lose_answers = 0
        self.changed = notification.Notification()
        self.calls = []

    def _call(self, name, key):
        self.calls.append((name, key))
        if self.down:
            raise exceptions.PlatformUnavailable("down")

    def set(self, key, value, version=None):
        old = self.entries.get(key)
        version = version or (old.version if old else 0) + 1
        self.entries[key] = keyvalue.Entry(key, value, version)
        self.changed.notify()
        return version

    async def get(self, key, deadline):
        self._call("get", key)
        return self.entries.get(key)

    async def put(self, key, value, expected, deadline, lease=None):
        self._call("put", key)
        old = self.entries.get(key)
        actual = old.version if old else 0
        if expected is not None and expected != actual:
            raise exceptions.VersionConflict(key, expected, actual)
        version = self.set(key, value)
        if lease:
            if lease not in self.leases:
                raise exceptions.LeaseExpired(lease)
            self.leases[lease].add(key)
        if self.lose_answers:
            self.lose_answers -= 1
            raise exceptions.OutcomeUnknown("reply lost")
        return version

    async def watch(self, key, after, deadline):
        self._call("watch", key)
        while not deadline.has_passed():
            event = self.changed.event
            entry = self.entries.get(key)
            if self.down:
                raise exceptions.PlatformUnavailable("down")
            if entry is None or entry.version != after:
                return entry
            await notification.wait_with_timeout(
                event, min(0.1, deadline.remaining())
            )
        return None

    async def grant_lease(self, seconds, deadline):
        self._call("grant", "")
        name = f"lease-{len(self.calls)}"
        self.leases[name] = set()
        return keyvalue.Lease(name, deadlines.Deadline.after(seconds))

    async def renew_lease(self, lease, deadline):
        self._call("renew", lease)
        if lease not in self.leases:
            raise exceptions.LeaseExpired(lease)
        return keyvalue.Lease(lease, deadlines.Deadline.after(10.0))

    async def revoke_lease(self, lease, deadline):
        self._call("revoke", lease)
        for key in self.leases.pop(lease, ()):
            self.entries.pop(key, None)
        self.changed.notify()


class HostList:
    """A host list whose `hosts` tests can change."""

    def __init__(self, *hosts):
        self.revision = 1
        self.hosts = list(hosts)

    def add(self, *hosts):
        self.revision += 1
        self.hosts.extend(hosts)

    async def fetch(self, data_centre, known, deadline):
        if known == self.revision:
            return None
        return hostlist.Listing(self.revision, tuple(self.hosts))


class Engine:
    """An engine whose load, events, blocks and order tests can set.

    `orders` holds the orders received; an `error` is raised by reads of the
    load and the order.
    """

    def __init__(self, address="127.0.0.1:1"):
        self.address = address
        self.load = make_load()
        self.error = None
        self.events = []
        self.blocks = []
        self.orders = []
        self.order = engines.Order(0, 0, ())
        self.checks_fencing = False
        self.measured_at = 1000.0

    async def fetch_load(self, deadline):
        if self.error:
            raise self.error
        self.measured_at += 1
        return self.load(self.measured_at)

    async def fetch_events(self, after, deadline):
        return [event for event in self.events if event.sequence > after]

    async def list_blocks(self, deadline):
        return list(self.blocks)

    async def send_order(self, order, deadline):
        if self.checks_fencing and order.fencing < self.order.fencing:
            raise exceptions.FencingRefused("old fencing token")
        self.orders.append(order)
        self.order = order

    async def fetch_order(self, deadline):
        if self.error:
            raise self.error
        return self.order


def make_load(epoch="e1", cold=False, running=0, versions=()):
    """Return a function that makes a load report for a measurement time."""
    return lambda measured_at: engines.Load(
        epoch, cold, False, running, 0, 16, versions, "serve", measured_at
    )


def make_host(name, control_address="", **kwargs):
    """Return an entry host, of data centre `dc` by default."""
    return hostlist.Host(
        name,
        "entry",
        kwargs.pop("data_centre", "dc"),
        "127.0.0.1:1",
        control_address,
        **kwargs,
    )


def make_backend(name, group="g", state="live"):
    """Return a backend server of data centre `dc`."""
    return hostlist.Host(
        name, "backend", "dc", "127.0.0.1:2", group=group, state=state
    )


def make_revision(revision, customers=("acme",), version="v1", edit_id=""):
    """Return the head and the chunks of a revision with two groups."""
    sections = {
        "data_centres": [configuration.DataCentre("dc", "lima")],
        "models": [configuration.Model("m", version)],
        "groups": [
            configuration.Group("g", "dc", "engine", "m", concurrent_loads=2),
            configuration.Group("p", "dc", "service", service="s"),
        ],
        "customers": [
            configuration.Customer(name, "0" * 64) for name in customers
        ],
    }
    data = {
        section: zlib.compress(configuration.encode_records(records))
        for section, records in sections.items()
    }
    digests = {
        section: hashlib.sha256(value).hexdigest()
        for section, value in data.items()
    }
    head = revisions.Head(
        revision,
        edit_id or f"edit-{revision}",
        "rosa",
        0.0,
        {section: (digest,) for section, digest in digests.items()},
        audit=({"edit_id": "x"},),
    )
    return head, {digests[section]: data[section] for section in data}


def store_revision(key_value, revision, **kwargs):
    """Store a revision as the command line does; return its head."""
    head, chunks = make_revision(revision, **kwargs)
    for digest, data in chunks.items():
        key_value.set(revisions.CHUNK_PREFIX + digest, data)
    key_value.set(revisions.HEAD_KEY, head.encode())
    return head


class Control(control.Control):
    """A control daemon on the fakes.

    `known_engines` maps addresses to engines.
    """

    def __init__(
        self, name, key_value, host_list, known_engines=None, data_centre="dc"
    ):
        super().__init__(
            settings.Settings(
                name, data_centre, "", "", drain_delay=0.0, drain_time=0.1
            )
        )
        self.fakes = (key_value, host_list, known_engines or {})

    def open_key_value(self):
        return self.fakes[0]

    def open_host_list(self):
        return self.fakes[1]

    def open_engine(self, address):
        return self.fakes[2][address]

    async def on_started(self):
        pass


async def wait_until(condition, seconds=15.0):
    """Wait for a condition; raise `TimeoutError` after `seconds`."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)
