"""Status of the data centre and of the whole system."""

import asyncio
import random
import typing as t

import grpc

from sesamefold import backends as backend_states
from sesamefold import exceptions
from sesamefold import membership as memberships
from sesamefold import relay as relays
from sesamefold.wire import control_pb2

# Timeout of one attempt to reach a host of another data centre.
_ATTEMPT_TIMEOUT_SECONDS = 0.6
# Hosts of a data centre that are tried, one after the other.
_MAX_ATTEMPTS = 2


class StatusReporter:
    """Builds the answers to `GetStatus`."""

    def __init__(
        self,
        membership: memberships.Membership,
        relay: relays.Relay,
        backends: backend_states.Backends,
    ) -> None:
        self._membership = membership
        self._relay = relay
        self._backends = backends

    async def build_status(self, whole: bool) -> control_pb2.Status:
        """Return the status of this data centre, or of all if `whole` is set.

        Another data centre of which no host answers in time is included as
        not reachable.
        """
        own_name = self._membership.data_centre
        configured = self._relay.configuration.data_centres
        names = {*configured, *self._membership.list_data_centres()} - {
            own_name
        }
        others = await asyncio.gather(
            *(self._fetch_data_centre(name) for name in sorted(names) if whole)
        )
        return control_pb2.Status(
            revision=self._relay.revision,
            data_centres=[self._describe_own(), *others],
            platform_available=self._relay.platform_available,
        )

    def _describe_own(self) -> control_pb2.DataCentreStatus:
        name = self._membership.data_centre
        hosts = [
            control_pb2.HostStatus(
                member=peer.member,
                revision=peer.revision,
                reachable=peer.heartbeat_seen
                and self._membership.is_alive(peer),
            )
            for _, peer in sorted(self._membership.list_peers().items())
        ]
        hosts.append(
            control_pb2.HostStatus(
                member=self._membership.member,
                revision=self._relay.revision,
                reachable=True,
            )
        )
        return control_pb2.DataCentreStatus(
            name=name,
            in_service=self._relay.configuration.is_in_service(name),
            reachable=True,
            hosts=hosts,
            backends=self._backends.list_states(),
        )

    async def _fetch_data_centre(
        self, name: str
    ) -> control_pb2.DataCentreStatus:
        hosts = self._membership.list_hosts(name)
        live = [host.name for host in hosts if host.state == "live"]
        for host in random.sample(live, min(len(live), _MAX_ATTEMPTS)):
            centre = await self._fetch_from_host(name, host)
            if centre is not None:
                return centre
        return control_pb2.DataCentreStatus(
            name=name,
            in_service=self._relay.configuration.is_in_service(name),
            reachable=False,
            hosts=[
                control_pb2.HostStatus(
                    member=control_pb2.Member(
                        name=host.name,
                        data_centre=name,
                        control_address=host.control_address,
                        gateway_address=host.address,
                        leaving=host.state == "leaving",
                    )
                )
                for host in hosts
            ],
        )

    async def _fetch_from_host(
        self, name: str, host: str
    ) -> t.Optional[control_pb2.DataCentreStatus]:
        try:
            reply = await self._membership.get_stub(host).GetStatus(
                control_pb2.GetStatusRequest(),
                timeout=_ATTEMPT_TIMEOUT_SECONDS,
            )
        except (grpc.RpcError, exceptions.ControlUnavailable):
            return None
        return next(
            (centre for centre in reply.data_centres if centre.name == name),
            None,
        )
