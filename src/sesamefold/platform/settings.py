"""Reader of the settings file that the platform provides."""

import pathlib
import tomllib
import typing as t

from sesamefold.entry import catalog
from sesamefold.entry import exposure
from sesamefold.entry import settings as entry_settings
from sesamefold.entry import throttle
from sesamefold import exceptions

# Environment variable that holds the path of the settings file.
PATH_VARIABLE = "SESAMEFOLD_CONFIG"
# Must equal the port that deploy/system.toml declares to the platform.
METRICS_PORT = 9464
# Part of the rules for deployments whose callers compete for room.
_PRESSURE_CONTRACT = "pressure"
_BYTES_PER_MB = 1e6
_MS_PER_SECOND = 1000.0


class SettingsFile:
    """Settings file at a path; implements `host.SettingsFile`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._last_fingerprint: t.Optional[t.Tuple[int, int]] = None

    def has_changed(self) -> bool:
        """Return whether the file changed since it was last read."""
        return self._get_fingerprint() != self._last_fingerprint

    def read(self) -> entry_settings.EntrySettings:
        """Return the settings; raises `exceptions.SettingsError`."""
        self._last_fingerprint = self._get_fingerprint()
        try:
            return decode_settings(tomllib.loads(self._path.read_text()))
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise exceptions.SettingsError(
                f"{self._path}: {type(error).__name__}: {error}"
            ) from error

    def _get_fingerprint(self) -> t.Optional[t.Tuple[int, int]]:
        """Return the modification time and size, None if there is no file."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size


def decode_settings(
    body: t.Mapping[str, t.Any],
) -> entry_settings.EntrySettings:
    """Return the settings that a parsed file holds.

    Raises `ValueError`, `KeyError` or `TypeError` if a value is missing or
    malformed.
    """
    bounds = body["bounds"]
    listen = body["listen_addrs"]
    limits = body.get("limits", {})
    # The first and the last port of the range for traffic between entry hosts.
    peer_port, _ = body["inner_ports"]
    # Despite its name, not a state but a rule: whether a host that cannot
    # reach the store must reject API keys.
    rejects_keys_offline = bool(bounds.get("revoke_fail_closed"))
    return entry_settings.EntrySettings(
        host=body["node_name"],
        data_centre=body["zone"],
        region=body["region"],
        regions=dict(body["zones"]),
        listen_address=_parse_address(listen["front"]),
        ready_address=_parse_address(listen["ready"]),
        metrics_address=(body["ip"], METRICS_PORT),
        peer_address=(body["ip"], peer_port),
        store_address=body["platform"]["address"],
        retries=throttle.RetryLimits(
            retries_per_request=bounds["retry_budget_ratio"],
            extra_retries=bounds["retry_budget_extra"],
            window_seconds=bounds["budget_window_s"],
        ),
        key_withdrawal_seconds=(
            bounds["revoke_ms"] / _MS_PER_SECOND
            if rejects_keys_offline
            else None
        ),
        weights_limits=(
            catalog.WeightsLimits(
                lifetime_seconds=bounds["version_ms"] / _MS_PER_SECOND,
                contact_grace_seconds=bounds["contact_ms"] / _MS_PER_SECOND,
            )
            if "version_ms" in bounds
            else None
        ),
        rollout_limits=(
            exposure.RolloutLimits(
                exposure_share=bounds["exposure_share"],
                extra_requests=bounds["exposure_slack"],
            )
            if "exposure_share" in bounds
            else None
        ),
        # Despite the field's name, the parts of the rules that are in force.
        queues_requests=_PRESSURE_CONTRACT in body.get("contracts", ()),
        shutdown_seconds=bounds["grace_s"],
        order_pause_seconds=bounds["lease_ms"] / _MS_PER_SECOND,
        leaving_seconds=bounds["drain_ms"] / _MS_PER_SECOND,
        link_mbps=float(limits.get("link_mbps", 0.0)),
        memory_bytes=float(limits.get("memory_mb", 0.0)) * _BYTES_PER_MB,
    )


def _parse_address(address: str) -> t.Tuple[str, int]:
    """Return the host and the port of "HOST:PORT"."""
    host, _, port = address.rpartition(":")
    return host, int(port)
