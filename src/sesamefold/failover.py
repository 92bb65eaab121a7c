"""Choice of the control daemon that a gateway follows."""

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

# Probes of the control in use and of the own one; a paused control keeps its
# connections, so only the lack of an answer shows it, seconds.
_PROBE_INTERVAL = 0.5
_PROBE_SECONDS = 0.5
# Unanswered probes in a row after which another control is followed. With
# the broadcast of an edit this keeps well below the 5 s in which a data
# centre that is taken out must get no new work.
_PROBES_TO_LEAVE = 2


class ControlLink(mode.Service):
    """Follows the own control, or another of the data centre.

    While the own control does not answer, the gateway takes configuration
    and backend states, permits and the journal from another one, and returns
    when its own answers again. `find_addresses` returns the addresses of the
    controls of the data centre. `changed` wakes at each switch.
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
        self.own = client.ControlClient(address)
        self.current = self.own
        self._find_addresses = find_addresses
        self._generator = generator
        self._unanswered = 0

    async def on_stop(self) -> None:
        """Close the channels."""
        await self.own.close()
        if self.current is not self.own:
            await self.current.close()

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            await self.sleep(
                _PROBE_INTERVAL * self._generator.uniform(0.8, 1.2)
            )
            if await _probe(self.own):
                self._unanswered = 0
                await self._switch(self.own)
            elif self.current is not self.own:
                if not await _probe(self.current):
                    await self._leave()
            else:
                self._unanswered += 1
                if self._unanswered >= _PROBES_TO_LEAVE:
                    await self._leave()

    async def _leave(self) -> None:
        """Follow another control that answers, if there is one."""
        addresses = {*await self._find_addresses()}
        addresses -= {self.own.address, self.current.address}
        for address in self._generator.sample(
            sorted(addresses), len(addresses)
        ):
            candidate = client.ControlClient(address)
            if await _probe(candidate):
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
        left, self.current = self.current, target
        self.changed.notify()
        if left is not self.own:
            await left.close()


async def _probe(control: client.ControlClient) -> bool:
    try:
        await control.probe(deadlines.Deadline.after(_PROBE_SECONDS))
    except exceptions.SesamefoldError:
        return False
    return True


async def run_until(
    event: asyncio.Event, coroutine: t.Coroutine[t.Any, t.Any, bool]
) -> bool:
    """Run a coroutine until it ends or `event` is set.

    Returns its result, False when it was cancelled.
    """
    task = asyncio.ensure_future(coroutine)
    waiter = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait((task, waiter), return_when=asyncio.FIRST_COMPLETED)
        return task.result() if task.done() else False
    finally:
        for pending in (task, waiter):
            pending.cancel()
        await asyncio.gather(task, waiter, return_exceptions=True)
