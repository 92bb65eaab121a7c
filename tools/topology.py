"""A system on loopback: two data centres with their backend servers."""

import asyncio
import random
import time
import typing as t
import uuid

import attrs
import yaml

from sesamefold import blocks
from standins import engine
from tools import caller
from tools import launcher

MODEL = "atlas-7b"
VERSION = "v1"
BLOCK_TOKENS = 1000


class WrongAnswer(Exception):
    """An answer differs from what the prompt's engine has to return."""


@attrs.frozen
class Topology:
    """What to start; `data_centres` maps a data centre to its region."""

    data_centres: t.Mapping[str, str] = attrs.field(
        factory=lambda: {"north-1": "north", "south-1": "south"}
    )
    entry_hosts: int = 2  # per data centre
    engines: int = 2  # per data centre
    services: int = 1  # per data centre
    customers: t.Tuple[str, ...] = ("ada", "bela", "cyril")
    engine_options: t.Tuple[str, ...] = ()
    store_options: t.Tuple[str, ...] = ()
    cold_limit: int = 2
    warm_limit: int = 16
    host_list_lag: float = 0.2
    link_rate: float = 0.0  # reads between regions, bytes/s; 0 is unlimited
    settings: t.Mapping[str, t.Any] = attrs.field(factory=dict)

    def write_text(
        self, stores: t.Mapping[str, str], version: str = VERSION
    ) -> str:
        """Return the operator's text; `stores` maps a region to an address."""
        return yaml.safe_dump(
            {
                "regions": {
                    region: {} for region in set(self.data_centres.values())
                },
                "data_centres": {
                    name: {"region": region, "in": True}
                    for name, region in self.data_centres.items()
                },
                "models": {
                    MODEL: {"version": version, "block_tokens": BLOCK_TOKENS}
                },
                "groups": self._write_groups(),
                "stores": {
                    f"store-{region}": {"region": region, "address": address}
                    for region, address in stores.items()
                },
                "services": {
                    "draft": {"kind": "model", "model": MODEL},
                    "registry": {
                        "kind": "plain",
                        "repeatable": ["GET *", "POST /lookup"],
                    },
                },
                "customers": {
                    name: {
                        "token_sha256": launcher.hash_token(make_token(name)),
                        "share": 10,
                    }
                    for name in self.customers
                },
            },
            sort_keys=False,
        )

    def _name_network(self, region: str) -> str:
        """Return the start of the addresses of a region's engines."""
        regions = sorted(set(self.data_centres.values()))
        return f"127.0.{regions.index(region) + 1}."

    def _write_groups(self) -> t.Dict[str, t.Any]:
        engines = {
            f"atlas-{name}": {
                "data_centre": name,
                "kind": "engine",
                "model": MODEL,
                "checks_fencing": True,
                "cold_limit": self.cold_limit,
                "warm_limit": self.warm_limit,
            }
            for name in self.data_centres
        }
        services = {
            f"registry-{name}": {
                "data_centre": name,
                "kind": "service",
                "service": "registry",
            }
            for name in self.data_centres
        }
        return {**engines, **services}

    async def start(self, starter: launcher.Launcher) -> launcher.System:
        """Start everything; return when all gateways are ready."""
        regions = sorted(set(self.data_centres.values()))
        key_value, host_list, *stores = await asyncio.gather(
            starter.start_standin("keyvalue"),
            starter.start_standin("hostlist", f"--lag={self.host_list_lag}"),
            *(
                starter.start_standin(
                    "store",
                    *self.store_options,
                    f"--near={self._name_network(region)}",
                    f"--far-rate={self.link_rate}",
                )
                for region in regions
            ),
        )
        system = launcher.System(
            starter,
            key_value,
            host_list,
            dict(zip(regions, stores, strict=True)),
        )
        await asyncio.gather(
            *(
                self.start_backend(system, kind, name, number)
                for name in self.data_centres
                for kind, count in (
                    ("atlas", self.engines),
                    ("registry", self.services),
                )
                for number in range(1, count + 1)
            )
        )
        await system.apply(self.write_text(list_stores(system)))
        await asyncio.gather(
            *(
                starter.start_entry_host(
                    f"{name}-entry-{number}", name, system, **self.settings
                )
                for name in self.data_centres
                for number in range(1, self.entry_hosts + 1)
            )
        )
        await asyncio.gather(
            *(wait_ready(system, host) for host in system.hosts.values())
        )
        return system

    async def start_backend(
        self,
        system: launcher.System,
        kind: str,
        data_centre: str,
        number: int,
    ) -> None:
        """Start an engine or a plain service and list it."""
        name = f"{kind}-{data_centre}-{number}"
        region = self.data_centres[data_centre]
        if kind == "atlas":
            child = await system.launcher.start_standin(
                "engine",
                f"--model={MODEL}",
                f"--versions={VERSION}",
                f"--cold-limit={self.cold_limit}",
                f"--source={self._name_network(region)}1",
                *self.engine_options,
            )
        else:
            child = await system.launcher.start_standin("service")
        system.backends[name] = child
        await list_backend(system, name)


