"""Serving of one request: attempts, retries and resumed streams."""

import asyncio
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import context_stores
from sesamefold.entry import decisions
from sesamefold.entry import deliveries
from sesamefold.entry import placement
from sesamefold.entry import requests
from sesamefold.entry import throttle
from sesamefold.entry import topology
from sesamefold.entry import upstream
from sesamefold import exceptions

# Share of the bound on withdrawn keys at which a confirmation of the
# configuration is too old to send a keyed request, so that clocks that run
# differently and the sending itself have room.
CONFIRMATION_SHARE = 0.9
# Longest wait for a server with room, as a part of the route's target for the
# first byte, and in seconds; a request that waits longer is refused, so that
# its caller can come back when there is room. Time between two looks, seconds.
ROOM_SHARE = 0.4
ROOM_SECONDS = 0.25
ROOM_POLL = 0.03


@attrs.define
class Dispatcher:
    """Serves calls; the parts that decide are given.

    `confirmation_seconds` bounds the age of the configuration's confirmation
    for requests with a key, None where it may have any age.
    """

    catalog: catalogs.Catalog
    placement: placement.Placement
    contexts: context_stores.ContextStores
    retries: throttle.RetryThrottle
    upstream: upstream.Upstream
    log: decisions.DecisionLog
    confirmation_seconds: t.Optional[float]

    async def serve(
        self, call: requests.Call, writer: deliveries.Writer
    ) -> None:
        """Serve a call until its answer is complete.

        Raises `exceptions.NoRoom` when no server ran it,
        `exceptions.RunTimeout` and `exceptions.ReplyBroken` when one may
        have, and `exceptions.AnswerCut` when a part of the answer was sent.
        """
        answer = deliveries.Answer(writer)
        try:
            async with asyncio.timeout(call.remaining()):
                await self._serve(call, answer)
        except TimeoutError:
            self._raise_end(
                answer, call, exceptions.RunTimeout("the deadline passed")
            )

    async def _serve(
        self, call: requests.Call, answer: deliveries.Answer
    ) -> None:
        sent = False
        while True:
            server, cold = await self._wait_for_room(call, answer, sent)
            if not sent:
                self.retries.record_request(call.service)
            call.tried_servers.append(server.id)
            try:
                await self._attempt(call, answer, server, cold)
                return
            except exceptions.NotExecuted as error:
                self._note(call, server, error)
                self._require_retry(call, answer, error, sent)
            except (exceptions.ReplyBroken, deliveries.RunFailed) as error:
                sent = True
                self._note(call, server, error)
                if isinstance(error, deliveries.RunFailed):
                    if not self._may_retry(call, answer):
                        await answer.pass_failure(error)
                        return
                elif not self._may_retry(call, answer):
                    self._raise_end(answer, call, error)

    async def _wait_for_room(
        self, call: requests.Call, answer: deliveries.Answer, sent: bool
    ) -> t.Tuple[topology.Server, bool]:
        """Return a server with room for the request, and whether it is cold.

        A stream that has begun goes on even where there is no room.
        """
        end = clock.read_time() + min(
            ROOM_SECONDS, ROOM_SHARE * call.route.first_byte_target
        )
        while True:
            self._check_confirmation(call, answer, sent)
            if call.remaining() <= 0:
                # Timers stand still while the host is suspended.
                raise TimeoutError
            chosen = self.placement.choose_server(call)
            if chosen is not None and (
                answer.started or self.placement.has_capacity(call, chosen[0])
            ):
                return chosen
            if clock.read_time() >= end:
                error = exceptions.NoRoom(
                    self.placement.describe_missing_capacity(call, chosen)
                )
                self._raise_end(answer, call, _as_unknown(error, sent))
            await asyncio.sleep(ROOM_POLL)

    def _check_confirmation(
        self, call: requests.Call, answer: deliveries.Answer, sent: bool
    ) -> None:
        """Refuse a key that may have been withdrawn meanwhile."""
        if self.confirmation_seconds is None or call.customer is None:
            return
        age = clock.read_time() - self.catalog.confirmed_at
        if age > CONFIRMATION_SHARE * self.confirmation_seconds:
            error = exceptions.NoRoom(
                f"the configuration was confirmed {age:.1f} s ago"
            )
            self._raise_end(answer, call, _as_unknown(error, sent))

    def _may_retry(
        self, call: requests.Call, answer: deliveries.Answer
    ) -> bool:
        """Tell whether a request that may have run can be sent again."""
        if answer.started and not call.route.resumable:
            return False
        return (
            call.route.may_repeat()
            and len(call.tried_servers) < call.route.max_servers
            and call.remaining() > 0
            and self.retries.try_acquire_retry(call.service)
        )

    def _require_retry(
        self,
        call: requests.Call,
        answer: deliveries.Answer,
        error: exceptions.NotExecuted,
        sent: bool,
    ) -> None:
        """Raise unless a request that did not run can be sent again."""
        if len(call.tried_servers) >= max(2, call.route.max_servers) or not (
            self.retries.try_acquire_retry(call.service)
        ):
            refusal = exceptions.NoRoom(f"no server took it: {error.message}")
            self._raise_end(answer, call, _as_unknown(refusal, sent))

    def _raise_end(
        self,
        answer: deliveries.Answer,
        call: requests.Call,
        error: exceptions.RoutingError,
    ) -> t.NoReturn:
        if answer.started:
            raise exceptions.AnswerCut(error.message) from error
        if isinstance(error, exceptions.RunTimeout) and not call.tried_servers:
            raise exceptions.NoRoom("no server was free before the deadline")
        raise error

    def _note(
        self, call: requests.Call, server: topology.Server, error: Exception
    ) -> None:
        self.log.write(
            "attempt_failed",
            request=call.request_id,
            server=server.id,
            attempt=len(call.tried_servers),
            reason=str(error)[:200],
            error=type(error).__name__,
        )
        if isinstance(error, exceptions.NotExecuted):
            if error.mismatched:
                self.placement.record_mismatch(call, server)
            elif error.reachable:
                self.placement.record_refusal(server)
            else:
                self.placement.suspect(server, error.message)
            return
        self.placement.record_outcome(server, failed=True)

    async def _attempt(
        self,
        call: requests.Call,
        answer: deliveries.Answer,
        server: topology.Server,
        cold: bool,
    ) -> None:
        dispatch = self._make_dispatch(call, server)
        context = dispatch.context
        self.log.write(
            "sent",
            request=call.request_id,
            server=server.id,
            attempt=len(call.tried_servers),
            cold=cold or None,
            session=call.head.prompt and call.head.prompt.get_session_id(),
            shared=call.head.prompt and call.head.prompt.count_shared_tokens(),
            weights=context.weight_version if context else None,
            fetched=context.count_fetched_tokens() if context else None,
            saved=context.count_saved_parts() if context else None,
            left=round(dispatch.seconds_left, 3),
            version=self.catalog.require_configuration().version,
        )
        sent_at = clock.read_time()
        reservation = self.placement.record_request(call, server, cold)

        def note_first() -> None:
            reservation.record_prefill()
            if call.head.prompt is not None and context is not None:
                self.contexts.record_first_token(
                    call.head.prompt, context, clock.read_time() - sent_at
                )

        run = deliveries.Run(
            server,
            self.placement,
            call.route.resumable,
            lambda: (
                len(call.tried_servers) < call.route.max_servers
                and self.retries.allows_retry(call.service)
            ),
            note_first,
        )
        try:
            async with self.upstream.send(server, call, dispatch) as reply:
                self.placement.record_reply(server, reply.head)
                await answer.pass_reply(call, reply, run)
        finally:
            reservation.release()
        self.placement.record_outcome(server, failed=False)

    def _make_dispatch(
        self, call: requests.Call, server: topology.Server
    ) -> requests.AddedHeaders:
        customer = call.customer
        return requests.AddedHeaders(
            server_id=server.id,
            seconds_left=call.remaining(),
            customer=customer.name if customer else None,
            priority=call.get_priority(),
            context=self.contexts.plan_context(call, server),
            last_event_id=call.last_event_id,
        )


def _as_unknown(
    error: exceptions.RoutingError, sent: bool
) -> exceptions.RoutingError:
    """Return the error for a request that an earlier server may have run."""
    return exceptions.ReplyBroken(error.message) if sent else error
