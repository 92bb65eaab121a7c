"""Explanation of where a request would go now, without sending it."""

import math
import typing as t

from aiohttp import web
import attrs
import multidict

from sesamefold import culprits as culprits_module
from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import placement as placements
from sesamefold.entry import quarantine as quarantines
from sesamefold.entry import requests
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold import jsonvalues
from sesamefold import presentation

PATH = "/explanation"
# Largest description of a request: its headers, which callers may send with
# up to 64 KiB, in JSON.
MAX_BODY_BYTES = 256 * 1024


@attrs.define
class Explainer:
    """Explains the placement of requests that are described to it.

    `data_centre` is that of this host. A request that has no prompt does not
    wait for room here. The body of a request is not known, so that one that
    crashes servers by its body is not recognized.

        explainer.explain({"host": "a.example", "path": "/chat/",
                           "headers": {"Api-Key": "..."}})
    """

    host: str
    data_centre: str
    catalog: catalogs.Catalog
    placement: placements.Placement
    codec: requests.Codec
    quarantine: quarantines.Quarantine
    queues_requests: bool
    read_time: t.Callable[[], float] = clock.read_time

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer with an explanation, or with an error, as JSON."""
        try:
            if request.method != "POST":
                raise exceptions.MalformedRequest("the method is not POST")
            data = await request.content.read(MAX_BODY_BYTES + 1)
            if len(data) > MAX_BODY_BYTES:
                raise exceptions.RequestTooLarge(
                    f"the description exceeds {MAX_BODY_BYTES} bytes"
                )
            return web.json_response(self.explain(_decode(data)))
        except exceptions.SesamefoldError as error:
            return web.json_response(
                {"error": presentation.convert_error(error)},
                status=error.status,
            )

    def explain(self, described: t.Any) -> t.Dict[str, t.Any]:
        """Return where a request would go and why, as JSON values.

        Raises the error that the request itself would end with before any
        server is looked for, such as `exceptions.UnknownPath`, and
        `exceptions.MalformedRequest` for an odd description.
        """
        call = self._make_call(described)
        now = self.read_time()
        obstacles = {
            server.id: self.placement.find_obstacle(call, server)
            for server in self.placement.list_servers(call)
        }
        judgement = self.quarantine.culprits.judge(
            quarantines.make_fingerprint(call)
        )
        call.suspect = judgement.verdict is culprits_module.Verdict.SUSPECT
        choice = self.placement.explain_choice(call)
        outcome, reason = self._describe_outcome(call, choice, judgement)
        age = self.placement.loads.get_figure_age(True)
        return {
            "host": self.host,
            "route": call.route.name,
            "service": call.service,
            "customer": call.customer and call.customer.name,
            "configuration": call.configuration_version,
            "confirmed_seconds": _round(now - self.catalog.confirmed_at),
            "figure_seconds": _round(age),
            "outcome": outcome,
            "reason": reason,
            "server": choice and choice.server.id,
            "cold": choice is not None and choice.cold,
            "candidates": [
                self._describe_candidate(call, server, choice, obstacles)
                for server in self.placement.list_servers(call)
            ],
        }

    def _make_call(self, described: t.Any) -> requests.Call:
        headers = described.get("headers", {})
        texts = (described.get("host"), described.get("path"))
        if not isinstance(headers, dict) or not all(
            isinstance(text, str)
            for text in (*texts, *headers, *headers.values())
        ):
            raise exceptions.MalformedRequest(
                "host, path and headers must be texts"
            )
        configuration = self.catalog.require_configuration()
        host, path = t.cast(t.Tuple[str, str], texts)
        route = configuration.find_route(host, path.partition("?")[0])
        head = self.codec.read_request(multidict.CIMultiDict(headers))
        now = self.read_time()
        timeout = min(head.timeout_seconds or math.inf, route.timeout)
        return requests.Call(
            head=head,
            route=route,
            service=route.choose_service(head.request_id),
            customer=configuration.find_customer(route, head.api_key),
            method="POST",
            target=path,
            body=b"",
            arrived_at=now,
            deadline=now + timeout,
            configuration_version=configuration.version,
        )

    def _describe_outcome(
        self,
        call: requests.Call,
        choice: t.Optional[placements.Choice],
        judgement: culprits_module.Judgement,
    ) -> t.Tuple[str, str]:
        """Return what would happen to a request now, and why."""
        if judgement.verdict is culprits_module.Verdict.REFUSE:
            return "refused", f"{judgement.crashes} servers crashed with it"
        if choice is None:
            missing = self.placement.describe_missing_capacity(call, None)
            return "waits", missing
        if not self.placement.has_capacity(call, choice.server):
            missing = self.placement.describe_missing_capacity(
                call, (choice.server, choice.cold)
            )
            return "waits" if self.queues_requests else "refused", missing
        if call.suspect:
            return "sent", "the least loaded server, as it may crash it"
        if choice.costs_ms:
            return "sent", (
                "the lowest estimated cost of "
                f"{len(choice.costs_ms)} engines that were compared"
            )
        if self.placement.balances_service(call.service):
            return "sent", "its turn among the servers below the level"
        return "sent", "the least loaded server"

    def _describe_candidate(
        self,
        call: requests.Call,
        server: topology.Server,
        choice: t.Optional[placements.Choice],
        obstacles: t.Mapping[str, t.Optional[str]],
    ) -> t.Dict[str, t.Any]:
        load = self.placement.loads.get_load(server.id)
        cost = choice and choice.costs_ms.get(server.id)
        return {
            "server": server.id,
            "data_centre": server.data_centre,
            "near": server.data_centre == self.data_centre,
            "requests": load.requests,
            "slots": server.slots,
            "memory_tokens": load.memory_tokens,
            "prefill_tokens": load.prefill_tokens,
            "slowdown": round(self.placement.get_slowdown(server), 2),
            "has_room": self.placement.has_capacity(call, server),
            "cost_ms": None if cost is None else round(cost, 1),
            "obstacle": obstacles[server.id],
        }


def _decode(data: bytes) -> t.Dict[str, t.Any]:
    try:
        described = jsonvalues.decode(data)
    except ValueError as error:
        raise exceptions.MalformedRequest(f"no JSON: {error}") from error
    if not isinstance(described, dict):
        raise exceptions.MalformedRequest("the description is no JSON object")
    return described


def _round(seconds: float) -> t.Optional[float]:
    return round(seconds, 3) if math.isfinite(seconds) else None
