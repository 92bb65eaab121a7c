"""Routes, services, customers and backend servers."""

import functools
import hashlib
import typing as t

import attrs

from sesamefold import exceptions


@attrs.frozen
class ServiceShare:
    """A service of a route, with its weight in the traffic split."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests for one host name and path prefix are served.

    `idempotent` says whether a request may run more than once, and
    `resumable` whether its stream may continue at another server after the
    last event. `max_servers` bounds the servers that one request may run on.
    `timeout` is the longest time that a caller waits for the response, and
    `first_byte_target` the latency within which a response has its full
    value, both in seconds. An empty `regions` means every region.
    """

    name: str
    host: str
    path_prefix: str
    services: t.Tuple[ServiceShare, ...]
    idempotent: bool
    streamed: bool
    resumable: bool
    public: bool
    max_servers: int
    timeout: float
    first_byte_target: float
    priority: int
    regions: t.FrozenSet[str] = frozenset()

    def may_repeat(self) -> bool:
        """Return whether a request may be sent again after it has run."""
        return self.idempotent or self.resumable

    def get_kind(self) -> str:
        """Return how requests are answered and repeated, for logs."""
        if self.streamed:
            return "resumable stream" if self.resumable else "stream"
        return "repeatable" if self.idempotent else "unrepeatable"

    def choose_service(self, request_id: str) -> str:
        """Return the name of the service that serves a request.

        Requests are split in proportion to the weights. The choice is a hash
        of the request id, so that it is the same for every attempt.
        """
        if len(self.services) == 1:
            return self.services[0].service
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") / 2**64
        point *= sum(share.weight for share in self.services)
        for share in self.services:
            point -= share.weight
            if point < 0:
                return share.service
        return self.services[-1].service


@attrs.frozen
class EngineTraits:
    """Capacity of a model engine's context cache, in tokens."""

    cache_tokens: int


@attrs.frozen
class ContextStore:
    """A store of cached context, with its capacity in tokens."""

    address: str
    data_centre: str
    capacity_tokens: int


@attrs.frozen
class Service:
    """A group of interchangeable backend servers.

    `cold_rate` is the largest rate that a cold server sustains, in requests
    per second; 0 means no limit.
    """

    name: str
    cold_rate: float
    engine: t.Optional[EngineTraits] = None
    context_store: t.Optional[ContextStore] = None


@attrs.frozen
class Customer:
    """A customer; without a `priority` that of the route applies."""

    name: str
    priority: t.Optional[int] = None
    isolated: bool = False
    regions: t.FrozenSet[str] = frozenset()


@attrs.frozen
class ClientLimits:
    """Limits on the requests of callers."""

    max_body_bytes: int


@attrs.frozen
class Configuration:
    """A configuration as the operator wrote it.

    `customers` maps each API key to its customer. `needs_key` says whether
    requests need a key, even if no customer has one yet. `isolated_customers`
    has the names of customers that share no context, with or without a key.
    """

    version: int
    routes: t.Tuple[Route, ...]
    services: t.Mapping[str, Service]
    customers: t.Mapping[str, Customer]
    needs_key: bool
    limits: ClientLimits
    isolated_customers: t.FrozenSet[str] = frozenset()

    @functools.cached_property
    def _by_host(self) -> t.Dict[str, t.List[Route]]:
        hosts: t.Dict[str, t.List[Route]] = {}
        for route in sorted(
            self.routes, key=lambda r: len(r.path_prefix), reverse=True
        ):
            hosts.setdefault(route.host.lower(), []).append(route)
        return hosts

    def find_route(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix of `path`.

        Raises `exceptions.UnknownPath` if no route matches.
        """
        name = host.rpartition(":")[0] or host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        raise exceptions.UnknownPath(f"no route for {host}{path}")

    @functools.cached_property
    def _customers_by_name(self) -> t.Dict[str, Customer]:
        return {c.name: c for c in self.customers.values()}

    @functools.cached_property
    def _routes_by_name(self) -> t.Dict[str, Route]:
        return {route.name: route for route in self.routes}

    def find_present_customer(self, known: Customer) -> Customer:
        """Return a customer of an earlier configuration as it is in this one.

        That is `known` if no key is left to it.
        """
        return self._customers_by_name.get(known.name, known)

    def find_present_regions(self, known: Route) -> t.FrozenSet[str]:
        """Return where a route of an earlier configuration may be served."""
        return self._routes_by_name.get(known.name, known).regions

    def find_customer(
        self, route: Route, key: t.Optional[str]
    ) -> t.Optional[Customer]:
        """Return the customer of an API key, None where no key is needed.

        Raises `exceptions.Unauthenticated` if the key is missing or unknown.
        """
        if not self.needs_key or route.public:
            return None
        customer = self.customers.get(key) if key else None
        if customer is None:
            raise exceptions.Unauthenticated(
                "the API key is missing or unknown"
            )
        return customer


@attrs.frozen
class Server:
    """A backend server as it last reported itself.

    `started_at` is the Unix time of its start in milliseconds and identifies
    the incarnation; it is 0 if it is not known. `sequence` grows with each
    report of an incarnation. `cold_until` is in seconds of `clock.read_time`.
    `weights` maps the names of its models to their weight versions. `version`
    is that of the server's software, "" if the server does not say.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    started_at: int
    sequence: int
    cold_until: float = 0.0
    weights: t.Mapping[str, int] = attrs.field(factory=dict)
    version: str = ""
