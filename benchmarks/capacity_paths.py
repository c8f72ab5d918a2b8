"""Agents by their workers, and entry and agent by requests a second."""

import asyncio
import pathlib
import tempfile

import aiohttp

from benchmarks import capacity_model as model
from benchmarks import capacity_usage as usages
from benchmarks import leases
from benchmarks import requests
from bilberryroute import clock as clock_lib
from extras import cluster as cluster_lib

WORKERS = (1, 4, 8)
RATES = (20, 50, 100)
SETTLE_MS = 2_500


async def measure_agents(seconds: int) -> list[model.Line]:
    """Returns the slopes of an agent over the workers beside it."""
    found = [await _measure_agent(count, seconds) for count in WORKERS]
    core = [u.processor_ms / seconds / 10 for u in found]
    moved = [u.tcp_bytes / seconds / model.KB for u in found]
    resident = [u.memory_mb for u in found]
    anonymous = [u.anonymous_mb for u in found]
    costs = (
        ("processor", "% of a core", core, model.CORE_PERCENT),
        ("TCP bytes with its workers", "KB/s", moved, model.KB_A_SECOND),
        ("resident memory", "MB", resident, model.MEMORY_MB),
        ("anonymous memory", "MB", anonymous, None),
    )
    return [
        model.Line(
            role="agent",
            cost=cost,
            unit=unit,
            over="worker beside it",
            sizes=WORKERS,
            values=tuple(values),
            target=1,
            budget=budget,
        )
        for cost, unit, values, budget in costs
    ]


async def _measure_agent(workers: int, seconds: int) -> usages.Usage:
    layout = cluster_lib.Layout(
        agents=("apapa",), entries=1, workers=workers, endpoints=1
    )
    with tempfile.TemporaryDirectory() as folder:
        async with cluster_lib.Cluster(pathlib.Path(folder), layout) as cluster:
            cluster.prepare()
            await cluster.start()
            await asyncio.sleep(clock_lib.seconds(SETTLE_MS))
            first = await usages.mark(cluster)
            await asyncio.sleep(seconds)
            last = await usages.mark(cluster)
            await cluster.stop()
    return usages.between(first, last)["a1"]


async def measure_requests(seconds: int) -> list[model.Line]:
    """Returns the slopes of entry and agent over idempotent requests."""
    layout = cluster_lib.Layout(agents=("apapa",), entries=1, workers=0)
    with tempfile.TemporaryDirectory() as folder:
        async with cluster_lib.Cluster(pathlib.Path(folder), layout) as cluster:
            cluster.prepare()
            await cluster.start()
            await cluster.post("e1", "/v1/tickets", requests.TICKET)
            async with aiohttp.ClientSession() as session:
                callers = await requests.make_callers(cluster, session)
                caller = next(c for c in callers if c.name == "idempotent")
                found = [
                    await _measure_rate(cluster, caller, rate, seconds)
                    for rate in RATES
                ]
            await cluster.stop()
    return [
        model.Line(
            role=role,
            cost="processor",
            unit="% of a core",
            over="request a second",
            sizes=RATES,
            values=tuple(each[name] for each in found),
            target=RATES[-1],
        )
        for name, role in (("e1", "entry"), ("a1", "agent"))
    ]


async def _measure_rate(
    cluster: cluster_lib.Cluster,
    caller: requests.Caller,
    rate: int,
    seconds: int,
) -> dict[str, float]:
    """Returns the percent of a core by process at an offered rate."""
    first = await usages.mark(cluster)
    began_ms = leases.CLOCK.now()
    asked = []
    for _ in range(rate * seconds):
        asked.append(asyncio.ensure_future(caller.ask()))
        due_ms = began_ms + len(asked) * clock_lib.SECOND // rate
        await asyncio.sleep(clock_lib.seconds(due_ms - leases.CLOCK.now()))
    await asyncio.gather(*asked)
    last = await usages.mark(cluster)
    lasted_ms = leases.CLOCK.now() - began_ms
    return {
        name: usage.processor_ms / lasted_ms * 100
        for name, usage in usages.between(first, last).items()
    }
