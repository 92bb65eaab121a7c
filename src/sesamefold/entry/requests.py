"""Decoded requests of callers and replies of backend servers."""

import typing as t

import attrs
import multidict

from sesamefold.entry import clock
from sesamefold.entry import topology

# Route priorities that are distinguished within one priority of customers.
ROUTE_PRIORITY_LEVELS = 3

Headers = multidict.CIMultiDict[str]


@attrs.frozen
class PromptPart:
    """A part of a prompt, which several prompts may have in common."""

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """The prompt of a generation and the size of its output.

    `tokens` is the length of the prompt. `parts` are in the order of the
    prompt; the last belongs to this request or its session only.
    `max_output_tokens` is the limit on the output, `expected_output_tokens`
    the caller's estimate of it.
    """

    model: str
    tokens: int
    max_output_tokens: int
    parts: t.Tuple[PromptPart, ...] = ()
    expected_output_tokens: t.Optional[int] = None

    def list_shared_parts(self) -> t.Tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]

    def count_shared_tokens(self) -> int:
        """Return the number of tokens that other requests may share."""
        return sum(part.tokens for part in self.list_shared_parts())

    def get_session_id(self) -> str:
        """Return the id of the context that the prompt continues.

        This is the id of the last part that other requests may share, else
        that of the only part, else the name of the model.
        """
        shared = self.list_shared_parts() or self.parts
        return shared[-1].id if shared else self.model


@attrs.frozen
class RequestHead:
    """The decoded headers of a caller's request.

    `forwarded` are the headers that are passed to backend servers unchanged.
    `timeout_seconds` is how long the caller waits for the response, None if
    the request does not say.
    """

    request_id: str
    forwarded: Headers
    timeout_seconds: t.Optional[float] = None
    api_key: t.Optional[str] = None
    prompt: t.Optional[Prompt] = None
    last_event_id: t.Optional[str] = None


@attrs.define
class Call:
    """A caller's request while it is served.

    `target` is the path and query as the caller sent them. `arrived_at` and
    `deadline` are times of `clock.read_time`, in seconds. `last_event_id` is
    the id of the last event of a stream that the caller has received,
    `tried_servers` has the id of the server of each attempt so far, except
    those that were cancelled, whose servers are in `cancelled_servers`.
    `refusals` counts the servers that did not execute the request,
    `ended_servers` those of them that were no longer at their address, and
    `configuration_version` is that by which the request was routed.
    `key_version` is that in which the API key was found last.
    `suspect` says that the call may crash the server that runs it.
    `begun_at` is when the first event of the answer arrived, None before.
    `waiting_for` says whether the call waits for the "capacity" or for the
    "reply" of a server, since `waiting_since`.
    """

    head: RequestHead
    route: topology.Route
    service: str
    customer: t.Optional[topology.Customer]
    method: str
    target: str
    body: bytes
    arrived_at: float
    deadline: float
    last_event_id: t.Optional[str] = None
    tried_servers: t.List[str] = attrs.field(factory=list)
    cancelled_servers: t.Set[str] = attrs.field(factory=set)
    refusals: int = 0
    ended_servers: int = 0
    configuration_version: int = 0
    key_version: int = 0
    begun_at: t.Optional[float] = None
    suspect: bool = False
    waiting_for: str = "capacity"
    waiting_since: float = attrs.field(factory=clock.read_time)

    @property
    def request_id(self) -> str:
        """Return the id that the caller gave the request."""
        return self.head.request_id

    def remaining(self) -> float:
        """Return the seconds until the deadline, 0.0 once it has passed."""
        return max(0.0, self.deadline - clock.read_time())

    def record_wait(self, waiting_for: str) -> None:
        """Record what the call waits for from now on."""
        self.waiting_for, self.waiting_since = waiting_for, clock.read_time()

    def may_try(self, server_id: str) -> bool:
        """Return whether a server may get the request.

        One whose attempt was cancelled does not count against the limit of
        the route again.
        """
        if server_id in self.tried_servers:
            return False
        return server_id in self.cancelled_servers or self._has_run_left()

    def may_run_elsewhere(self) -> bool:
        """Return whether the route allows the run at any other server."""
        return self._has_run_left() or not self.cancelled_servers.issubset(
            self.tried_servers
        )

    def _has_run_left(self) -> bool:
        """Return whether the run may begin at a server that is new to it."""
        servers = self.cancelled_servers.union(self.tried_servers)
        return len(servers) - self.refusals < self.route.max_servers

    def record_refusal(self, server_id: str) -> None:
        """Record that a server did not execute the request.

        It still counts if an attempt there was cancelled before.
        """
        if server_id not in self.cancelled_servers:
            self.refusals += 1

    def record_cancelled(self, server_id: str) -> None:
        """Record that the latest attempt at a server was cancelled."""
        self.tried_servers.remove(server_id)
        self.cancelled_servers.add(server_id)

    def list_permitted_regions(self) -> t.Optional[t.FrozenSet[str]]:
        """Return the regions that may serve the call, None for all."""
        limits = [self.route.regions]
        if self.customer is not None:
            limits.append(self.customer.regions)
        named = [regions for regions in limits if regions]
        return frozenset.intersection(*named) if named else None

    def get_priority(self) -> int:
        """Return the priority for the server's queue; 0 is the most urgent.

        Requests are ordered by the customer's priority first, which is the
        route's where the customer has none, and by the route's second.
        """
        base = self.route.priority
        if self.customer is not None and self.customer.priority is not None:
            base = self.customer.priority
        return ROUTE_PRIORITY_LEVELS * base + min(
            self.route.priority, ROUTE_PRIORITY_LEVELS - 1
        )


