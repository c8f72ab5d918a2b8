"""Components that the controllers of a replica share."""

import dataclasses
import random

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.consensus import group as group_lib
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import desired as desired_lib
from bilberryroute.replica import leadership as leadership_lib
from bilberryroute.replica import proposer as proposer_lib
from bilberryroute.state import machine as machine_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaParts:
    """Components that the controllers of a replica share.

    Attributes:
      board: Reports of agents and entries, and data that controllers
        exchange.
      group: This replica's member of the Raft group.
      leadership: Whether this replica may act as leader.
      machine: The state machine that the log drives.
      desired: Desired states of agents, versioned.
      proposer: Commits commands to the log.
      metrics: Metrics of the process.
    """

    cfg: settings.Settings
    board: board_lib.ReplicaBoard
    group: group_lib.ReplicaGroup
    leadership: leadership_lib.Leadership
    machine: machine_lib.StateMachine
    desired: desired_lib.DesiredStates
    proposer: proposer_lib.Proposer
    metrics: metrics_lib.Metrics
    clock: clock_lib.Clock
    rng: random.Random


def build(
    cfg: settings.Settings,
    clock: clock_lib.Clock,
    rng: random.Random,
    metrics: metrics_lib.Metrics,
) -> ReplicaParts:
    """Returns the components of a replica, none of them started."""
    board = board_lib.new_board()
    machine = machine_lib.StateMachine()
    desired = desired_lib.DesiredStates()
    group = group_lib.ReplicaGroup(
        _group_config(cfg), machine, clock, rng, metrics
    )
    return ReplicaParts(
        cfg=cfg,
        board=board,
        group=group,
        leadership=leadership_lib.Leadership(board, group, desired, clock),
        machine=machine,
        desired=desired,
        proposer=proposer_lib.Proposer(group, clock, metrics),
        metrics=metrics,
        clock=clock,
        rng=rng,
    )


def _group_config(cfg: settings.Settings) -> group_lib.GroupConfig:
    return group_lib.GroupConfig(
        replica_id=cfg.replica_id,
        members=cfg.replicas,
        data_folder=cfg.data_folder,
        # Addresses at which this host reaches the replicas in its settings.
        routes={replica.id: replica.grpc for replica in cfg.replicas},
        policy=cfg.group,
        timing=cfg.timing,
        log=cfg.log,
    )
