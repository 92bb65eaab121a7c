"""Stand-in of the platform's list of live and leaving hosts."""

import collections
import time
import typing as t

from aiohttp import web
import attrs

from standins import server


@attrs.define
class Options:
    """`lag` is the time until the list shows a change, in seconds."""

    lag: float = 0.0


class HostListServer(server.Server):
    """Hosts are put and removed by `PUT` and `DELETE /hosts/{name}`.

    `POST /hosts` puts a JSON list of hosts with one revision. Each change
    shows after the lag that is set when it is made, and never before an
    earlier change. Further faults: `lag`, in seconds.
    """

    options_class = Options

    def __init__(self, options: t.Optional[Options] = None) -> None:
        super().__init__(options)
        self.lag = self.options.lag
        self.revision = 0
        self.hosts: t.Dict[str, t.Mapping[str, t.Any]] = {}
        self._pending: t.Deque[
            t.Tuple[float, t.Dict[str, t.Optional[t.Mapping[str, t.Any]]]]
        ] = collections.deque()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the routes."""
        router.add_get("/hosts", self._fetch, name="fetch")
        router.add_post("/hosts", self._put_all, name="put")
        router.add_put("/hosts/{name}", self._put, name="put_one")
        router.add_delete("/hosts/{name}", self._remove, name="remove")

    def fault_lag(self, value: float) -> None:
        """Set the lag of later changes."""
        self.lag = value

    def change(
        self, hosts: t.Dict[str, t.Optional[t.Mapping[str, t.Any]]]
    ) -> None:
        """Put hosts by name, and remove those whose value is None."""
        self._pending.append((time.monotonic() + self.lag, hosts))

    def _apply(self) -> None:
        now = time.monotonic()
        while self._pending and self._pending[0][0] <= now:
            for name, host in self._pending.popleft()[1].items():
                self.hosts.pop(name, None)
                if host is not None:
                    self.hosts[name] = {**host, "name": name}
            self.revision += 1

    async def _put(self, request: web.Request) -> web.Response:
        self.change({request.match_info["name"]: await request.json()})
        return web.json_response({})

    async def _put_all(self, request: web.Request) -> web.Response:
        self.change({host["name"]: host for host in await request.json()})
        return web.json_response({})

    async def _remove(self, request: web.Request) -> web.Response:
        self.change({request.match_info["name"]: None})
        return web.json_response({})

    async def _fetch(self, request: web.Request) -> web.Response:
        self._apply()
        if int(request.query.get("known", 0)) == self.revision > 0:
            self.counters["unchanged"] += 1
            return web.Response(status=204)
        data_centre = request.query["data_centre"]
        return web.json_response(
            {
                "revision": self.revision,
                "hosts": [
                    host
                    for host in self.hosts.values()
                    if host["kind"] == "entry"
                    or host["data_centre"] == data_centre
                ],
            }
        )
