"""Errors with numbered result codes; docs/errors.md lists them."""

import typing as t

NO = "no"
UNKNOWN = "unknown"
YES = "yes"


class SesamefoldError(Exception):
    """Base of all errors.

    `code` is the numbered result code, `status` the HTTP status that a caller
    gets, `retryable` tells whether the same request may succeed later, and
    `executed` whether a backend server ran the request: "no", "unknown" or
    "yes". `retry_after` is the number of seconds after which a caller should
    come back, None if the error does not say.
    """

    code: t.ClassVar[int] = 1000
    status: t.ClassVar[int] = 500
    retryable: t.ClassVar[bool] = False
    executed: str = UNKNOWN
    retry_after: t.Optional[float] = None

    def __init__(
        self, message: str, *, executed: t.Optional[str] = None
    ) -> None:
        super().__init__(message)
        self.message = message
        if executed is not None:
            self.executed = executed


class InternalError(SesamefoldError):
    """A fault of the system itself."""


class RequestError(SesamefoldError):
    """The caller's request cannot be served as it is."""

    code = 1100
    status = 400
    executed = NO


class MalformedRequest(RequestError):
    """The body is not the JSON that the path expects."""

    code = 1101


class RequestTooLarge(RequestError):
    """Body, headers or prompt exceed their bound."""

    code = 1102
    status = 413


class Unauthenticated(RequestError):
    """The bearer token is missing or belongs to no customer."""

    code = 1103
    status = 401


class UnknownService(RequestError):
    """The service or model does not exist."""

    code = 1104
    status = 404


class UnknownPath(RequestError):
    """No resource has this path and method."""

    code = 1105
    status = 404


class DeadlinePassed(RequestError):
    """The caller's deadline had passed before the request was sent on."""

    code = 1106
    status = 408


class ResumeMismatch(RequestError):
    """The body or offset of a resume differs from the original request."""

    code = 1107
    status = 409


class UnknownHandle(RequestError):
    """The resume handle is invalid, expired or of another customer."""

    code = 1108
    status = 404


class CallerLeft(RequestError):
    """The caller closed its connection before the answer was complete."""

    code = 1109
    status = 499
    executed = UNKNOWN


class RoutingError(SesamefoldError):
    """No backend server could answer the request."""

    code = 1200
    status = 503
    retryable = True


class NoBackend(RoutingError):
    """No usable backend server offers the model or service."""

    code = 1201
    executed = NO


class Overloaded(RoutingError):
    """The request was refused early because the queue is full."""

    code = 1202
    status = 429
    executed = NO


class DataCentreOut(RoutingError):
    """The data centre is out and no other data centre could be reached."""

    code = 1203
    executed = NO


class DeadlineUnreachable(RoutingError):
    """The queue is too long for the caller's deadline."""

    code = 1204
    executed = NO


class StreamLost(RoutingError):
    """A run broke off and cannot be continued elsewhere."""

    code = 1205


class ShuttingDown(RoutingError):
    """The entry host is leaving."""

    code = 1206
    executed = NO

    def __init__(
        self, message: str, retry_after: t.Optional[float] = None
    ) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class DependencyDown(RoutingError):
    """A dependency of the service is out or down."""

    code = 1207
    executed = NO


class RunTimeout(RoutingError):
    """The deadline passed while a backend server ran the request."""

    code = 1208
    status = 504


class RequestQuarantined(RoutingError):
    """The request was running at two crashes of backend servers."""

    code = 1209
    status = 422
    retryable = False


class BackendRefused(RoutingError):
    """A backend server refused before execution."""

    code = 1210
    executed = NO


class BackendRestarted(BackendRefused):
    """A backend server is not the incarnation that the run is meant for."""

    code = 1222


class BackendUnreachable(RoutingError):
    """The connection failed before any byte was sent."""

    code = 1211
    executed = NO


class BackendFailed(RoutingError):
    """A backend server failed after the request was sent."""

    code = 1212
    status = 502


class BackendSilent(BackendFailed):
    """A backend server sent nothing for some time; it may go on later."""


class StoreUnavailable(RoutingError):
    """A store host is down or full."""

    code = 1213
    executed = NO


class BlockInvalid(RoutingError):
    """A block differs from its entry in generation, length or SHA-256."""

    code = 1214
    executed = NO


