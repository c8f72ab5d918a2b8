"""Cost of leases and propagation: slopes for leader and agent, by carrier.

python -m benchmarks.leases --json

The leader and the agents measured are processes of their own; the agents that
load the leader are stand-ins with the real messages.
"""

import asyncio
import dataclasses
import json as jsons
import pathlib
import random
import tempfile

import defopt
import psutil

from benchmarks import lease_agents
from benchmarks import lease_carriers
from bilberryroute import clock as clock_lib
from bilberryroute import settings
from extras import cluster as cluster_lib

SIZES = (50, 100, 200, 400)
AGENT_RENEWALS_MS = (175, 350, 700, 1_050)
AGENTS = 6
TICKETS = 40
TICKET_PAUSE_MS = 50
EXCHANGES = 5_000
SETTLE_MS = 2_500
CLOCK = clock_lib.SystemClock()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaderRow:
    """What the leader spent under a number of agents.

    Attributes:
      core_percent: Processor time over wall time, no ticket applied.
      renewals: Renewals a second.
      in_bytes: Payload bytes of renewals a second.
      out_bytes: Payload bytes of grants a second.
      ticket_ms: Processor time that one ticket adds, in milliseconds.
      ticket_bytes: Payload bytes to and from agents that one ticket adds.
      in_force_ms: From the answer of the last ticket until all agents have it.
    """

    agents: int
    core_percent: float
    renewals: float
    in_bytes: float
    out_bytes: float
    ticket_ms: float
    ticket_bytes: float
    in_force_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentRow:
    """What one idle agent process spent at a renewal interval."""

    renewal_ms: int
    core_percent: float


def processor_ms(process: psutil.Process) -> float:
    """Returns the processor time spent so far."""
    times = process.cpu_times()
    return (times.user + times.system) * clock_lib.MS_PER_SECOND


async def measure_leader(
    cluster: cluster_lib.Cluster, count: int, seconds: int, number: int
) -> tuple[LeaderRow, int]:
    """Returns the row of one size, and the number of the last ticket."""
    leader = await cluster.leader()
    address = next(r.datagram for r in cluster.replicas if r.id == leader)
    process = psutil.Process(cluster.children[leader].pid)
    fleet = lease_agents.Fleet(count, random.Random(count))
    await fleet.start(address, cluster.layout.timing.renewal_ms)
    try:
        await asyncio.sleep(clock_lib.seconds(SETTLE_MS))
        idle_ms, idle = await watch(process, fleet, seconds)
        before = processor_ms(process), sum(fleet.totals()[1:]), CLOCK.now()
        number = await apply_tickets(cluster, number)
        in_force_ms = await until_in_force(fleet, number)
        lasted_ms = CLOCK.now() - before[2]
        spent = processor_ms(process) - before[0]
        moved = sum(fleet.totals()[1:]) - before[1]
    finally:
        await fleet.stop()
    expected_ms = idle_ms / seconds / clock_lib.MS_PER_SECOND * lasted_ms
    share = lasted_ms / clock_lib.MS_PER_SECOND / seconds
    row = LeaderRow(
        agents=count,
        core_percent=idle_ms / seconds / 10,
        renewals=idle[0] / seconds,
        in_bytes=idle[1] / seconds,
        out_bytes=idle[2] / seconds,
        ticket_ms=(spent - expected_ms) / TICKETS,
        ticket_bytes=(moved - (idle[1] + idle[2]) * share) / TICKETS,
        in_force_ms=in_force_ms,
    )
    return row, number


async def watch(
    process: psutil.Process, fleet: lease_agents.Fleet, seconds: int
) -> tuple[float, tuple[int, ...]]:
    """Returns processor time, and renewals and bytes, of some seconds."""
    spent, totals = processor_ms(process), fleet.totals()
    await asyncio.sleep(seconds)
    moved = tuple(
        after - before
        for after, before in zip(fleet.totals(), totals, strict=True)
    )
    return processor_ms(process) - spent, moved


async def apply_tickets(cluster: cluster_lib.Cluster, number: int) -> int:
    """Applies tickets one after another; returns the last number."""
    for _ in range(TICKETS):
        number += 1
        ticket = {"number": number, "accounts": [{"name": f"a{number}"}]}
        answer = await cluster.post("e1", "/v1/tickets", ticket)
        if answer is None or answer.status != 200:
            raise RuntimeError(f"ticket {number} was not accepted: {answer}")
        await asyncio.sleep(clock_lib.seconds(TICKET_PAUSE_MS))
    return number


