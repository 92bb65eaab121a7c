"""A caller's request and a backend server's reply, decoded."""

import typing as t

import attrs
import multidict

from sesamefold.entry import clock
from sesamefold.entry import topology

# Ranks of requests within one priority of customers.
ROUTE_PRIORITY_LEVELS = 3

Headers = multidict.CIMultiDict[str]


@attrs.frozen
class PromptPart:
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """The size of a generation.

    `parts` are in the order of the prompt; the last belongs to the request
    or its session. `output_tokens` is the most that is generated,
    `expected_output` the caller's estimate.
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
        """Return the tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.list_shared_parts())

    def get_session_id(self) -> str:
        """Return the name of the context that the prompt continues."""
        shared = self.list_shared_parts() or self.parts
        return shared[-1].id if shared else self.model


@attrs.frozen
class RequestHead:
    """What the headers of a caller's request say.

    `forwarded` are the headers that backend servers get as they are.
    `wait_seconds` is how long the caller waits, None if it does not say.
    """

    request_id: str
    forwarded: Headers
    timeout_seconds: t.Optional[float] = None
    api_key: t.Optional[str] = None
    prompt: t.Optional[Prompt] = None
    last_event_id: t.Optional[str] = None


@attrs.define
class Call:
    """A request while it is served.

    `target` is the path and query as the caller sent them. `arrived` and
    `deadline` are instants of `clock.read_time`.
    """

    head: RequestHead
    route: topology.Route
    service: str
    customer: t.Optional[topology.Customer]
    method: str
    target: str
    body: bytes
    arrived: float
    deadline: float
    last_event_id: t.Optional[str] = None
    tried_servers: t.List[str] = attrs.field(factory=list)

    @property
    def request_id(self) -> str:
        """Return the id that the caller gave this request."""
        return self.head.request_id

    def remaining(self) -> float:
        """Return the seconds left, 0.0 when the deadline has passed."""
        return max(0.0, self.deadline - clock.read_time())

    def list_allowed_regions(self) -> t.Optional[t.FrozenSet[str]]:
        """Return the regions that may serve it, None for every region."""
        bounds = [self.route.regions]
        if self.customer is not None:
            bounds.append(self.customer.regions)
        named = [regions for regions in bounds if regions]
        return frozenset.intersection(*named) if named else None

    def get_priority(self) -> int:
        """Return the rank of the request; 0 is the most urgent.

        A customer's priority goes before the route's; among the requests of
        customers of one priority the route decides.
        """
        first = self.route.priority
        if self.customer is not None and self.customer.priority is not None:
            first = self.customer.priority
        return ROUTE_PRIORITY_LEVELS * first + min(
            self.route.priority, ROUTE_PRIORITY_LEVELS - 1
        )


@attrs.frozen
class ContextFetch:
    """A store that holds a part of a prompt, and the part's tokens."""

    address: str
    tokens: int


@attrs.frozen
class ContextPlan:
    """Where the context of a prompt comes from and goes to.

    `salt` is the name space of the context and `version` that of the weights
    that the engine must have. `fetches` and `saves` have one entry for each
    part of the prompt, or none at all. A fetch that has not ended at
    `fetch_until`, in seconds of the engines' clock, is thrown away.
    """

    salt: str
    weight_version: int
    fetches: t.Tuple[t.Optional[ContextFetch], ...] = ()
    saves: t.Tuple[t.Optional[str], ...] = ()
    fetch_deadline: float = 0.0

    def count_fetched_tokens(self) -> int:
        """Return the tokens that come from stores."""
        return sum(fetch.tokens for fetch in self.fetches if fetch)

    def count_saved_parts(self) -> int:
        """Return the number of parts that go to stores."""
        return sum(address is not None for address in self.saves)


@attrs.frozen
class AddedHeaders:
    """What a backend server is told besides the caller's own headers."""

    server_id: str
    seconds_left: float
    customer: t.Optional[str]
    priority: int
    context: t.Optional[ContextPlan] = None
    last_event_id: t.Optional[str] = None


@attrs.frozen
class ReportedLoad:
    """Requests that run and wait at a server, and its places."""

    running: int
    queued: int
    slots: int


@attrs.frozen
class ReplyHead:
    """What the head of a backend server's reply says.

    `not_executed` is the server's promise that it did not run the request;
    if `mismatched`, because it is not the server that the request names or
    has other weights.
    `sealed` tells whether the reply bears the server's seal, without which a
    success is not genuine. `forwarded` are the headers that callers get.
    """

    status: int
    request_id: t.Optional[str]
    not_executed: bool
    sealed: bool
    content_encoded: bool
    content_length: t.Optional[int]
    forwarded: Headers
    load: t.Optional[ReportedLoad] = None
    mismatched: bool = False


class Codec(t.Protocol):
    """The headers of one HTTP interface."""

    def read_request(self, headers: t.Mapping[str, str]) -> RequestHead:
        """Decode a caller's headers; raises `MalformedRequest`."""

    def write_request(self, head: RequestHead, added: AddedHeaders) -> Headers:
        """Return the headers of a request to a backend server."""

    def read_reply(
        self, status: int, headers: t.Mapping[str, str]
    ) -> ReplyHead:
        """Decode the head of a backend server's reply."""

    def write_error(
        self, request_id: t.Optional[str], retry_seconds: t.Optional[float]
    ) -> Headers:
        """Return the headers of an answer of the entry host's own."""
