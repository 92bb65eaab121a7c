"""Interface to the other entry hosts."""

import typing as t

from sesamefold.wire import control_pb2_grpc


class Peers(t.Protocol):
    """The entry hosts and their control daemons, as other parts use them.

    The journal, the permits and the directory call other entry hosts with it.
    """

    name: str  # of this entry host

    def list_members(self) -> t.List[str]:
        """Return the live entry hosts of this data centre, this one too."""

    def list_entry_hosts(self) -> t.List[str]:
        """Return the live entry hosts of all data centres, this one too."""

    def list_remote_hosts(self) -> t.Dict[str, t.List[str]]:
        """Return the listed entry hosts of each other data centre."""

    def get_stub(self, name: str) -> control_pb2_grpc.ControlStub:
        """Return the stub of an entry host's control daemon.

        Raises `exceptions.ControlUnavailable` when its address is not known.
        """
