"""Log records as JSON lines, without secrets or content of requests."""

import datetime
import json
import logging
import re
import traceback
import typing as t

import attrs
import logbook
import logbook.compat

from sesamefold import exceptions
from sesamefold import exchanges

# Extra fields with these names are dropped from every log record.
SECRET_FIELDS = frozenset(
    {
        "answer",
        "authorization",
        "body",
        "completion",
        "headers",
        "messages",
        "output",
        "prompt",
        "secret",
        "token",
        "tokens",
    }
)
MAX_MESSAGE_CHARACTERS = 2000

_log = logbook.Logger("http")

_LEVELS = {
    logbook.INFO: logging.INFO,
    logbook.NOTICE: logging.INFO,
    logbook.WARNING: logging.WARNING,
    logbook.ERROR: logging.ERROR,
    logbook.CRITICAL: logging.CRITICAL,
}

_BEARER = re.compile(r"(?i)\b(bearer)\s+\S+")
_RESERVED_FIELDS = frozenset(
    {"time", "level", "logger", "message", "exception"}
)


def _redact(text: str) -> str:
    """Return the text without bearer tokens, cut to the maximum length."""
    return _BEARER.sub(r"\1 [removed]", text)[:MAX_MESSAGE_CHARACTERS]


def _describe_exception(error: BaseException) -> t.Dict[str, t.Any]:
    """Return the type and stack frames of an error, and its message if safe.

    Only errors whose messages hold no content of requests keep the message.
    The message of a KeyError, for example, may be any text.
    """
    fields: t.Dict[str, t.Any] = {
        "type": type(error).__name__,
        "frames": [
            f"{frame.filename}:{frame.lineno} {frame.name}"
            for frame in traceback.extract_tb(error.__traceback__)
        ],
    }
    if isinstance(error, (exceptions.SesamefoldError, OSError)):
        fields["message"] = _redact(str(error))
    if isinstance(error, exceptions.SesamefoldError):
        fields["code"] = error.code
    return fields


def format_record(record: logbook.LogRecord, handler: t.Any = None) -> str:
    """Return a log record as one line of JSON."""
    message = str(record.message or "")
    if record.channel == "asyncio":
        # The lines after the first contain the exception of a task, whose
        # message may be any text.
        message = message.partition("\n")[0]
    time = record.time
    if time.tzinfo is None:  # logbook's "utc" format has no time zone
        time = time.replace(tzinfo=datetime.timezone.utc)
    fields: t.Dict[str, t.Any] = {
        "time": time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": _redact(message),
    }
    fields.update(
        (key, _redact(value) if isinstance(value, str) else value)
        for key, value in record.extra.items()
        if value is not None
        and key.lower() not in SECRET_FIELDS
        and key not in _RESERVED_FIELDS
    )
    if record.exc_info and isinstance(record.exc_info, tuple):
        error = record.exc_info[1]
        if error is not None:
            fields["exception"] = _describe_exception(error)
    return json.dumps(fields, default=str, separators=(",", ":"))


def set_up(
    stream: t.TextIO, level: int = logbook.INFO
) -> logbook.StreamHandler:
    """Write the log records of logbook and `logging` to a stream as JSON.

    Code that logs passes additional fields as `extra={"request": ...}`.
    Returns the handler, whose `pop_application` removes it from logbook.
    """
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(stream, level=level, bubble=False)
    handler.formatter = format_record
    handler.push_application()
    logbook.compat.redirect_logging(set_root_logger_level=False)
    logging.root.setLevel(_LEVELS.get(level, logging.DEBUG))
    return handler


def log_stray_answer(stray: exchanges.StrayAnswer) -> None:
    """Log an answer that belongs to no request of its connection."""
    _log.warning("stray answer: {}", stray.reason, extra=attrs.asdict(stray))
