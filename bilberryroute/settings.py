"""Settings of one process: models validated when they are loaded.

Addresses are `ip:port`; durations are milliseconds.
"""

import enum

import msgspec


class ProcessRole(enum.StrEnum):
    """What a process does; one process may hold several roles."""

    ENTRY = "entry"
    REPLICA = "replica"
    AGENT = "agent"


class ReplicaAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where one replica listens.

    Attributes:
      id: Identity within the group of replicas.
      grpc: Address of its gRPC server.
      datagram: Address of its datagram socket.
    """

    id: str
    grpc: str
    datagram: str
    failure_domain: str = ""


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that this process listens on; empty where not used."""

    http: str = "127.0.0.1:0"
    grpc: str = ""
    datagram: str = ""


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and bounds, in milliseconds."""

    raft_heartbeat_ms: int = 100
    election_ms: int = 600
    leader_lease_ms: int = 500
    renewal_ms: int = 700
    agent_lease_ms: int = 2_200
    task_lease_ms: int = 10_000
    run_lease_ms: int = 6_000
    capacity_age_ms: int = 3_000
    batch_kept_ms: int = 120_000
    worker_lease_ms: int = 2_200
    decide_ms: int = 100
    balancer_lag_ms: int = 500
    probe_ms: int = 500
    probe_timeout_ms: int = 1_500


class Batch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Decisions on batch jobs that a deployment switches on.

    Attributes:
      learn_speeds: Whether the speed of each worker is learned, and used to
        place work and to forecast its end.
      forecast_tails: Whether run times are forecast from the distribution of
        earlier ones instead of their average.
      order_by_value: Whether waiting work is ordered by what it earns for the
        room that it takes.
      weigh_stops: Whether runs are stopped only where that earns more than it
        throws away.
      refuse_hopeless: Whether a job that can earn nothing any more is refused.
      keep_apart: Whether tasks that slow each other down are kept apart.
      pack_racks: Whether racks are filled one after the other, so that others
        stay whole for wide gangs.
    """

    learn_speeds: bool = False
    forecast_tails: bool = False
    order_by_value: bool = False
    weigh_stops: bool = False
    refuse_hopeless: bool = False
    keep_apart: bool = False
    pack_racks: bool = False


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the replicated log."""

    snapshot_entries: int = 2_000
    segment_bytes: int = 8_388_608


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on what callers may send.

    Attributes:
      memory_mb: Memory that this process may use, in MB; 0 if nothing bounds
        it.
      descriptors: Descriptors that this process may open; 0 for the bound of
        the system.
      client_bytes: Bytes held for all clients; 0 to derive it from the memory.
      client_connections: Open connections of all HTTP servers; 0 to derive it
        from memory and descriptors.
      requests_ahead: Requests that a client may send ahead on a connection.
      head_ms: Time for a request's headers, in milliseconds.
      body_ms: Time for a whole body.
      body_pause_ms: Longest time without a byte of a body.
      answer_ms: Longest time in which a client reads nothing of an answer.
      idle_ms: How long a connection without a request stays open.
    """

    body_bytes: int = 1_048_576
    header_bytes: int = 16_384
    ticket_bytes: int = 4_194_304
    memory_mb: int = 0
    descriptors: int = 0
    client_bytes: int = 0
    client_connections: int = 0
    requests_ahead: int = 16
    head_ms: int = 10_000
    body_ms: int = 60_000
    body_pause_ms: int = 10_000
    answer_ms: int = 15_000
    idle_ms: int = 75_000


class Tokens(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Files of bearer tokens; with none set, loopback callers only.

    Attributes:
      operators: File with one operator token a line.
      callers: File with `account token` on each line.
    """

    operators: str = ""
    callers: str = ""


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the group of replicas is bootstrapped and repaired.

    Attributes:
      may_found: Whether a replica with an empty folder may bootstrap the group.
      repairs_itself: Whether the leader takes in new replicas, and removes
        lost ones that they replace, without an operator.
      size: Voters to keep; 0 for as many as `replicas` names.
    """

    may_found: bool = True
    repairs_itself: bool = False
    size: int = 0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one process.

    Attributes:
      host: Name of this process in logs, leases and status.
      failure_domain: Failure domain that this process runs in.
      roles: What it does.
      data_folder: Where a replica keeps its state. Without one, the replica
        role only refers other processes to the leader.
      replica_id: Which of `replicas` this process is, or empty.
    """

    host: str
    failure_domain: str
    roles: tuple[ProcessRole, ...]
    region: str = ""
    data_folder: str = ""
    replica_id: str = ""
    log_level: str = "INFO"
    listen: Listen = Listen()
    replicas: tuple[ReplicaAddress, ...] = ()
    group: Group = Group()
    timing: Timing = Timing()
    batch: Batch = Batch()
    log: Log = Log()
    limits: Limits = Limits()
    tokens: Tokens = Tokens()