class NotExecuted(RoutingError):
    """The backend server certainly did not run the request.

    `reachable` tells that the server itself refused it, `mismatched` that it
    did so because it is another server or has other weights. `ended` tells
    that the server is no longer at its address, `replaced` that another
    server has taken its address.
    """

    code = 1215
    executed = NO

    def __init__(
        self,
        message: str,
        reachable: bool,
        mismatched: bool = False,
        ended: bool = False,
        replaced: bool = False,
    ) -> None:
        super().__init__(message)
        self.reachable = reachable
        self.mismatched = mismatched
        self.ended = ended
        self.replaced = replaced


class ReplyBroken(RoutingError):
    """The reply is missing, broken off or not genuine; it may have run."""

    code = 1216
    status = 502


class NoRoom(RoutingError):
    """No backend server took the request; the caller may come back."""

    code = 1217
    executed = NO

    def __init__(
        self, message: str, retry_after: t.Optional[float] = None
    ) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class CrashSuspected(RoutingError):
    """The request, or a part of its prompt, is believed to crash servers."""

    code = 1223
    status = 503
    executed = NO

    def __init__(self, message: str, retry_after: float) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class ForeignReply(ReplyBroken):
    """A reply is not shown to be that to the request; it may have run."""

    code = 1220


class WeightsExpired(ReplyBroken):
    """A stream was cancelled that had not begun before its weights expired."""

    code = 1221


class AnswerCut(RoutingError):
    """The answer had begun and cannot be completed."""

    code = 1218


class OrderRefused(RoutingError):
    """An engine did not accept an order."""

    code = 1219


class CallError(SesamefoldError):
    """A non-idempotent call cannot be run."""

    code = 1300
    status = 409
    executed = NO


class KeyMissing(CallError):
    """The call needs an Idempotency-Key header."""

    code = 1301
    status = 400


class KeyMalformed(CallError):
    """The Idempotency-Key is not a UUIDv7."""

    code = 1302
    status = 400


class JournalUnavailable(CallError):
    """The intent could not be recorded, so the call was not sent."""

    code = 1303
    status = 503
    retryable = True


class KeyMismatch(CallError):
    """The Idempotency-Key was used for another request."""

    code = 1304
    status = 422


class KeyExpired(CallError):
    """The Idempotency-Key is too old or from the future."""

    code = 1305


class OutcomePending(CallError):
    """The call was started before and its outcome is not known."""

    code = 1306
    executed = UNKNOWN


class OutcomeNotKept(CallError):
    """The call was finished before; its body was too large to keep."""

    code = 1307
    executed = YES


class JournalFull(CallError):
    """The journal has no room for another call of this period."""

    code = 1308
    status = 503
    retryable = True


class ConfigurationError(SesamefoldError):
    """An operator's edit cannot be accepted."""

    code = 1400
    status = 400
    executed = NO


class InvalidText(ConfigurationError):
    """The text has one or more errors; `problems` lists them."""

    code = 1401

    def __init__(self, problems: t.Sequence[t.Any]) -> None:
        super().__init__(f"the text has {len(problems)} problem(s)")
        self.problems = tuple(problems)


class EditConflict(ConfigurationError):
    """Another edit won; the message names its revision and author."""

    code = 1402
    status = 409
    retryable = True


class RevisionDowngrade(ConfigurationError):
    """The key-value service answered with an older revision."""

    code = 1403


class RevisionUnknown(ConfigurationError):
    """The revision does not exist or is no longer kept."""

    code = 1404
    status = 404


class PlatformError(SesamefoldError):
    """A call to the platform did not succeed."""

    code = 1500
    status = 503
    retryable = True
    executed = NO


class PlatformUnavailable(PlatformError):
    """The platform did not answer; the call did not take effect."""

    code = 1501


class OutcomeUnknown(PlatformError):
    """The platform's answer was lost; the call may have taken effect."""

    code = 1502


class VersionConflict(PlatformError):
    """The key has another version than expected."""

    code = 1503

    def __init__(self, key: str, expected: int, actual: int) -> None:
        super().__init__(
            f"key {key!r} has version {actual}, expected {expected}"
        )
        self.key = key
        self.expected = expected
        self.actual = actual


class LeaseExpired(PlatformError):
    """The lease does not exist any more."""

    code = 1504


class FencingRefused(PlatformError):
    """A backend server refused an order with an old fencing number."""

    code = 1505


class ControlUnavailable(PlatformError):
    """The control daemon could not be reached."""

    code = 1506


class HistoryLost(PlatformError):
    """The platform's store no longer has the changes after a revision."""

    code = 1507


class EntryHostUnavailable(PlatformError):
    """The entry host could not be reached or gave no readable answer."""

    code = 1508


class SettingsError(SesamefoldError):
    """The process settings are invalid."""

    code = 1600
    executed = NO

    def __init__(self, problems: t.Sequence[t.Any]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)
