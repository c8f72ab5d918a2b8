"""Translates the platform's settings file into the project's settings."""

import dataclasses
import pathlib
import tomllib

import msgspec

from bilberryroute import errors
from bilberryroute import settings

# Environment variable with the path of the settings file.
VARIABLE = "BILBERRYROUTE_SETTINGS"

# Offsets of internal ports from the first free one. The roles on one host use
# different ones.
_GRPC_PORT = 1
_REPLICA_DATAGRAM_PORT = 2
_AGENT_DATAGRAM_PORT = 7

# Ports of the metrics endpoints; must match `deploy/system.toml`.
METRICS_PORTS = {
    settings.ProcessRole.REPLICA: 9464,
    settings.ProcessRole.ENTRY: 9465,
    settings.ProcessRole.AGENT: 9466,
}

# The load balancer removes a process after two failed probes, 1 s apart.
BALANCER_LAG_MS = 2_300

# How far a clock may be off, in milliseconds. One leader stamps the end of a
# job, and another one decides when it is no longer stored.
CLOCK_ERROR_MS = 5_000

# Optional decisions on batch jobs: the platform's file has no field for them.
_BATCH = settings.Batch(learn_speeds=True)

# Descriptors of a process that the platform keeps for files.
_KEPT_FDS = 200


class _Listen(msgspec.Struct, frozen=True, rename="camel"):
    """Addresses `ip:port` that a role serves; empty if not served.

    Attributes:
      control_plane: For operators; on a worker's host, for that worker.
    """

    frontend_addr: str = ""
    readiness_addr: str = ""
    control_plane: str = ""


class _Bounds(msgspec.Struct, frozen=True):
    """Time bounds of the platform.

    Attributes:
      contactMs: How long a worker that shrinks is still judged by the
        capacity that it announced before, in milliseconds.
      holdMaxMs: Maximum lease of runs on a worker, in milliseconds.
      status_s: How long an ended job can be looked up, in seconds.
    """

    contactMs: int = 3_000  # noqa: N815 (mixed case on the platform's side)
    holdMaxMs: int = 6_000  # noqa: N815
    status_s: float = 120


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    """What the process may use; 0 if the file does not say.

    Attributes:
      memory_mb: Memory in MB; a process that uses more is killed.
      max_fds: Descriptors, also those that the platform keeps for itself.
    """

    memory_mb: float = 0
    max_fds: int = 0


class _FaultTolerance(msgspec.Struct, frozen=True):
    """Losses that the system must survive.

    Attributes:
      machines: Hosts with a replica that may be lost at the same time.
    """

    machines: int = 1


class _File(msgspec.Struct, frozen=True, rename="camel"):
    """Fields of the file that are used; others are ignored.

    Attributes:
      zone: Failure domain.
      internal_ports: First and last port that is free for this project.
      seed_nodes: Operators' addresses of up to three hosts with replicas; may
        be out of date.
      bootstrap: Whether the whole system starts for the first time.
      app: On a worker's host, the address of the worker's API.
      recommendation: Address of the advisory service.
    """

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    region: str = ""
    seed_nodes: tuple[str, ...] = ()
    bootstrap: bool = False
    data_dir: str = ""
    app: str = ""
    recommendation: str = ""
    listen_addrs: _Listen = _Listen()
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    fault_tolerance: _FaultTolerance = _FaultTolerance()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApiAddresses:
    """Addresses of the HTTP APIs for the platform; empty if not served.

    Attributes:
      callers: API for callers' jobs.
      readiness: Probe of the load balancer.
      control: API for operators, or at an agent for its worker.
    """

    callers: str
    readiness: str
    control: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Settings that the platform gives to one process.

    Attributes:
      settings: The project's settings.
      addresses: Addresses of the APIs for the platform.
      path: Path of the settings file.
      advisor: Address of the advisory service, or empty.
    """

    settings: settings.Settings
    addresses: ApiAddresses
    path: str = ""
    advisor: str = ""

    def awaited_addresses(self) -> list[str]:
        """Returns the addresses whose clients gain by waiting for this process.

        A worker has no other agent, and a caller may not try again. An operator
        is better off at another host.
        """
        match self.settings.roles[0]:
            case settings.ProcessRole.ENTRY:
                return [self.addresses.callers]
            case settings.ProcessRole.AGENT:
                return [self.addresses.control]
        return []


def load(path: str, role: settings.ProcessRole) -> PlatformSettings:
    """Loads the platform's settings file for a process of one role.

    Raises:
      errors.SettingsError: If the file cannot be read or a field is missing.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        node = msgspec.convert(tomllib.loads(text), _File, strict=False)
    except (OSError, ValueError) as exc:
        raise errors.SettingsError(
            f"the platform's settings {path} cannot be used: {exc}",
            remedy=f"Check the file that {VARIABLE} names.",
        ) from exc
    return dataclasses.replace(_translate(node, role), path=path)


