"""Serving of one request: attempts, retries and resumed streams.

A reply is what a backend server sends and a response is what the caller gets.
Several attempts may contribute to one response.
"""

import asyncio
import functools
import math
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import context_stores
from sesamefold.entry import crash_detection
from sesamefold.entry import decisions
from sesamefold.entry import deliveries
from sesamefold.entry import loads
from sesamefold.entry import pauses
from sesamefold.entry import placement
from sesamefold.entry import quarantine as quarantines
from sesamefold.entry import requests
from sesamefold.entry import room_queue as room_queues
from sesamefold.entry import shutdown as shutdowns
from sesamefold.entry import successors
from sesamefold.entry import throttle
from sesamefold.entry import topology
from sesamefold.entry import upstream
from sesamefold.entry import version_routing
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

# Servers that had ended which a request may try beside the other ones. A loss
# of several servers at once is known to all hosts within half a second.
MAX_ENDED_SERVERS = 3

# Errors of an attempt after which the request may go on at another server.
_FAILURES = (
    exceptions.NotExecuted,
    exceptions.ReplyBroken,
    deliveries.RunFailed,
)


@attrs.define
class Dispatcher:
    """Sends calls to backend servers and relays their replies.

    `key_withdrawal_seconds` is the time within which a withdrawn API key must
    stop working; it limits the age of the configuration's last confirmation
    for requests with a key. None sets no limit. Without `room_queue`, requests
    that find no room are refused shortly after.
    """

    catalog: catalogs.Catalog
    placement: placement.Placement
    context_stores: context_stores.ContextStores
    retries: throttle.RetryThrottle
    upstream: upstream.UpstreamClient
    log: decisions.DecisionLog
    key_withdrawal_seconds: t.Optional[float]
    pauses: pauses.PauseMonitor
    crashes: crash_detection.CrashDetector
    quarantine: quarantines.Quarantine
    shutdown: shutdowns.Shutdown = attrs.field(factory=shutdowns.Shutdown)
    room_queue: t.Optional[room_queues.RoomQueue] = None

    async def serve(
        self, call: requests.Call, writer: deliveries.ResponseWriter
    ) -> None:
        """Serve a call until its response is complete.

        Raises `exceptions.NoRoom`, `exceptions.CrashSuspected`,
        `exceptions.ShuttingDown` or, for a key that was withdrawn meanwhile,
        `exceptions.Unauthenticated` if no server executed the request,
        `exceptions.RunTimeout` or `exceptions.ReplyBroken` if a server may
        have executed it, and `exceptions.AnswerCut` if a part of the response
        was already sent.
        """
        response = deliveries.CallerResponse(writer)
        try:
            await self._serve_until_deadline(call, response)
        except exceptions.AnswerCut as error:
            self._log_cut(call, response, error)
            raise

    async def _serve_until_deadline(
        self, call: requests.Call, response: deliveries.CallerResponse
    ) -> None:
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
            self._check_quarantine(call, response, maybe_executed)
            if self._uses_queue(call, maybe_executed):
                place = await self._wait_for_room(call, response)
                server, cold = place.server, place.cold
                reservation = place.reservation
            else:
                server, cold = await self._wait_for_capacity(
                    call, response, maybe_executed
                )
                reservation = None
            try:
                if not maybe_executed:
                    self.shutdown.check(call)
                    self.retries.record_request(call.service)
                # Other hosts may have reported crashes while the call waited.
                self._check_quarantine(call, response, maybe_executed)
            except BaseException:
                if reservation is not None:
                    reservation.release()
                raise
            self.quarantine.record_run(call, server)
            call.tried_servers.append(server.id)
            call.record_wait("reply")
            if reservation is None:
                reservation = self.placement.record_request(call, server, cold)
            try:
                with self.shutdown.measure_run(call):
                    await self._send_to_server(
                        call, response, server, cold, reservation
                    )
                self.quarantine.record_success(call)
                return
            except exceptions.NotExecuted as error:
                self._acquire_retry_or_raise(
                    call, response, error, maybe_executed
                )
            except (exceptions.ReplyBroken, deliveries.RunFailed) as error:
                maybe_executed = True
                if isinstance(error, deliveries.RunFailed):
                    if not self._try_acquire_retry(call, response):
                        await response.forward_failure(error)
                        return
                elif not self._try_acquire_retry(call, response):
                    self._raise_final(response, call, error)

    def _uses_queue(self, call: requests.Call, maybe_executed: bool) -> bool:
        """Return whether a call waits in the queue for room.

        A request that may have run is no longer refused, and neither is one
        without a prompt, whose servers bound their own queues.
        """
        return (
            self.room_queue is not None
            and call.head.prompt is not None
            and not call.suspect
            and not maybe_executed
        )

    async def _wait_for_room(
        self, call: requests.Call, response: deliveries.CallerResponse
    ) -> room_queues.Place:
        """Return room for a call; raises the error that the caller gets."""
        queue = t.cast(room_queues.RoomQueue, self.room_queue)

        def check() -> None:
            self.shutdown.check(call)
            self._update_limits(call)
            self._check_confirmation(call, response)

        return await queue.acquire(call, check)

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
            self._update_limits(call)
            if not maybe_executed:
                self._check_confirmation(call, response)
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

    def _check_quarantine(
        self,
        call: requests.Call,
        response: deliveries.CallerResponse,
        maybe_executed: bool,
    ) -> None:
        """Refuse a call that is believed to crash servers."""
        try:
            self.quarantine.check(call)
        except exceptions.CrashSuspected as error:
            self._raise_final(
                response, call, _convert_error(error, maybe_executed)
            )

    def _check_confirmation(
        self, call: requests.Call, response: deliveries.CallerResponse
    ) -> None:
        """Refuse a request whose API key was or may have been withdrawn.

        The key was found in the configuration of the request's arrival, which
        may not be the one that is confirmed now. Not to be called for a
        request that may have been executed: its key was valid when it
        arrived, and it may go on at another server.
        """
        configuration = self.catalog.require_configuration()
        if call.key_version != configuration.version:
            call.customer = configuration.find_customer(
                call.route, call.head.api_key
            )
            call.key_version = configuration.version
        if not self._is_confirmed(call):
            age = clock.read_time() - self.catalog.confirmed_at
            error = exceptions.NoRoom(
                f"the configuration was last confirmed {age:.1f} s ago"
            )
            self._raise_final(response, call, error)

    def _update_limits(self, call: requests.Call) -> None:
        """Adopt the present limits on where a call may be served.

        It keeps its route and its customer, whose key may have been withdrawn
        since a run began, but not the regions and the isolation that they had
        when it arrived. A customer that was isolated then remains so.
        """
        configuration = self.catalog.require_configuration()
        if call.configuration_version == configuration.version:
            return
        regions = configuration.find_present_regions(call.route)
        if regions != call.route.regions:
            call.route = attrs.evolve(call.route, regions=regions)
        if call.customer is not None:
            customer = configuration.find_present_customer(call.customer)
            call.customer = attrs.evolve(
                customer,
                isolated=customer.isolated or call.customer.isolated,
            )

    def _is_confirmed(self, call: requests.Call) -> bool:
        """Return whether the call's API key, if any, is known to be valid."""
        if self.key_withdrawal_seconds is None or call.customer is None:
            return True
        age = clock.read_time() - self.catalog.confirmed_at
        return age <= MAX_CONFIRMATION_AGE_SHARE * self.key_withdrawal_seconds

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
            and self.quarantine.may_repeat(call)
            and call.may_run_elsewhere()
            and self.shutdown.get_run_seconds(call) > 0
            and self.retries.try_acquire_retry(call.service)
        )

    def _choose_successor(
        self,
        call: requests.Call,
        response: deliveries.CallerResponse,
        claim: successors.Claim,
    ) -> t.Union["asyncio.Task[None]", str]:
        """Start an attempt at another server for a silent stream.

        The attempt is charged to the retry budget. Returns the reason if no
        server can take the stream now.
        """
        if not call.may_run_elsewhere():
            return "limit of servers"
        if not self.quarantine.may_repeat(call):
            return "the request may crash servers"
        if self.shutdown.get_run_seconds(call) <= 0:
            return "the host shuts down"
        if not self._is_confirmed(call):
            return "the configuration is not confirmed"
        self._update_limits(call)
        chosen = self.placement.choose_server(call)
        if chosen is None or not (
            response.started or self.placement.has_capacity(call, chosen[0])
        ):
            return self.placement.describe_missing_capacity(call, chosen)
        server, cold = chosen
        if self.placement.states.is_leaving(server):
            return "all other servers leave"
        if not self.retries.try_acquire_retry(call.service):
            return "retry budget"
        call.tried_servers.append(server.id)
        claim.server = server
        # Recorded before the task runs, so that streams that fall silent
        # together do not all choose the same server.
        reservation = self.placement.record_request(call, server, cold)
        task = asyncio.create_task(
            self._send_to_server(
                call, response, server, cold, reservation, claim
            )
        )

        def record_end(task: "asyncio.Task[None]") -> None:
            reservation.release()
            if task.cancelled() and not claim.granted.is_set():
                call.record_cancelled(server.id)

        task.add_done_callback(record_end)
        return task

    def _acquire_retry_or_raise(
        self,
        call: requests.Call,
        response: deliveries.CallerResponse,
        error: exceptions.NotExecuted,
        maybe_executed: bool,
    ) -> None:
        """Charge the retry of a request that the last server did not execute.

        Raises the final error if no retry is allowed. Such a request may try
        two servers even on a route that allows only one, and a few more if
        those had ended: that says nothing of the load of the others. For a
        response that has started, servers that did not execute it do not
        count.
        """
        if response.started:
            may_retry = call.may_run_elsewhere()
        else:
            ended = min(call.ended_servers, MAX_ENDED_SERVERS)
            may_retry = len(call.tried_servers) - ended < max(
                2, call.route.max_servers
            )
        if not may_retry or not self.retries.try_acquire_retry(call.service):
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

    def _log_cut(
        self,
        call: requests.Call,
        response: deliveries.CallerResponse,
        error: exceptions.AnswerCut,
    ) -> None:
        """Log a response that ends without its end, and what was missing."""
        now = clock.read_time()
        last_event_at = response.last_event_at or call.arrived_at
        last = self.catalog.servers.get(call.tried_servers[-1])
        self.log.write(
            "answer_cut",
            request=call.request_id,
            reason=error.message[:200],
            servers=call.tried_servers,
            max_servers=call.route.max_servers,
            retry_allowed=self.retries.allows_retry(call.service),
            silent=round(now - last_event_at, 3),
            server_listed=last is not None,
            server_silent=last
            and deliveries.round_finite(self.placement.measure_silence(last)),
            paused=round(self.pauses.measure_paused_seconds(), 3),
            version_before=call.configuration_version,
            version=self.catalog.require_configuration().version,
            left=round(call.remaining(), 3),
        )

    def _record_failure(
        self,
        call: requests.Call,
        server: topology.Server,
        attempt_number: int,
        error: Exception,
        sent_at: float,
    ) -> None:
        """Log a failed attempt and report it to the placement."""
        self.log.write(
            "attempt_failed",
            request=call.request_id,
            server=server.id,
            attempt=attempt_number,
            reason=str(error)[:200],
            error=type(error).__name__,
            begun=call.begun_at is not None or None,
        )
        if isinstance(error, exceptions.NotExecuted):
            call.record_refusal(server.id)
            if error.ended:
                call.ended_servers += 1
                self.crashes.record_end(server)
            if error.replaced:
                self.placement.record_replaced(server, error.message)
            elif error.mismatched:
                self.placement.record_mismatch(call, server)
            elif error.reachable:
                self.placement.record_refusal(server)
            else:
                self.placement.suspect(server, error.message)
            return
        if isinstance(error, exceptions.WeightsExpired):
            return
        if isinstance(error, exceptions.ReplyBroken) and not isinstance(
            error, (successors.TakenOver, exceptions.ForeignReply)
        ):
            self.crashes.record_loss(call, server, sent_at)
        self.placement.record_outcome(server, failed=True)

    async def _send_to_server(
        self,
        call: requests.Call,
        response: deliveries.CallerResponse,
        server: topology.Server,
        cold: bool,
        reservation: loads.Reservation,
        claim: t.Optional[successors.Claim] = None,
    ) -> None:
        """Make one attempt at a server and complete the response.

        A silent stream may be taken over by a successor of the attempt, whose
        errors are then raised. `claim` is that of the attempt if it is a
        successor itself. The reservation is released.
        """
        attempt_number = len(call.tried_servers)
        sent_at = clock.read_time()
        observation = self.placement.versions.observe(call, server)
        async with successors.Succession(
            functools.partial(self._choose_successor, call, response),
            _FAILURES,
        ) as succession:
            try:
                await self._relay_reply(
                    call,
                    response,
                    server,
                    cold,
                    reservation,
                    succession,
                    claim,
                    observation,
                )
                self.placement.record_outcome(server, failed=False)
                seconds = clock.read_time() - sent_at
                self.placement.record_run_seconds(call.service, seconds)
                if self.room_queue is not None:
                    self.room_queue.record_run(call.route.name, seconds)
                observation.finish(failed=False)
                return
            except _FAILURES as error:
                if isinstance(
                    error, (deliveries.RunFailed, exceptions.ReplyBroken)
                ) and not isinstance(error, successors.TakenOver):
                    observation.finish(failed=True)
                else:
                    observation.discard()
                self._record_failure(
                    call, server, attempt_number, error, sent_at
                )
                if not succession.is_under_way():
                    raise
                taken_over = isinstance(error, successors.TakenOver)
            finally:
                # Has no effect unless the attempt was cancelled.
                observation.finish(failed=False)
                reservation.release()
            try:
                await succession.finish()
            except _FAILURES as error:
                if taken_over:
                    # The server was only silent and may get the rest again.
                    call.record_cancelled(server.id)
                if isinstance(error, exceptions.NotExecuted):
                    # The first server may have executed the request.
                    raise exceptions.ReplyBroken(error.message) from error
                raise

    async def _relay_reply(
        self,
        call: requests.Call,
        response: deliveries.CallerResponse,
        server: topology.Server,
        cold: bool,
        reservation: loads.Reservation,
        succession: successors.Succession,
        claim: t.Optional[successors.Claim],
        observation: version_routing.Observation,
    ) -> None:
        """Send a call to a server and relay its reply.

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
            weights_left=deliveries.round_finite(expiry - clock.read_time()),
            version=self.catalog.require_configuration().version,
        )
        sent_at = clock.read_time()

        def record_first_event() -> None:
            if call.begun_at is None:
                call.begun_at = clock.read_time()
            observation.record_first_event()
            if self.room_queue is not None:
                self.room_queue.record_first_event(
                    call.route.name, clock.read_time() - sent_at
                )
            reservation.record_prefill()
            start_timeout.reschedule(None)
            if call.head.prompt is not None and context is not None:
                self.context_stores.record_first_token(
                    call.head.prompt, context, clock.read_time() - sent_at
                )

        attempt = deliveries.Attempt(
            server,
            self.placement,
            self.pauses,
            self.log,
            call.route.resumable,
            succession,
            record_first_event,
            claim,
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

    None if no rest ends.
    """
    if rest_end is None:
        return None
    return room_queues.compute_rest_return(rest_end, clock.read_time())


def _convert_error(
    error: exceptions.RoutingError, maybe_executed: bool
) -> exceptions.RoutingError:
    """Return the error that states the outcome of the request.

    After an attempt that may have executed the request, an error that says
    that it was not executed would be wrong.
    """
    return exceptions.ReplyBroken(error.message) if maybe_executed else error
