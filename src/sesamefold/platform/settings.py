"""The platform's settings file, decoded into the product's settings."""

import pathlib
import tomllib
import typing as t

from sesamefold.entry import settings as entry_settings
from sesamefold.entry import throttle
from sesamefold import exceptions

PATH_VARIABLE = "SESAMEFOLD_CONFIG"
# Port of the metrics, as deploy/system.toml names it to the platform.
METRICS_PORT = 9464
_MS = 1000.0


class SettingsFile:
    """The settings file; implements `host.SettingsFile`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._read_version: t.Optional[t.Tuple[int, int]] = None

    def has_changed(self) -> bool:
        """Tell whether the file changed since the last reading."""
        return self._get_version() != self._read_version

    def read(self) -> entry_settings.EntrySettings:
        """Return the settings; raises `exceptions.SettingsError`."""
        self._read_version = self._get_version()
        try:
            return decode_settings(tomllib.loads(self._path.read_text()))
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise exceptions.SettingsError(
                f"{self._path}: {type(error).__name__}: {error}"
            ) from error

    def _get_version(self) -> t.Optional[t.Tuple[int, int]]:
        """Return what changes with the file, None when there is none."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size


def decode_settings(
    body: t.Mapping[str, t.Any],
) -> entry_settings.EntrySettings:
    """Return the settings of a parsed file."""
    bounds = body["bounds"]
    listen = body["listen_addrs"]
    # The first and the last of the ports for the entry hosts' own use.
    peer_port, _ = body["inner_ports"]
    # Whether a host without the store must refuse keys, not whether it is
    # closed.
    keys_expire = bool(bounds.get("revoke_fail_closed"))
    return entry_settings.EntrySettings(
        host=body["node_name"],
        data_centre=body["zone"],
        region=body["region"],
        regions=dict(body["zones"]),
        listen_address=_split(listen["front"]),
        ready_address=_split(listen["ready"]),
        metrics_address=(body["ip"], METRICS_PORT),
        peer_address=(body["ip"], peer_port),
        store_address=body["platform"]["address"],
        retries=throttle.RetryLimits(
            retries_per_request=bounds["retry_budget_ratio"],
            extra_retries=bounds["retry_budget_extra"],
            window_seconds=bounds["budget_window_s"],
        ),
        key_withdrawal_seconds=(
            bounds["revoke_ms"] / _MS if keys_expire else None
        ),
        shutdown_seconds=bounds["grace_s"],
        order_pause_seconds=bounds["lease_ms"] / _MS,
        leaving_seconds=bounds["drain_ms"] / _MS,
        link_mbps=float(body.get("limits", {}).get("link_mbps", 0.0)),
    )


def _split(address: str) -> t.Tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
