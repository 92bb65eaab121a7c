"""Failover of a gateway to the control daemon of another host."""

import asyncio
import random
import typing as t

import logbook
import mode

from sesamefold import client
from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import notification

_log = logbook.Logger("gateway")

# Interval of probes of the local control and of the one in use. Probes are
# needed because a paused control keeps its connections open.
_PROBE_INTERVAL_SECONDS = 0.5
# Longest wait for the answer to a probe.
_PROBE_TIMEOUT_SECONDS = 0.5
# Consecutive unanswered probes before the gateway uses another control. A data
# centre that is taken out of service must get no new work after 5 s; detection
# and the broadcast of the edit together stay well below that.
_UNANSWERED_PROBES_BEFORE_SWITCH = 2


class ControlLink(mode.Service):
    """Keeps a connection to the local control or to one that replaces it.

    While the control daemon of its own host does not answer, a gateway uses
    another one of the data centre for configuration, states of backend
    servers, permits and the journal. It switches back as soon as the local
    one answers again. `find_addresses` returns the addresses of the controls
    of the data centre. `changed` is notified at each switch.
    """

    mundane_level = "debug"

    def __init__(
        self,
        address: str,
        find_addresses: t.Callable[[], t.Awaitable[t.List[str]]],
        generator: random.Random,
        **options: t.Any,
    ) -> None:
        super().__init__(**options)
        self.changed = notification.Notification()
        self.local = client.ControlClient(address)
        self.current = self.local
        self._find_addresses = find_addresses
        self._generator = generator
        self._unanswered_probes = 0

    async def on_stop(self) -> None:
        """Close the connections to the controls."""
        await self.local.close()
        if self.current is not self.local:
            await self.current.close()

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            await self.sleep(
                _PROBE_INTERVAL_SECONDS * self._generator.uniform(0.8, 1.2)
            )
            if await _is_answering(self.local):
                self._unanswered_probes = 0
                await self._switch(self.local)
            elif self.current is not self.local:
                if not await _is_answering(self.current):
                    await self._switch_to_other()
            else:
                self._unanswered_probes += 1
                if self._unanswered_probes >= _UNANSWERED_PROBES_BEFORE_SWITCH:
                    await self._switch_to_other()

    async def _switch_to_other(self) -> None:
        """Switch to another control that answers, if there is one."""
        addresses = {*await self._find_addresses()}
        addresses -= {self.local.address, self.current.address}
        for address in self._generator.sample(
            sorted(addresses), len(addresses)
        ):
            candidate = client.ControlClient(address)
            if await _is_answering(candidate):
                await self._switch(candidate)
                return
            await candidate.close()

    async def _switch(self, target: client.ControlClient) -> None:
        if target is self.current:
            return
        _log.warning(
            "following the control at {} instead of {}",
            target.address,
            self.current.address,
        )
        previous, self.current = self.current, target
        self.changed.notify()
        if previous is not self.local:
            await previous.close()


async def _is_answering(control: client.ControlClient) -> bool:
    try:
        await control.probe(deadlines.Deadline.after(_PROBE_TIMEOUT_SECONDS))
    except exceptions.SesamefoldError:
        return False
    return True


async def run_until(
    event: asyncio.Event, coroutine: t.Coroutine[t.Any, t.Any, bool]
) -> bool:
    """Return the result of a coroutine, False if `event` is set first.

    The coroutine is cancelled when `event` is set.
    """
    task = asyncio.ensure_future(coroutine)
    event_task = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait(
            (task, event_task), return_when=asyncio.FIRST_COMPLETED
        )
        return task.result() if task.done() else False
    finally:
        for pending in (task, event_task):
            pending.cancel()
        await asyncio.gather(task, event_task, return_exceptions=True)
