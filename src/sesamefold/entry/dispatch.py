"""Serving of one request: attempts, retries and resumed streams.

A reply is what a backend server sends and a response is what the caller gets.
Several attempts may contribute to one response.
"""

import asyncio
import functools
import math
import random
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import context_stores
from sesamefold.entry import decisions
from sesamefold.entry import deliveries
from sesamefold.entry import placement
from sesamefold.entry import requests
from sesamefold.entry import shutdown as shutdowns
from sesamefold.entry import throttle
from sesamefold.entry import topology
from sesamefold.entry import upstream
from sesamefold import exceptions

# Age of the last confirmation of the configuration above which no request with
# an API key is sent, as a share of the time within which withdrawn keys must
# stop working. The rest covers clock drift and the sending of the request.
MAX_CONFIRMATION_AGE_SHARE = 0.9
# Longest wait for a server with free capacity, as a share of the route's
# target for the first byte.
CAPACITY_WAIT_SHARE = 0.4
# Longest wait for a server with free capacity on any route. A request that
# waits longer is refused, so that its caller can retry once there is capacity.
MAX_CAPACITY_WAIT_SECONDS = 0.25
CAPACITY_POLL_INTERVAL_SECONDS = 0.03
# Time after the end of the servers' rest over which the callers that were
# refused because of it are told to come back, seconds.
RETURN_SPREAD_SECONDS = 1.0


