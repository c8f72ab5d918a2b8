"""The platform's settings file, translated into the project's settings."""

import dataclasses
import pathlib
import tomllib

import msgspec

from bilberryroute import errors
from bilberryroute import settings

# Variable that holds the path of the settings file.
VARIABLE = "BILBERRYROUTE_SETTINGS"

# Internal ports of each role, counted from the first free one; two processes
# may share a machine.
_GRPC_PORT = 1
_REPLICA_DATAGRAM_PORT = 2
_AGENT_DATAGRAM_PORT = 7

# Where each role shows its metrics; `deploy/system.toml` names the same.
METRICS_PORTS = {
    settings.ProcessRole.REPLICA: 9464,
    settings.ProcessRole.ENTRY: 9465,
    settings.ProcessRole.AGENT: 9466,
}

# The balancer takes a process out after two missed probes, a second apart.
BALANCER_LAG_MS = 2_300


class _Listen(msgspec.Struct, frozen=True, rename="camel"):
    """Addresses that a role serves, `ip:port`; empty where not served.

    Attributes:
      control_plane: For operators, or on a worker's machine for that worker.
    """

    frontend_addr: str = ""
    readiness_addr: str = ""
    control_plane: str = ""


class _Bounds(msgspec.Struct, frozen=True):
    """Bounds that the platform's rules name; in milliseconds or seconds.

    Attributes:
      holdMaxMs: Longest lease of what runs on a worker.
      status_s: How long the state of an ended job is asked for.
    """

    holdMaxMs: int = 6_000  # noqa: N815 (the platform mixes its cases here)
    status_s: float = 120


class _File(msgspec.Struct, frozen=True, rename="camel"):
    """The file, as far as it is used; other fields are ignored.

    Attributes:
      seed_nodes: Operators' addresses of up to three hosts that keep the log;
        they may be out of date.
      bootstrap: Whether the whole system starts for the first time.
      app: On a worker's machine, where the worker takes orders.
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
    bounds: _Bounds = _Bounds()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Doors:
    """Addresses at which the platform's own interfaces are served.

    Attributes:
      callers: Callers' jobs; empty if this process serves none.
      readiness: The balancer's probe.
      control: Operators, or the worker beside an agent.
    """

    callers: str
    readiness: str
    control: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """What the platform tells one process.

    Attributes:
      advisor: Address of the advisory service, or empty.
    """

    settings: settings.Settings
    doors: Doors
    advisor: str = ""


def load(path: str, role: settings.ProcessRole) -> Place:
    """Reads the platform's file for a process of one role.

    Raises:
      errors.SettingsError: If the file cannot be read or lacks a field.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        said = msgspec.convert(tomllib.loads(text), _File, strict=False)
    except (OSError, ValueError) as exc:
        raise errors.SettingsError(
            f"the platform's settings {path} cannot be used: {exc}",
            remedy=f"Check the file that {VARIABLE} names.",
        ) from exc
    return _translate(said, role)


def _translate(said: _File, role: settings.ProcessRole) -> Place:
    seeds = sorted({seed.rsplit(":", 1)[0] for seed in said.seed_nodes})
    replicas = [_replica(ip, said.internal_ports[0]) for ip in seeds]
    own = _replica(said.ip, said.internal_ports[0])
    is_replica = role == settings.ProcessRole.REPLICA
    if is_replica and own not in replicas:
        replicas.append(own)
    cfg = settings.Settings(
        host=f"{said.node_name}-{role}",
        failure_domain=said.zone,
        region=said.region,
        roles=(role,),
        replica_id=own.id if is_replica else "",
        data_folder=said.data_dir if is_replica else "",
        listen=_listen(said, role),
        replicas=tuple(replicas),
        group=settings.Group(
            may_found=said.bootstrap, repairs_itself=True, size=len(seeds)
        ),
        timing=settings.Timing(
            run_lease_ms=said.bounds.holdMaxMs,
            batch_kept_ms=int(1_000 * said.bounds.status_s),
            balancer_lag_ms=BALANCER_LAG_MS,
        ),
    )
    listen = said.listen_addrs
    doors = Doors(
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
    return Place(settings=cfg, doors=doors, advisor=said.recommendation)


def _replica(ip: str, first_port: int) -> settings.ReplicaAddress:
    return settings.ReplicaAddress(
        id=f"r-{ip}",
        grpc=f"{ip}:{first_port + _GRPC_PORT}",
        datagram=f"{ip}:{first_port + _REPLICA_DATAGRAM_PORT}",
    )


def _listen(said: _File, role: settings.ProcessRole) -> settings.Listen:
    http = f"{said.ip}:{METRICS_PORTS[role]}"
    first = said.internal_ports[0]
    match role:
        case settings.ProcessRole.REPLICA:
            own = _replica(said.ip, first)
            return settings.Listen(
                http=http, grpc=own.grpc, datagram=own.datagram
            )
        case settings.ProcessRole.AGENT:
            datagram = f"{said.ip}:{first + _AGENT_DATAGRAM_PORT}"
            return settings.Listen(http=http, datagram=datagram)
    return settings.Listen(http=http)