@attrs.frozen
class ContextFetch:
    """A store that holds a part of a prompt, and the tokens in it."""

    address: str
    tokens: int


@attrs.frozen
class ContextPlan:
    """Where an engine fetches the context of a prompt and where it saves it.

    `salt` is the namespace of the context and `weight_version` the version of
    the weights that the engine must have. `fetches` and `saves`, the addresses
    of stores, have one entry for each part of the prompt or are empty. A fetch
    that is not complete by `fetch_deadline`, in seconds of the engines' clock,
    is discarded.
    """

    salt: str
    weight_version: int
    fetches: t.Tuple[t.Optional[ContextFetch], ...] = ()
    saves: t.Tuple[t.Optional[str], ...] = ()
    fetch_deadline: float = 0.0

    def count_fetched_tokens(self) -> int:
        """Return the number of tokens to fetch from stores."""
        return sum(fetch.tokens for fetch in self.fetches if fetch)

    def count_saved_parts(self) -> int:
        """Return the number of parts to save to stores."""
        return sum(address is not None for address in self.saves)


@attrs.frozen
class AddedHeaders:
    """What the entry host adds to the headers of a forwarded request.

    `seconds_left` is the time until the caller's deadline.
    """

    server_id: str
    seconds_left: float
    customer: t.Optional[str]
    priority: int
    context: t.Optional[ContextPlan] = None
    last_event_id: t.Optional[str] = None


@attrs.frozen
class ReportedLoad:
    """Running and queued requests and slots, as a server reports them.

    `slowdown` is how many times as long as usual work takes on its machine,
    which it shares with others, None if the server does not say.
    """

    running: int
    queued: int
    slots: int
    slowdown: t.Optional[float] = None


@attrs.frozen
class ReplyHead:
    """The decoded head of a backend server's reply.

    `not_executed` is the server's promise that it did not execute the request;
    `mismatched` says that this is because it is not the server that the
    request names or because it has other weights. `is_refusal` says that
    callers read such a promise from the status alone. `server_id` is the id of
    the server that replied, None if it does not say. `sealed` says whether the
    reply carries the server's seal, without which a success is not genuine.
    `content_encoded` says whether the body has a content encoding.
    `content_length` is in bytes. `forwarded` are the headers that are passed
    to the caller. `leaving` says that the server is about to end, and
    `ignored_headers` has the headers whose values are not the documented ones.
    `rest_seconds` is the time for which the server asks for no requests, None
    if it does not.
    """

    status: int
    not_executed: bool
    sealed: bool
    content_encoded: bool
    content_length: t.Optional[int]
    forwarded: Headers
    load: t.Optional[ReportedLoad] = None
    is_refusal: bool = False
    mismatched: bool = False
    server_id: t.Optional[str] = None
    leaving: bool = False
    ignored_headers: t.Tuple[str, ...] = ()
    rest_seconds: t.Optional[float] = None

    def is_genuine(self) -> bool:
        """Return whether the head is not a success without the seal."""
        return self.sealed or not 200 <= self.status < 300

    def is_event_stream(self) -> bool:
        """Return whether the body is a series of events."""
        media_type = self.forwarded.get("Content-Type", "").partition(";")[0]
        return media_type.strip().lower() == "text/event-stream"


class Codec(t.Protocol):
    """Conversion of HTTP headers from and to the types of this module."""

    def read_request(self, headers: t.Mapping[str, str]) -> RequestHead:
        """Return the decoded headers of a caller's request.

        Raises `exceptions.MalformedRequest`.
        """

    def write_request(self, head: RequestHead, added: AddedHeaders) -> Headers:
        """Return the headers of a forwarded request."""

    def read_reply_id(
        self, headers: "multidict.MultiMapping[str]"
    ) -> t.Optional[str]:
        """Return the id of the request that a reply names, None without one.

        Several ids are none.
        """

    def read_reply(
        self, status: int, headers: "multidict.MultiMapping[str]"
    ) -> ReplyHead:
        """Return the decoded head of a backend server's reply."""

    def write_error(
        self, request_id: t.Optional[str], retry_seconds: t.Optional[float]
    ) -> Headers:
        """Return the headers of an error response of the entry host."""
