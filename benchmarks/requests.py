"""Request path: latency, throughput, choice of endpoint and memory.

Latency and throughput come from separate processes on loopback: three
replicas, one entry, one agent and one endpoint that answers at once.
"""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time
import tracemalloc

import aiohttp
import defopt
import hdrh.histogram
import msgspec
import psutil

from benchmarks import requests_claims
from bilberryroute.agent import memory as memory_lib
from bilberryroute.entry import calls
from bilberryroute.model import wire
from bilberryroute.routing import choice
from bilberryroute.routing import outcomes
from bilberryroute.routing import protocol
from extras import cluster as cluster_lib

SLOWEST_US = 10_000_000
WARM_UP = 200
AT_ONCE = 32
DRAWS = 20_000
THOUSAND = 1_000
BODY = b"x" * 200
US_PER_SECOND = 1_000_000
ADDED_MEDIAN_MAX_MS = 2.0
ENDPOINTS_READY_MS = 20_000
TICKET = {
    "number": 1,
    "accounts": [{"name": "trust"}],
    "failure_domains": [{"name": "apapa"}],
    "services": [{"name": cluster_lib.SERVICE}],
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Latency:
    """Latency of one way to ask, in milliseconds."""

    name: str
    median_ms: float
    p99_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Throughput:
    """Requests a second at one load, and for each core of a process."""

    name: str
    per_second: float
    per_entry_core: float
    per_agent_core: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """All figures of one run.

    Attributes:
      added_median_ms: Median of an idempotent request over a direct call.
      choice_us: Processor time of one choice, by number of endpoints.
      in_flight_kib: Memory of a thousand calls at the entry.
      remembered_kib: Memory of a thousand remembered keys at the agent.
    """

    seed: int
    requests: int
    latency: list[Latency]
    throughput: list[Throughput]
    overflow: list[requests_claims.Overflow]
    added_median_ms: float
    choice_us: dict[int, float]
    in_flight_kib: float
    remembered_kib: float


class Caller:
    """Asks one way, again and again."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        name: str,
        url: str,
        method: str = "POST",
    ):
        self.name = name
        self._session = session
        self._url = url
        self._method = method
        self._idempotent = str(name != "claimed").lower()

    async def ask(self) -> int:
        """Sends one request; returns its microseconds."""
        headers = {
            protocol.ACCOUNT_HEADER: "trust",
            protocol.IDEMPOTENT_HEADER: self._idempotent,
        }
        began = time.perf_counter_ns()
        async with self._session.request(
            self._method, self._url, data=BODY, headers=headers
        ) as resp:
            await resp.read()
            if resp.status != 200:
                raise RuntimeError(f"{self.name}: status {resp.status}")
        return (time.perf_counter_ns() - began) // 1_000


async def measure_latency(callers: list[Caller], count: int) -> list[Latency]:
    """Returns latencies; the ways take turns, so that noise meets all."""
    seen = {
        c.name: hdrh.histogram.HdrHistogram(1, SLOWEST_US, 3) for c in callers
    }
    for turn in range(WARM_UP + count):
        for caller in callers:
            took = await caller.ask()
            if turn >= WARM_UP:
                seen[caller.name].record_value(took)
    return [
        Latency(
            name=name,
            median_ms=histogram.get_value_at_percentile(50) / 1_000,
            p99_ms=histogram.get_value_at_percentile(99) / 1_000,
        )
        for name, histogram in seen.items()
    ]


async def measure_throughput(
    caller: Caller, count: int, entry: psutil.Process, agent: psutil.Process
) -> Throughput:
    """Returns the rate with many requests at once."""
    before = processor_seconds(entry), processor_seconds(agent)
    began = time.monotonic()

    async def ask_in_turn() -> None:
        for _ in range(count // AT_ONCE):
            await caller.ask()

    await asyncio.gather(*(ask_in_turn() for _ in range(AT_ONCE)))
    took = time.monotonic() - began
    done = count // AT_ONCE * AT_ONCE
    return Throughput(
        name=caller.name,
        per_second=done / took,
        per_entry_core=done / (processor_seconds(entry) - before[0]),
        per_agent_core=done / (processor_seconds(agent) - before[1]),
    )


def processor_seconds(process: psutil.Process) -> float:
    """Returns the processor time that a process has used."""
    times = process.cpu_times()
    return times.user + times.system


def measure_choice(endpoints: int, seed: int) -> float:
    """Returns the microseconds of one choice with its counting."""
    rng = random.Random(seed)
    pool = choice.EndpointPool("d0")
    pool.update([make_view(i) for i in range(endpoints)])
    began = time.process_time()
    for _ in range(DRAWS):
        name = pool.choose("s", rng).name
        pool.request_started(name)
        pool.request_ended(name)
    return (time.process_time() - began) / DRAWS * US_PER_SECOND


def make_view(number: int) -> wire.EndpointView:
    """Returns one of many endpoints in three failure domains."""
    return wire.EndpointView(
        name=f"e{number}",
        service="s",
        agent=f"a{number}",
        incarnation="1",
        http="",
        failure_domain=f"d{number % 3}",
        slots=8,
        in_flight=number % 8,
        leaving=False,
        healthy=True,
    )


def measure_in_flight() -> float:
    """Returns the KiB of a thousand calls, without their connections."""
    tracemalloc.start()
    held = [make_call(i) for i in range(THOUSAND)]
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(held) == THOUSAND
    return size / 1_024


def make_call(number: int) -> calls.Call:
    """Returns a call as the entry holds it."""
    body = bytes(BODY)
    return calls.Call(
        id=f"request-{number}",
        account="trust",
        service="s",
        idempotent=False,
        sent_once=True,
        deadline=0,
        retention_ms=0,
        content_type="text/plain",
        fingerprint=outcomes.fingerprint("s", "text/plain", body),
        body=body,
    )


def measure_remembered() -> float:
    """Returns the KiB of a thousand keys with answers of 200 bytes."""
    tracemalloc.start()
    memory = memory_lib.RequestRecordStore()
    for number in range(THOUSAND):
        key = f"trust/{outcomes.new_id(number, number)}"
        memory.start(key, claimed=True)
        reply = protocol.AgentReply(
            key=key,
            state=protocol.RequestState.DONE,
            status=200,
            length=len(BODY),
        )
        body = bytes(bytearray(BODY))
        memory.end(key, reply, body, answer_until=1, key_until=2)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1_024


async def run_processes(
    count: int,
) -> tuple[list[Latency], list[Throughput]]:
    """Measures separate processes."""
    layout = cluster_lib.Layout(agents=("apapa",), entries=1, workers=0)
    with tempfile.TemporaryDirectory() as folder:
        async with cluster_lib.Cluster(pathlib.Path(folder), layout) as cluster:
            cluster.prepare()
            await cluster.start()
            await cluster.post("e1", "/v1/tickets", TICKET)
            async with aiohttp.ClientSession() as session:
                callers = await make_callers(cluster, session)
                latency = await measure_latency(callers, count)
                entry, agent = (
                    psutil.Process(cluster.children[name].pid)
                    for name in ("e1", "a1")
                )
                throughput = [
                    await measure_throughput(caller, count, entry, agent)
                    for caller in callers[1:3]
                ]
            await cluster.stop()
    return latency, throughput


async def make_callers(
    cluster: cluster_lib.Cluster, session: aiohttp.ClientSession
) -> list[Caller]:
    """Returns a direct caller and two through the entry, once they work."""
    path = f"/v1/services/{cluster_lib.SERVICE}/requests"
    through = f"http://{cluster.http['e1']}{path}"
    idempotent = Caller(session, "idempotent", through)

    async def answered() -> bool:
        try:
            await idempotent.ask()
        except RuntimeError:
            return False
        return True

    await cluster_lib.until(answered, ENDPOINTS_READY_MS, "the entry answers")
    exchange = f"http://{cluster.http['a1']}{protocol.INCARNATION_PATH}"
    direct = f"http://{listening_address(cluster.children['p11'].pid)}/"
    return [
        Caller(session, "direct", direct),
        idempotent,
        Caller(session, "claimed", through),
        Caller(session, "agent exchange", exchange, "GET"),
    ]


def listening_address(pid: int) -> str:
    """Returns where a process listens."""
    for conn in psutil.Process(pid).net_connections("tcp"):
        if conn.status == psutil.CONN_LISTEN:
            return f"{conn.laddr.ip}:{conn.laddr.port}"
    raise RuntimeError("the endpoint does not listen")


def main(*, json: bool = False, seed: int = 1, requests: int = 2_000) -> None:
    """Prints the figures of the request path.

    Args:
      json: Print one JSON document.
      seed: Seed of the choices.
      requests: Requests of each kind.
    """
    latency, throughput = asyncio.run(run_processes(requests))
    medians = {each.name: each.median_ms for each in latency}
    report = Report(
        seed=seed,
        requests=requests,
        latency=latency,
        throughput=throughput,
        overflow=requests_claims.compare(seed),
        added_median_ms=medians["idempotent"] - medians["direct"],
        choice_us={n: measure_choice(n, seed) for n in (10, 100, 1_000)},
        in_flight_kib=measure_in_flight(),
        remembered_kib=measure_remembered(),
    )
    if json:
        print(msgspec.json.encode(report).decode())
        return
    print_report(report)


def print_report(report: Report) -> None:
    """Prints one line a figure."""
    for each in report.latency:
        print(
            f"{each.name}: median {each.median_ms:.2f} ms,"
            f" p99 {each.p99_ms:.2f} ms"
        )
    print(
        f"added by the path: {report.added_median_ms:.2f} ms"
        f" (target {ADDED_MEDIAN_MAX_MS} ms)"
    )
    for each in report.throughput:
        print(
            f"{each.name}: {each.per_second:.0f}/s;"
            f" {each.per_entry_core:.0f} per entry core,"
            f" {each.per_agent_core:.0f} per agent core"
        )
    for each in report.overflow:
        print(
            f"endpoint full at load {each.load}: {each.by_hash:.1%} by hash,"
            f" {each.by_choice:.1%} by choice"
        )
    for endpoints, took_us in report.choice_us.items():
        print(f"choice among {endpoints}: {took_us:.1f} us")
    print(f"thousand in flight at the entry: {report.in_flight_kib:.0f} KiB")
    print(f"thousand remembered keys: {report.remembered_kib:.0f} KiB")


if __name__ == "__main__":
    defopt.run(main)
