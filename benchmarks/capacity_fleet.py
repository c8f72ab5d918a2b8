"""Leader, follower and entry under a growing number of stand-in agents."""

import asyncio
import dataclasses
import pathlib
import random
import tempfile

from benchmarks import capacity_model as model
from benchmarks import capacity_state
from benchmarks import capacity_usage as usages
from benchmarks import lease_agents
from benchmarks import leases
from bilberryroute import clock as clock_lib
from bilberryroute.model import config
from extras import cluster as cluster_lib

SIZES = (50, 100, 200, 400)
TICKETS = 20
SETTLE_MS = 2_500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One size: what each process spent.

    Attributes:
      quiet: Usage without tickets, by leader, follower and entry.
      quiet_ms: Length of that time.
      datagram_bytes: Payload of renewals and grants in that time.
      ticket_ms: Processor time that a ticket adds, by the same names.
      in_force_ms: From sending a ticket until all agents have it; the worst.
    """

    agents: int
    quiet: dict[str, usages.Usage]
    quiet_ms: int
    datagram_bytes: int
    ticket_ms: dict[str, float]
    in_force_ms: int


async def measure(seconds: int) -> list[Row]:
    """Returns a row for each size, from one cluster of three replicas."""
    layout = cluster_lib.Layout(agents=(), entries=1)
    with tempfile.TemporaryDirectory() as folder:
        async with cluster_lib.Cluster(pathlib.Path(folder), layout) as cluster:
            cluster.prepare()
            await cluster.start()
            await _apply_accounts(cluster)
            rows = [await _measure_size(cluster, n, seconds) for n in SIZES]
            await cluster.stop()
    return rows


async def _apply_accounts(cluster: cluster_lib.Cluster) -> None:
    accounts = [
        capacity_state.ticket(number).accounts[0].name
        for number in range(model.TEAMS)
    ]
    ticket = {"number": 1, "accounts": [{"name": name} for name in accounts]}
    await _apply(cluster, ticket)


async def _apply(cluster: cluster_lib.Cluster, ticket: dict) -> None:
    answer = await cluster.post("e1", "/v1/tickets", ticket)
    if answer is None or answer.status != 200:
        raise RuntimeError(f"the ticket was not accepted: {answer}")


async def _measure_size(
    cluster: cluster_lib.Cluster, count: int, seconds: int
) -> Row:
    leader = await cluster.leader()
    address = next(r.datagram for r in cluster.replicas if r.id == leader)
    fleet = lease_agents.Fleet(count, random.Random(count))
    await fleet.start(address, cluster.layout.timing.renewal_ms)
    clock = leases.CLOCK
    try:
        await asyncio.sleep(clock_lib.seconds(SETTLE_MS))
        began_ms, moved = clock.now(), sum(fleet.totals()[1:])
        first = await usages.mark(cluster)
        await asyncio.sleep(seconds)
        last = await usages.mark(cluster)
        quiet_ms = clock.now() - began_ms
        moved = sum(fleet.totals()[1:]) - moved
        in_force_ms = await _apply_tickets(cluster, fleet)
        busy_ms = clock.now() - began_ms - quiet_ms
        after = await usages.mark(cluster)
    finally:
        await fleet.stop()
    quiet = by_role(usages.between(first, last), leader)
    busy = by_role(usages.between(last, after), leader)
    return Row(
        agents=count,
        quiet=quiet,
        quiet_ms=quiet_ms,
        datagram_bytes=moved,
        ticket_ms={
            role: _added(quiet[role], busy[role], busy_ms / quiet_ms)
            for role in quiet
        },
        in_force_ms=in_force_ms,
    )


def by_role(
    found: dict[str, usages.Usage], leader: str
) -> dict[str, usages.Usage]:
    """Returns the leader, one follower and the entry."""
    follower = min(n for n in found if n[0] == "r" and n != leader)
    return {
        "leader": found[leader],
        "follower": found[follower],
        "entry": found["e1"],
    }


def _added(quiet: usages.Usage, busy: usages.Usage, times: float) -> float:
    return (busy.processor_ms - quiet.processor_ms * times) / TICKETS


async def _apply_tickets(
    cluster: cluster_lib.Cluster, fleet: lease_agents.Fleet
) -> int:
    """Applies tickets; returns the longest time until one was in force."""
    worst_ms = 0
    for _ in range(TICKETS):
        number = fleet.lowest_revision() + 1
        account = config.ClientAccount(
            name=capacity_state.ticket(number).accounts[0].name,
            weight=1 + number % 5,
        )
        began_ms = leases.CLOCK.now()
        plain = {"name": account.name, "weight": account.weight}
        await _apply(cluster, {"number": number, "accounts": [plain]})
        await leases.until_in_force(fleet, number)
        worst_ms = max(worst_ms, leases.CLOCK.now() - began_ms)
    return worst_ms


def lines(rows: list[Row]) -> list[model.Line]:
    """Returns the slopes over agents of leader, follower and entry."""
    found = []
    for name, role in ROLES.items():
        found += _role_lines(rows, name, role)
    found.append(
        _line(
            "leading replica",
            "datagrams",
            "KB/s",
            [r.datagram_bytes / r.quiet_ms for r in rows],
            model.KB_A_SECOND,
        )
    )
    found.append(
        _line(
            "leading replica",
            "ticket in force on all agents, slowest",
            "ms",
            [r.in_force_ms for r in rows],
            model.IN_FORCE_MS,
        )
    )
    return found


ROLES = {"leader": "leading replica", "follower": "replica", "entry": "entry"}


def _role_lines(rows: list[Row], name: str, role: str) -> list[model.Line]:
    core = [r.quiet[name].processor_ms / r.quiet_ms * 100 for r in rows]
    moved = [r.quiet[name].tcp_bytes / r.quiet_ms for r in rows]
    resident = [r.quiet[name].memory_mb for r in rows]
    anonymous = [r.quiet[name].anonymous_mb for r in rows]
    tickets = [r.ticket_ms[name] for r in rows]
    return [
        _line(role, "processor", "% of a core", core, model.CORE_PERCENT),
        _line(role, "TCP bytes", "KB/s", moved, model.KB_A_SECOND),
        _line(role, "resident memory", "MB", resident, model.MEMORY_MB),
        _line(role, "anonymous memory", "MB", anonymous),
        _line(role, "processor a ticket", "ms", tickets),
    ]


def _line(role, cost, unit, values, budget=None) -> model.Line:
    return model.Line(
        role=role,
        cost=cost,
        unit=unit,
        over="agent",
        sizes=SIZES,
        values=tuple(values),
        target=model.WORKERS,
        budget=budget,
    )
