"""Refusal of requests that are believed to crash backend servers."""

import functools
import hashlib
import typing as t

import attrs

from sesamefold import culprits as culprits_module
from sesamefold.entry import crash_detection
from sesamefold.entry import decisions
from sesamefold.entry import requests
from sesamefold.entry import server_status
from sesamefold.entry import suspicion_exchange
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold import suspicions

# Crashes at which a request and its repetitions were in flight, from which
# they are refused. Other requests run on the same servers.
REQUEST_CRASHES = 3
# Longest id of a part whose digest is kept. Callers choose the ids.
MAX_CACHED_ID_CHARACTERS = 64

_digest_short_id = functools.lru_cache(maxsize=20_000)(
    culprits_module.digest_part
)


def _digest_part(model: str, part_id: str) -> bytes:
    if len(model) + len(part_id) > MAX_CACHED_ID_CHARACTERS:
        return culprits_module.digest_part(model, part_id)
    return _digest_short_id(model, part_id)


def list_parts(call: requests.Call) -> t.Dict[bytes, str]:
    """Return the parts of a call's prompt that others may share.

    The keys are their digests, the values their ids.
    """
    prompt = call.head.prompt
    if prompt is None:
        return {}
    return {
        _digest_part(prompt.model, part.id): part.id
        for part in prompt.list_shared_parts()[: culprits_module.MAX_PARTS]
    }


def make_fingerprint(call: requests.Call) -> culprits_module.Fingerprint:
    """Return what identifies a call and its repetitions."""
    customer = call.customer.name if call.customer else ""
    prompt = call.head.prompt
    digest = hashlib.sha256()
    for text in (
        customer,
        call.method,
        call.target,
        *((part.id for part in prompt.parts) if prompt else ()),
    ):
        data = text.encode()
        digest.update(len(data).to_bytes(4, "big") + data)
    digest.update(call.body)
    return culprits_module.Fingerprint(
        digest.digest()[: culprits_module.REQUEST_DIGEST_BYTES],
        culprits_module.digest_customer(customer or None),
        tuple(list_parts(call)),
    )


@attrs.define(eq=False)
class Quarantine:
    """Decides which calls this host refuses because of crashes.

    A call must be checked right before it is sent to a server. Outcomes are
    recorded with `record_success`, and with those of `crash_detection`.
    """

    culprits: culprits_module.Culprits
    crashes: crash_detection.CrashDetector
    exchange: suspicion_exchange.SuspicionExchange
    statuses: server_status.ServerStatuses
    log: decisions.DecisionLog

    def __attrs_post_init__(self) -> None:
        self.crashes.on_crash.append(self._record_crash)

    def check(self, call: requests.Call) -> None:
        """Mark a call as a suspect or not.

        Raises `exceptions.CrashSuspected` if it is refused.
        """
        call.suspect = False
        if not self.culprits.has_suspects() or call.begun_at is not None:
            return
        judgement = self.culprits.judge(make_fingerprint(call))
        call.suspect = judgement.verdict is culprits_module.Verdict.SUSPECT
        if judgement.verdict is not culprits_module.Verdict.REFUSE:
            return
        self.exchange.announce(self.culprits.record_refusal(judgement))
        parts = list_parts(call)
        self.log.write(
            "suspect_refused",
            request=call.request_id,
            customer=call.customer and call.customer.name,
            parts=sorted(parts[s] for s in judgement.subjects & parts.keys())
            or None,
            subjects=sorted(s.hex() for s in judgement.subjects),
            crashes=judgement.crashes,
            customers=judgement.customers or None,
            retry=round(judgement.retry_seconds, 1),
        )
        raise exceptions.CrashSuspected(
            f"{judgement.crashes} servers crashed with "
            + ("a part of the prompt" if judgement.is_part else "the request"),
            judgement.retry_seconds,
        )

    def record_run(self, call: requests.Call, server: topology.Server) -> None:
        """Record that a call is sent to a server."""
        if not call.suspect:
            return
        self.culprits.record_run(make_fingerprint(call))
        self.log.write(
            "suspect_sent", request=call.request_id, server=server.id
        )

    def may_repeat(self, call: requests.Call) -> bool:
        """Return whether a call may be sent to another server.

        It may not if it is a suspect, unless its answer has begun.
        """
        if call.begun_at is not None or not self.culprits.has_suspects():
            return True
        judgement = self.culprits.judge(make_fingerprint(call))
        return judgement.verdict is culprits_module.Verdict.RUN

    def record_success(self, call: requests.Call) -> None:
        """Record that the answer to a call was complete."""
        if not self.culprits.has_suspects():
            self.culprits.record_sound_parts(list_parts(call))
            return
        changes = self.culprits.record_success(make_fingerprint(call))
        self.exchange.announce(changes)
        for change in changes:
            self.log.write(
                "suspicion_cleared",
                request=call.request_id,
                part=list_parts(call).get(change.request),
                crashes=len(change.crashes),
            )

    def _record_crash(
        self,
        crash: crash_detection.Crash,
        calls: t.Sequence[requests.Call],
    ) -> None:
        crash_id = suspicions.make_crash_id(
            crash.server_id, f"{crash.started_at}/{crash.number}", ()
        )
        self.exchange.announce(
            self.culprits.record_crash(crash_id, map(make_fingerprint, calls)),
            crash,
        )
        server = self.crashes.catalog.servers.get(crash.server_id)
        if server is not None and server.started_at == crash.started_at:
            self.statuses.record_crash(server)
