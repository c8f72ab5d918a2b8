"""Rules that the values of settings must keep, one by one and together."""

import dataclasses
import ipaddress
import logging
import os
import pathlib
import re
import tempfile
from collections.abc import Iterator
from collections.abc import Mapping

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import rights as rights_lib
from bilberryroute import settings

OUT_BOUND_MS = 3_000
MAX_DRIFT_MS = 100
MAX_PORT = 65_535
MAX_BODY_BYTES = 64 * 1_024 * 1_024
MIN_HEADER_BYTES = 1_024
MIN_SEGMENT_BYTES = 4_096
MIN_SNAPSHOT_ENTRIES = 10
# A process that serves nobody takes about 80 MB and 30 descriptors.
MIN_MEMORY_MB = 128
MIN_DESCRIPTORS = 128
# One body of the largest size must fit beside others.
MIN_CLIENT_BYTES = 4 * 1_024 * 1_024
MIN_CLIENT_CONNECTIONS = 16
# The HTTP parser pauses at 32.
MAX_REQUESTS_AHEAD = 31

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_MAY_BE_ZERO = frozenset({"balancer_lag_ms"})

Role = settings.ProcessRole


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One rule broken; see `settings_check.SettingsProblem`."""

    key: str
    message: str
    seen: str = ""
    remedy: str


def check(cfg: settings.Settings) -> Iterator[Finding]:
    """Yields all rules that the settings of one process break."""
    yield from _check_names(cfg)
    yield from _check_roles(cfg)
    yield from _check_addresses(cfg)
    yield from _check_own_replica(cfg)
    yield from _check_intervals("timing", cfg.timing)
    yield from _check_intervals("limits", cfg.limits)
    yield from _check_timing(cfg.timing)
    yield from _check_bounds(cfg)
    yield from _check_tokens(cfg)
    yield from _check_data_folder(cfg)


def check_together(
    loaded: Mapping[str, settings.Settings],
) -> Iterator[tuple[str, Finding]]:
    """Yields the rules that files break together, each with its file."""
    hosts: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for path, cfg in loaded.items():
        if cfg.host in hosts:
            yield path, Finding(
                key="host",
                message=f"also the host of {hosts[cfg.host]}",
                seen=repr(cfg.host),
                remedy="give each process its own name",
            )
        hosts.setdefault(cfg.host, path)
        for key, address in _listen_addresses(cfg):
            owner = addresses.setdefault(address, path)
            if owner != path:
                yield path, _duplicate(key, address, f"of {owner}")


def _check_names(cfg: settings.Settings) -> Iterator[Finding]:
    for key in ("host", "failure_domain"):
        value = getattr(cfg, key)
        if not _NAME.fullmatch(value):
            yield Finding(
                key=key,
                message="not a name",
                seen=repr(value),
                remedy="use 1 to 64 letters, digits, dots and dashes",
            )
    if cfg.log_level not in logging.getLevelNamesMapping():
        yield Finding(
            key="log_level",
            message="no log level",
            seen=repr(cfg.log_level),
            remedy="use DEBUG, INFO, WARNING or ERROR",
        )


def _check_roles(cfg: settings.Settings) -> Iterator[Finding]:
    if not cfg.roles:
        yield Finding(
            key="roles",
            message="a process needs a role",
            seen="[]",
            remedy="name at least one of " + ", ".join(Role),
        )
    if len(set(cfg.roles)) < len(cfg.roles):
        yield Finding(
            key="roles",
            message="a role is named twice",
            seen=repr([str(role) for role in cfg.roles]),
            remedy="name each role once",
        )
    if not cfg.replicas:
        yield Finding(
            key="replicas",
            message="no replica is named",
            seen="[]",
            remedy="list all replicas with id, grpc and datagram",
        )


def _check_addresses(cfg: settings.Settings) -> Iterator[Finding]:
    for key, address in _listen_addresses(cfg, with_port_zero=True):
        yield from _check_address(key, address, min_port=0)
    seen: dict[str, str] = {}
    ids: dict[str, str] = {}
    for index, replica in enumerate(cfg.replicas):
        prefix = f"replicas[{index}]"
        if ids.setdefault(replica.id, prefix) != prefix:
            yield Finding(
                key=f"{prefix}.id",
                message=f"also the id of {ids[replica.id]}",
                seen=repr(replica.id),
                remedy="give each replica its own id",
            )
        # TCP and UDP ports are apart, so each kind is compared by itself.
        for kind in ("grpc", "datagram"):
            key, address = f"{prefix}.{kind}", getattr(replica, kind)
            yield from _check_address(key, address, min_port=1)
            owner = seen.setdefault(f"{kind} {address}", key)
            if owner != key:
                yield _duplicate(key, address, owner)
    if cfg.listen.grpc and cfg.listen.grpc == cfg.listen.http:
        yield _duplicate("listen.grpc", cfg.listen.grpc, "listen.http")


def _check_address(key: str, address: str, min_port: int) -> Iterator[Finding]:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        usable = min_port <= int(port) <= MAX_PORT
    except ValueError:
        usable = False
    if not usable:
        yield Finding(
            key=key,
            message="no address",
            seen=repr(address),
            remedy="give an IP number and a port, such as 10.0.0.1:7070",
        )


def _check_own_replica(cfg: settings.Settings) -> Iterator[Finding]:
    if Role.REPLICA not in cfg.roles:
        return
    if not cfg.replica_id:
        yield Finding(
            key="replica_id",
            message="a replica needs its id",
            seen="''",
            remedy="name the entry of [[replicas]] that this process is",
        )
    elif cfg.replica_id not in {replica.id for replica in cfg.replicas}:
        yield Finding(
            key="replica_id",
            message="not among [[replicas]]",
            seen=repr(cfg.replica_id),
            remedy="list this replica too, with its addresses",
        )
    for kind in ("grpc", "datagram"):
        own = getattr(cfg.listen, kind)
        if not own:
            yield Finding(
                key=f"listen.{kind}",
                message="a replica needs this address",
                seen="''",
                remedy="give it as ip:port",
            )
        for replica in cfg.replicas:
            listed = getattr(replica, kind)
            if replica.id == cfg.replica_id and own and own != listed:
                yield Finding(
                    key=f"listen.{kind}",
                    message=f"replica {replica.id} is listed at {listed}",
                    seen=repr(own),
                    remedy="give both the same address",
                )


def _check_intervals(
    table: str, values: settings.Timing | settings.Limits
) -> Iterator[Finding]:
    for key in values.__struct_fields__:
        if not key.endswith("_ms"):
            continue
        value = getattr(values, key)
        lowest = 0 if key in _MAY_BE_ZERO else 1
        if not lowest <= value <= clock_lib.HOUR:
            yield Finding(
                key=f"{table}.{key}",
                message="absurd interval",
                seen=repr(value),
                remedy=f"give {lowest} to {clock_lib.HOUR} milliseconds",
            )


def _check_timing(timing: settings.Timing) -> Iterator[Finding]:
    for lease in ("agent_lease_ms", "worker_lease_ms"):
        value = getattr(timing, lease)
        if value + MAX_DRIFT_MS >= OUT_BOUND_MS:
            yield Finding(
                key=f"timing.{lease}",
                message="work could start after its failure domain is out",
                seen=repr(value),
                remedy=f"stay below {OUT_BOUND_MS - MAX_DRIFT_MS}",
            )
    yield from _check_below(timing, "leader_lease_ms", "election_ms")
    yield from _check_below(timing, "raft_heartbeat_ms", "leader_lease_ms")
    yield from _check_below(timing, "renewal_ms", "agent_lease_ms", times=2)
    yield from _check_below(timing, "probe_ms", "probe_timeout_ms")
    yield from _check_below(timing, "decide_ms", "agent_lease_ms")


def _check_below(
    timing: settings.Timing, low: str, high: str, times: int = 1
) -> Iterator[Finding]:
    low_ms, high_ms = getattr(timing, low), getattr(timing, high)
    if low_ms * times >= high_ms:
        factor = f"{times} times " if times > 1 else ""
        yield Finding(
            key=f"timing.{low}",
            message=f"{factor}{low} must be less than {high} ({high_ms})",
            seen=repr(low_ms),
            remedy=f"lower {low} or raise {high}",
        )


def _check_bounds(cfg: settings.Settings) -> Iterator[Finding]:
    bounds = (
        ("limits.body_bytes", cfg.limits.body_bytes, 1, MAX_BODY_BYTES),
        ("limits.ticket_bytes", cfg.limits.ticket_bytes, 1, MAX_BODY_BYTES),
        (
            "limits.header_bytes",
            cfg.limits.header_bytes,
            MIN_HEADER_BYTES,
            MAX_BODY_BYTES,
        ),
        (
            "limits.requests_ahead",
            cfg.limits.requests_ahead,
            1,
            MAX_REQUESTS_AHEAD,
        ),
        (
            "log.segment_bytes",
            cfg.log.segment_bytes,
            MIN_SEGMENT_BYTES,
            1_024 * MAX_BODY_BYTES,
        ),
        (
            "log.snapshot_entries",
            cfg.log.snapshot_entries,
            MIN_SNAPSHOT_ENTRIES,
            10_000_000,
        ),
    )
    for key, value, lowest, highest in bounds:
        if not lowest <= value <= highest:
            yield Finding(
                key=key,
                message="out of bounds",
                seen=repr(value),
                remedy=f"give {lowest} to {highest}",
            )
    for key, lowest in (
        ("memory_mb", MIN_MEMORY_MB),
        ("descriptors", MIN_DESCRIPTORS),
        ("client_bytes", MIN_CLIENT_BYTES),
        ("client_connections", MIN_CLIENT_CONNECTIONS),
    ):
        value = getattr(cfg.limits, key)
        if value != 0 and value < lowest:
            yield Finding(
                key=f"limits.{key}",
                message="too little",
                seen=repr(value),
                remedy=f"give {lowest} or more, or 0 to derive it",
            )


def _check_tokens(cfg: settings.Settings) -> Iterator[Finding]:
    try:
        rights = rights_lib.load(cfg.tokens)
    except errors.SettingsError as exc:
        yield Finding(key="tokens", message=exc.message, remedy=exc.remedy)
        return
    if Role.ENTRY not in cfg.roles or rights.restricted:
        return
    if not _is_loopback(cfg.listen.http):
        yield Finding(
            key="listen.http",
            message="without tokens an entry serves loopback only",
            seen=repr(cfg.listen.http),
            remedy="set tokens.operators and tokens.callers",
        )


def _is_loopback(address: str) -> bool:
    host = address.rpartition(":")[0].strip("[]")
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return True  # Reported as no address already.


def _check_data_folder(cfg: settings.Settings) -> Iterator[Finding]:
    if Role.REPLICA not in cfg.roles:
        return
    if not cfg.data_folder:
        yield Finding(
            key="data_folder",
            message="a replica needs a data folder",
            seen="''",
            remedy="name a folder on a local disk",
        )
        return
    reason = _why_unwritable(pathlib.Path(cfg.data_folder))
    if reason:
        yield Finding(
            key="data_folder",
            message=f"cannot be written: {reason}",
            seen=repr(cfg.data_folder),
            remedy="name a writable folder on a local disk",
        )


def _why_unwritable(folder: pathlib.Path) -> str:
    existing = folder
    while not existing.exists() and existing != existing.parent:
        existing = existing.parent
    if not existing.is_dir():
        return f"{existing} is no folder"
    if not os.access(existing, os.W_OK | os.X_OK):
        return f"no permission in {existing}"
    try:
        # Permission bits do not tell of file systems mounted read-only.
        with tempfile.TemporaryFile(dir=existing):
            return ""
    except OSError as exc:
        return f"{exc.strerror} in {existing}"


def _listen_addresses(
    cfg: settings.Settings, *, with_port_zero: bool = False
) -> Iterator[tuple[str, str]]:
    for kind in ("http", "grpc", "datagram"):
        address = getattr(cfg.listen, kind)
        if address and (with_port_zero or not address.endswith(":0")):
            yield f"listen.{kind}", address


def _duplicate(key: str, address: str, owner: str) -> Finding:
    return Finding(
        key=key,
        message=f"duplicate address, also {owner}",
        seen=repr(address),
        remedy="give each its own ip:port",
    )