def _translate(node: _File, role: settings.ProcessRole) -> PlatformSettings:
    seeds = sorted({seed.rsplit(":", 1)[0] for seed in node.seed_nodes})
    is_replica = role == settings.ProcessRole.REPLICA
    own = _replica(node.ip, node.internal_ports[0], node.zone)
    replicas = [
        _replica(ip, node.internal_ports[0]) for ip in seeds if ip != node.ip
    ]
    if is_replica or node.ip in seeds:
        replicas.append(own)
    replicas.sort(key=lambda replica: replica.id)
    cfg = settings.Settings(
        host=f"{node.node_name}-{role}",
        failure_domain=node.zone,
        region=node.region,
        roles=(role,),
        replica_id=own.id if is_replica else "",
        data_folder=node.data_dir if is_replica else "",
        listen=_listen(node, role),
        replicas=tuple(replicas),
        group=settings.Group(
            # Others would found a second group beside that of the seeds.
            may_found=node.bootstrap and node.ip in seeds,
            repairs_itself=True,
            size=2 * node.fault_tolerance.machines + 1,
        ),
        timing=settings.Timing(
            run_lease_ms=node.bounds.holdMaxMs,
            capacity_age_ms=node.bounds.contactMs,
            batch_kept_ms=int(1_000 * node.bounds.status_s)
            + 2 * CLOCK_ERROR_MS,
            balancer_lag_ms=BALANCER_LAG_MS,
        ),
        batch=_BATCH,
        limits=settings.Limits(
            memory_mb=int(node.limits.memory_mb),
            descriptors=max(0, node.limits.max_fds - _KEPT_FDS),
        ),
    )
    listen = node.listen_addrs
    addresses = ApiAddresses(
        callers=listen.frontend_addr
        if role == settings.ProcessRole.ENTRY
        else "",
        readiness=listen.readiness_addr
        if role == settings.ProcessRole.ENTRY
        else "",
        control=listen.control_plane
        if role != settings.ProcessRole.ENTRY
        else "",
    )
    return PlatformSettings(
        settings=cfg, addresses=addresses, advisor=node.recommendation
    )


def _replica(
    ip: str, first_port: int, failure_domain: str = ""
) -> settings.ReplicaAddress:
    return settings.ReplicaAddress(
        id=f"r-{ip}",
        grpc=f"{ip}:{first_port + _GRPC_PORT}",
        datagram=f"{ip}:{first_port + _REPLICA_DATAGRAM_PORT}",
        failure_domain=failure_domain,
    )


def _listen(node: _File, role: settings.ProcessRole) -> settings.Listen:
    http = f"{node.ip}:{METRICS_PORTS[role]}"
    first = node.internal_ports[0]
    match role:
        case settings.ProcessRole.REPLICA:
            own = _replica(node.ip, first)
            return settings.Listen(
                http=http, grpc=own.grpc, datagram=own.datagram
            )
        case settings.ProcessRole.AGENT:
            datagram = f"{node.ip}:{first + _AGENT_DATAGRAM_PORT}"
            return settings.Listen(http=http, datagram=datagram)
    return settings.Listen(http=http)