@attrs.define
class Dispatcher:
    """Sends calls to backend servers and relays their replies.

    `key_withdrawal_seconds` is the time within which a withdrawn API key must
    stop working; it limits the age of the configuration's last confirmation
    for requests with a key. None sets no limit.
    """

    catalog: catalogs.Catalog
    placement: placement.Placement
    context_stores: context_stores.ContextStores
    retries: throttle.RetryThrottle
    upstream: upstream.UpstreamClient
    log: decisions.DecisionLog
    key_withdrawal_seconds: t.Optional[float]
    shutdown: shutdowns.Shutdown = attrs.field(factory=shutdowns.Shutdown)

    async def serve(
        self, call: requests.Call, writer: deliveries.ResponseWriter
    ) -> None:
        """Serve a call until its response is complete.

        Raises `exceptions.NoRoom` or `exceptions.ShuttingDown` if no server
        executed the request, `exceptions.RunTimeout` or
        `exceptions.ReplyBroken` if a server may have executed it, and
        `exceptions.AnswerCut` if a part of the response was already sent.
        """
        response = deliveries.CallerResponse(writer)
        try:
            async with self.shutdown.limit_answer(call):
                await self._serve(call, response)
        except TimeoutError:
            reason = "the deadline passed"
            if self.shutdown.has_given_up() and call.remaining() > 0:
                reason = "the entry host shut down before the run ended"
            self._raise_final(response, call, exceptions.RunTimeout(reason))

    async def _serve(
        self, call: requests.Call, response: deliveries.CallerResponse
    ) -> None:
        maybe_executed = False
        while True:
            call.record_wait("capacity")
            server, cold = await self._wait_for_capacity(
                call, response, maybe_executed
            )
            if not maybe_executed:
                self.shutdown.check(call)
                self.retries.record_request(call.service)
            call.tried_servers.append(server.id)
            call.record_wait("reply")
            try:
                with self.shutdown.measure_run(call):
                    await self._send_to_server(call, response, server, cold)
                return
            except exceptions.NotExecuted as error:
                self._record_failure(call, server, error)
                self._acquire_retry_or_raise(
                    call, response, error, maybe_executed
                )
            except (exceptions.ReplyBroken, deliveries.RunFailed) as error:
                maybe_executed = True
                self._record_failure(call, server, error)
                if isinstance(error, deliveries.RunFailed):
                    if not self._try_acquire_retry(call, response):
                        await response.forward_failure(error)
                        return
                elif not self._try_acquire_retry(call, response):
                    self._raise_final(response, call, error)

    async def _wait_for_capacity(
        self,
        call: requests.Call,
        response: deliveries.CallerResponse,
        maybe_executed: bool,
    ) -> t.Tuple[topology.Server, bool]:
        """Return a server with free capacity, and whether it is cold.

        A stream that has started continues even on a server without free
        capacity. A request that may have been executed waits until its
        deadline, because it can no longer be refused as not executed. Raises
        `TimeoutError` when the deadline has passed.
        """
        give_up_at = clock.read_time() + min(
            MAX_CAPACITY_WAIT_SECONDS,
            CAPACITY_WAIT_SHARE * call.route.first_byte_target,
        )
        while True:
            self._check_confirmation(call, response, maybe_executed)
            if call.remaining() <= 0:
                # The timers of the event loop, unlike this clock, do not
                # advance while the host is suspended.
                raise TimeoutError
            chosen = self.placement.choose_server(call)
            if chosen is not None and (
                response.started
                or self.placement.has_capacity(call, chosen[0])
            ):
                return chosen
            rest_end = None
            if chosen is None:
                rest_end = self.placement.find_rest_end(call, maybe_executed)
            if rest_end is not None:
                # A request that may have been executed cannot be refused and
                # waits, if the rest ends in time.
                limit = call.deadline if maybe_executed else give_up_at
                given_up = rest_end >= limit
            else:
                given_up = clock.read_time() >= give_up_at and not (
                    maybe_executed and self.placement.has_untried_server(call)
                )
            if given_up:
                error = exceptions.NoRoom(
                    self.placement.describe_missing_capacity(call, chosen),
                    _compute_retry_after(rest_end),
                )
                self._raise_final(
                    response, call, _convert_error(error, maybe_executed)
                )
            await asyncio.sleep(CAPACITY_POLL_INTERVAL_SECONDS)

    def _check_confirmation(
        self,
        call: requests.Call,
        response: deliveries.CallerResponse,
        maybe_executed: bool,
    ) -> None:
        """Refuse a request whose API key may have been withdrawn."""
        if self.key_withdrawal_seconds is None or call.customer is None:
            return
        age = clock.read_time() - self.catalog.confirmed_at
        if age > MAX_CONFIRMATION_AGE_SHARE * self.key_withdrawal_seconds:
            error = exceptions.NoRoom(
                f"the configuration was last confirmed {age:.1f} s ago"
            )
            self._raise_final(
                response, call, _convert_error(error, maybe_executed)
            )

    def _try_acquire_retry(
        self, call: requests.Call, response: deliveries.CallerResponse
    ) -> bool:
        """Return whether a request that may have been executed is retried.

        A retry is charged to the retry budget.
        """
        if response.started and not (
            call.route.resumable and response.may_continue()
        ):
            return False
        return (
            call.route.may_repeat()
            and len(call.tried_servers) < call.route.max_servers
            and self.shutdown.get_run_seconds(call) > 0
            and self.retries.try_acquire_retry(call.service)
        )

    def _acquire_retry_or_raise(
        self,
        call: requests.Call,
        response: deliveries.CallerResponse,
        error: exceptions.NotExecuted,
        maybe_executed: bool,
    ) -> None:
        """Charge the retry of a request that the last server did not execute.

        Raises the final error if no retry is allowed. Such a request may try
        two servers even on a route that allows only one.
        """
        if len(call.tried_servers) >= max(2, call.route.max_servers) or not (
            self.retries.try_acquire_retry(call.service)
        ):
            refusal = exceptions.NoRoom(
                f"no server executed the request: {error.message}",
                _compute_retry_after(
                    self.placement.find_rest_end(call, untried_only=False)
                ),
            )
            self._raise_final(
                response, call, _convert_error(refusal, maybe_executed)
            )

    def _raise_final(
        self,
        response: deliveries.CallerResponse,
        call: requests.Call,
        error: exceptions.RoutingError,
    ) -> t.NoReturn:
        """Raise the error that ends the call, as the caller must see it."""
        if response.started:
            raise exceptions.AnswerCut(error.message) from error
        if isinstance(error, exceptions.RunTimeout) and not call.tried_servers:
            raise exceptions.NoRoom(
                "no server had free capacity before the deadline"
            )
        raise error

    def _record_failure(
        self, call: requests.Call, server: topology.Server, error: Exception
    ) -> None:
        """Log a failed attempt and report it to the placement."""
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
        if isinstance(error, exceptions.WeightsExpired):
            return
        self.placement.record_outcome(server, failed=True)

    async def _send_to_server(
        self,
        call: requests.Call,
        response: deliveries.CallerResponse,
        server: topology.Server,
        cold: bool,
    ) -> None:
        """Make one attempt at a server and relay its reply.

        Raises `exceptions.WeightsExpired` for a stream that has not begun
        when the server's weights expire.
        """
        added = self._make_added_headers(call, server)
        expiry = self.placement.find_weights_expiry(call, server)
        context = added.context
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
            left=round(added.seconds_left, 3),
            weights_left=_round_finite(expiry - clock.read_time()),
            version=self.catalog.require_configuration().version,
        )
        sent_at = clock.read_time()
        reservation = self.placement.record_request(call, server, cold)

        def record_first_event() -> None:
            reservation.record_prefill()
            start_timeout.reschedule(None)
            if call.head.prompt is not None and context is not None:
                self.context_stores.record_first_token(
                    call.head.prompt, context, clock.read_time() - sent_at
                )

        attempt = deliveries.Attempt(
            server,
            self.placement,
            call.route.resumable,
            lambda: (
                len(call.tried_servers) < call.route.max_servers
                and self.retries.allows_retry(call.service)
            ),
            record_first_event,
        )
        start_timeout = asyncio.timeout(
            expiry - sent_at
            if call.route.streamed and math.isfinite(expiry)
            else None
        )
        try:
            async with start_timeout:
                async with self.upstream.send(
                    server,
                    call,
                    added,
                    functools.partial(
                        self.placement.record_reply, call, server
                    ),
                ) as reply:
                    await response.forward_reply(call, reply, attempt)
        except TimeoutError as error:
            if not start_timeout.expired():
                raise
            raise exceptions.WeightsExpired(
                "the server's weights expired before the stream began"
            ) from error
        finally:
            reservation.release()
        self.placement.record_outcome(server, failed=False)

    def _make_added_headers(
        self, call: requests.Call, server: topology.Server
    ) -> requests.AddedHeaders:
        customer = call.customer
        return requests.AddedHeaders(
            server_id=server.id,
            seconds_left=self.shutdown.get_run_seconds(call),
            customer=customer.name if customer else None,
            priority=call.get_priority(),
            context=self.context_stores.plan_context(call, server),
            last_event_id=call.last_event_id,
        )


def _compute_retry_after(
    rest_end: t.Optional[float],
) -> t.Optional[float]:
    """Return the seconds after which a caller should come back.

    They are spread over `RETURN_SPREAD_SECONDS` after the end of the servers'
    rest. None if no rest ends.
    """
    if rest_end is None:
        return None
    spread = random.uniform(0.0, RETURN_SPREAD_SECONDS)
    return max(0.0, rest_end - clock.read_time()) + spread


def _round_finite(seconds: float) -> t.Optional[float]:
    """Return the seconds rounded for the log, None if they are infinite."""
    return round(seconds, 3) if math.isfinite(seconds) else None


def _convert_error(
    error: exceptions.RoutingError, maybe_executed: bool
) -> exceptions.RoutingError:
    """Return the error that states the outcome of the request.

    After an attempt that may have executed the request, an error that says
    that it was not executed would be wrong.
    """
    return exceptions.ReplyBroken(error.message) if maybe_executed else error
