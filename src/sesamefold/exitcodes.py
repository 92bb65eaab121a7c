"""Exit codes of the command line; docs/errors.md lists them."""

import typing as t

from sesamefold import exceptions

EXIT_DIFFERENT = 1
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_PLATFORM = 5
EXIT_UNKNOWN = 6
EXIT_NOT_IN_FORCE = 7
EXIT_NOT_KEPT = 8
EXIT_OTHER = 10

# The exit code of an error is that of the first class it belongs to.
EXIT_CODES: t.Tuple[t.Tuple[t.Type[Exception], int], ...] = (
    (exceptions.InvalidText, EXIT_INVALID),
    (exceptions.SettingsError, EXIT_INVALID),
    (exceptions.EditConflict, EXIT_CONFLICT),
    (exceptions.RevisionUnknown, EXIT_NOT_KEPT),
    (exceptions.OutcomeUnknown, EXIT_UNKNOWN),
    (exceptions.PlatformError, EXIT_PLATFORM),
    (exceptions.ConfigurationError, EXIT_INVALID),
    (exceptions.SesamefoldError, EXIT_OTHER),
)


def find_exit_code(error: exceptions.SesamefoldError) -> int:
    """Return the exit code of an error."""
    return next(code for cls, code in EXIT_CODES if isinstance(error, cls))
