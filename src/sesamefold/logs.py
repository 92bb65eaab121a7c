"""Log records as JSON lines."""

import datetime
import json
import logging
import re
import traceback
import typing as t

import logbook
import logbook.compat

from sesamefold import exceptions

# Extra fields with these names are never written, whoever sets them.
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

_LEVELS = {
    logbook.INFO: logging.INFO,
    logbook.NOTICE: logging.INFO,
    logbook.WARNING: logging.WARNING,
    logbook.ERROR: logging.ERROR,
    logbook.CRITICAL: logging.CRITICAL,
}

_BEARER = re.compile(r"(?i)\b(bearer)\s+\S+")
_RESERVED = frozenset({"time", "level", "logger", "message", "exception"})


def _redact(text: str) -> str:
    return _BEARER.sub(r"\1 [removed]", text)[:MAX_MESSAGE_CHARACTERS]


def _describe_exception(error: BaseException) -> t.Dict[str, t.Any]:
    """Return type and frames of an error.

    The message is written only for errors whose messages hold no content of
    requests; a KeyError, for one, may contain any text.
    """
    described: t.Dict[str, t.Any] = {
        "type": type(error).__name__,
        "frames": [
            f"{frame.filename}:{frame.lineno} {frame.name}"
            for frame in traceback.extract_tb(error.__traceback__)
        ],
    }
    if isinstance(error, (exceptions.SesamefoldError, OSError)):
        described["message"] = _redact(str(error))
    if isinstance(error, exceptions.SesamefoldError):
        described["code"] = error.code
    return described


def format_record(record: logbook.LogRecord, handler: t.Any = None) -> str:
    """Return a record as one line of JSON."""
    message = str(record.message or "")
    if record.channel == "asyncio":
        # The lines after the first show the exception of a task, whose
        # message may be any text.
        message = message.partition("\n")[0]
    time = record.time
    if time.tzinfo is None:  # logbook's "utc" format has no zone
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
        and key not in _RESERVED
    )
    if record.exc_info and isinstance(record.exc_info, tuple):
        error = record.exc_info[1]
        if error is not None:
            fields["exception"] = _describe_exception(error)
    return json.dumps(fields, default=str, separators=(",", ":"))


def set_up(
    stream: t.TextIO, level: int = logbook.INFO
) -> logbook.StreamHandler:
    """Write the records of logbook and of `logging` to `stream`.

    Callers pass fields by `extra={"request": ...}`. Returns the handler; its
    `pop_application` undoes the set-up of logbook.
    """
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(stream, level=level, bubble=False)
    handler.formatter = format_record
    handler.push_application()
    logbook.compat.redirect_logging(set_root_logger_level=False)
    logging.root.setLevel(_LEVELS.get(level, logging.DEBUG))
    return handler