async def until_in_force(fleet: lease_agents.Fleet, number: int) -> int:
    """Returns how long the agents took to have a revision in force."""
    since = CLOCK.now()
    while fleet.lowest_revision() < number:
        await asyncio.sleep(clock_lib.seconds(5))
    return CLOCK.now() - since


async def measure_leaders(seconds: int) -> list[LeaderRow]:
    """Measures the leader of three replicas at each size."""
    rows: list[LeaderRow] = []
    layout = cluster_lib.Layout(agents=(), entries=1)
    with tempfile.TemporaryDirectory() as folder:
        async with cluster_lib.Cluster(pathlib.Path(folder), layout) as cluster:
            cluster.prepare()
            await cluster.start()
            number = await apply_tickets(cluster, 0)
            for count in SIZES:
                row, number = await measure_leader(
                    cluster, count, seconds, number
                )
                rows.append(row)
    return rows


async def measure_agents(seconds: int) -> list[AgentRow]:
    """Measures an agent process at each renewal interval."""
    rows = []
    for renewal_ms in AGENT_RENEWALS_MS:
        layout = cluster_lib.Layout(
            domains=("apapa",),
            agents=("apapa",) * AGENTS,
            entries=1,
            workers=0,
            endpoints=0,
            timing=settings.Timing(renewal_ms=renewal_ms),
        )
        rows.append(await measure_agent(layout, seconds))
    return rows


async def measure_agent(layout: cluster_lib.Layout, seconds: int) -> AgentRow:
    """Returns the mean of the agents of one system."""
    with tempfile.TemporaryDirectory() as folder:
        async with cluster_lib.Cluster(pathlib.Path(folder), layout) as cluster:
            cluster.prepare()
            await cluster.start()
            names = [n for n in cluster.children if n.startswith("a")]
            agents = [psutil.Process(cluster.children[n].pid) for n in names]
            await asyncio.sleep(clock_lib.seconds(SETTLE_MS))
            before = sum(map(processor_ms, agents))
            await asyncio.sleep(seconds)
            spent = (sum(map(processor_ms, agents)) - before) / len(agents)
    return AgentRow(
        renewal_ms=layout.timing.renewal_ms, core_percent=spent / seconds / 10
    )


def summarize(
    leader: list[LeaderRow], agent: list[AgentRow], carriers: dict[str, float]
) -> dict:
    """Returns all rows and their slopes as one object."""
    sizes = [row.agents for row in leader]
    core = [row.core_percent for row in leader]
    rates = [row.renewals for row in leader]
    agent_rates = [clock_lib.MS_PER_SECOND / row.renewal_ms for row in agent]
    agent_core = [row.core_percent for row in agent]
    tickets = [row.ticket_ms for row in leader]
    slope = lease_agents.slope
    return {
        "leader": [dataclasses.asdict(row) for row in leader],
        "agent": [dataclasses.asdict(row) for row in agent],
        "carriers_us": carriers,
        "slopes": {
            "leader_core_percent_per_agent": slope(sizes, core),
            "leader_us_per_renewal": slope(rates, core) * 10_000,
            "leader_ticket_us_per_agent": slope(sizes, tickets) * 1_000,
            "agent_us_per_renewal": slope(agent_rates, agent_core) * 10_000,
            "bytes_per_second_per_agent": slope(
                sizes, [row.in_bytes + row.out_bytes for row in leader]
            ),
            "ticket_bytes_per_agent": slope(
                sizes, [row.ticket_bytes for row in leader]
            ),
        },
    }


def show(found: dict) -> None:
    """Prints the tables."""
    for name in ("leader", "agent"):
        columns = list(found[name][0])
        print(f"| {name}: " + " | ".join(columns) + " |")
        print("|" + " --- |" * len(columns))
        for row in found[name]:
            print("| " + " | ".join(f"{row[c]:.4g}" for c in columns) + " |")
        print()
    print("| slope or cost | value |")
    print("| --- | --- |")
    for name, value in found["slopes"].items():
        print(f"| {name} | {value:.4g} |")
    for name, value in found["carriers_us"].items():
        print(f"| {name}, us an exchange, both ends | {value:.0f} |")


def run(*, json: bool = False, seconds: int = 6) -> None:
    """Measures leases and propagation.

    Args:
      json: Print one JSON object instead of tables.
      seconds: How long to watch at each size.
    """
    carriers = asyncio.run(lease_carriers.compare(EXCHANGES))
    leader = asyncio.run(measure_leaders(seconds))
    agent = asyncio.run(measure_agents(seconds))
    found = summarize(leader, agent, carriers)
    if json:
        print(jsons.dumps(found))
    else:
        show(found)


if __name__ == "__main__":
    defopt.run(run, cli_options="has_default", no_negated_flags=True)