async def list_backend(
    system: launcher.System, name: str, state: str = "live"
) -> None:
    """Put a backend server into the host list."""
    kind, _, place = name.partition("-")
    data_centre = place.rpartition("-")[0]
    await system.list_host(
        name,
        kind="backend",
        data_centre=data_centre,
        address=system.backends[name].ready["address"],
        group=f"{kind}-{data_centre}",
        state=state,
    )


def list_stores(system: launcher.System) -> t.Dict[str, str]:
    """Return the addresses of the stores by region."""
    return {
        region: store.ready["address"]
        for region, store in system.stores.items()
    }


async def wait_ready(
    system: launcher.System, host: launcher.EntryHost, ready: bool = True
) -> float:
    """Wait until a gateway is ready, or is not; return the seconds."""

    async def has_state() -> bool:
        async with system.launcher.session.get(
            f"{host.url}/readyz"
        ) as response:
            return (response.status == 200) == ready

    state = "ready" if ready else "not ready"
    return await launcher.wait_until(has_state, f"{host.name} {state}")


@attrs.frozen
class Prompt:
    """A customer's prompt; its answer follows from the stand-in's rule."""

    customer: str
    text: str
    max_tokens: int = 24

    @property
    def body(self) -> t.Dict[str, t.Any]:
        """Return the body of a request."""
        return {
            "model": MODEL,
            "prompt": self.text,
            "max_tokens": self.max_tokens,
        }

    def check(self, answer: caller.Answer, version: str = VERSION) -> None:
        """Raise WrongAnswer unless the answer is whole and right."""
        salt = blocks.derive_salt(self.customer)
        expected = [
            engine.compute_token(salt, MODEL, version, self.text, position)
            for position in range(1, self.max_tokens + 1)
        ]
        if answer.tokens != expected:
            raise WrongAnswer(
                f"request {answer.request}: wrong answer, "
                f"{len(answer.tokens)} of {self.max_tokens} tokens"
            )


def make_prompt(
    generator: random.Random,
    customer: str,
    tokens: int,
    max_tokens: int = 24,
) -> Prompt:
    """Return a prompt of random words."""
    words = (f"w{generator.randrange(50_000)}" for _ in range(tokens))
    return Prompt(customer, " ".join(words), max_tokens)


def make_token(customer: str) -> str:
    """Return the bearer token of a customer."""
    return f"token-of-{customer}"


def make_key() -> str:
    """Return a UUIDv7 of now."""
    milliseconds = int(time.time() * 1000)
    noise = uuid.uuid4().int & ((1 << 80) - 1)
    noise &= ~(0xF << 76) & ~(0b11 << 62)
    return str(
        uuid.UUID(int=milliseconds << 80 | 0x7 << 76 | 0b10 << 62 | noise)
    )
