"""Measures the replicated log: recovery, commit latency, replay, batching.

python -m benchmarks.consensus --json --seed 1

Three replicas share one process and event loop, joined by relays on loopback;
so the processor time of all three is in each latency.
"""

import asyncio
import gc
import json as jsons
import pathlib
import random
import statistics
import tempfile

import defopt
from hdrh import histogram

from benchmarks import consensus_cluster as clusters
from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import group as group_lib

DELAY_MS = 3.5
LOSS = 0.01
RECOVERIES = 5
REPLAYED_ENTRIES = 10_000
PAYLOAD = bytes(200)
LOW_LOAD_COMMANDS = 200
LOW_LOAD_EVERY_MS = 10
BURSTS = 10
BURST_COMMANDS = 100
TIMERS_MS = (2, 5)
_MAX_US = 60_000_000
_US_PER_MS = 1_000


class TimerGroup(group_lib.ReplicaGroup):
    """Holds commands back for a fixed time and sends them as one batch.

    Attributes:
      timer_ms: How long the first command of a batch waits.
    """

    timer_ms = 0
    _due = False

    def _propose_batch(self) -> None:
        if self._due:
            super()._propose_batch()
        self._due = not self._due
        if self._due:
            delay = clock_lib.seconds(self.timer_ms)
            asyncio.get_running_loop().call_later(delay, self._propose_batch)


class SingleGroup(group_lib.ReplicaGroup):
    """Sends each command by itself as soon as it comes."""

    async def propose(self, payload: bytes, timeout_ms: int = 3_000) -> object:
        """Commits a command."""
        outputs = self._core.propose((payload,), self._clock.now())
        return await self._commit(outputs, timeout_ms)


class Latencies:
    """Histogram of commit latencies."""

    def __init__(self):
        self._histogram = histogram.HdrHistogram(1, _MAX_US, 3)
        self._clock = asyncio.get_running_loop().time

    async def commit(self, group: group_lib.ReplicaGroup) -> None:
        """Commits one command and records how long it took."""
        began = self._clock()
        await group.propose(PAYLOAD)
        self._histogram.record_value(int((self._clock() - began) * 1e6) or 1)

    def report(self) -> dict[str, float]:
        """Returns median and 99th percentile in milliseconds."""
        return {
            f"p{percentile}_ms": self._histogram.get_value_at_percentile(
                percentile
            )
            / _US_PER_MS
            for percentile in (50, 99)
        }


async def _low_load(group: group_lib.ReplicaGroup) -> dict[str, float]:
    latencies = Latencies()
    for _ in range(LOW_LOAD_COMMANDS):
        await latencies.commit(group)
        await asyncio.sleep(clock_lib.seconds(LOW_LOAD_EVERY_MS))
    return latencies.report()


async def _bursts(group: group_lib.ReplicaGroup) -> dict[str, float]:
    latencies = Latencies()
    for _ in range(BURSTS):
        commits = (latencies.commit(group) for _ in range(BURST_COMMANDS))
        await asyncio.gather(*commits)
        await asyncio.sleep(clock_lib.seconds(10 * LOW_LOAD_EVERY_MS))
    return latencies.report()


async def commit_latency(
    folder: pathlib.Path, rng: random.Random, delay_ms: float, make: type
) -> dict[str, dict[str, float]]:
    """Returns latencies at low load and in bursts."""
    cluster = clusters.Cluster(folder, rng, delay_ms=delay_ms)
    cluster.make = make
    await cluster.start()
    try:
        leader = await cluster.leader()
        await _bursts(leader)  # Connections and caches warm up.
        return {
            "low": await _low_load(leader),
            "burst": await _bursts(leader),
        }
    finally:
        await cluster.stop()


async def recovery_ms(
    folder: pathlib.Path, rng: random.Random, count: int = RECOVERIES
) -> list[int]:
    """Returns how long no command was accepted after each leader's end."""
    cluster = clusters.Cluster(folder, rng, delay_ms=DELAY_MS, loss=LOSS)
    await cluster.start()
    took = []
    try:
        for _ in range(count):
            leader = await cluster.leader()
            await leader.propose(PAYLOAD)
            name = leader.leader_id
            began = asyncio.get_running_loop().time()
            await cluster.stop_replica(name)
            await _accepted(cluster)
            ended = asyncio.get_running_loop().time()
            took.append(int((ended - began) * clock_lib.MS_PER_SECOND))
            await cluster.start_replica(name)
            await asyncio.sleep(clock_lib.seconds(2 * clock_lib.SECOND))
    finally:
        await cluster.stop()
    return took


async def _accepted(cluster: clusters.Cluster) -> None:
    while True:
        leader = await cluster.leader()
        try:
            await leader.propose(PAYLOAD)
        except (errors.NotLeader, errors.CommitUnknown):
            continue
        return


async def replay_ms(folder: pathlib.Path, rng: random.Random) -> int:
    """Returns how long a restart takes to apply 10,000 entries again."""
    log = settings.Log(snapshot_entries=10 * REPLAYED_ENTRIES)
    cluster = clusters.Cluster(folder, rng, size=1, log=log)
    await cluster.start()
    try:
        leader = await cluster.leader()
        for _ in range(REPLAYED_ENTRIES // BURST_COMMANDS):
            commits = (leader.propose(PAYLOAD) for _ in range(BURST_COMMANDS))
            await asyncio.gather(*commits)
        await cluster.stop_replica("r0")
        began = asyncio.get_running_loop().time()
        await cluster.start_replica("r0")
        leader = await cluster.leader()
        took = asyncio.get_running_loop().time() - began
        return int(took * clock_lib.MS_PER_SECOND)
    finally:
        await cluster.stop()


def _variants() -> dict[str, type]:
    variants: dict[str, type] = {
        "at_once": group_lib.ReplicaGroup,
        "one_by_one": SingleGroup,
    }
    for timer_ms in TIMERS_MS:
        name = f"timer_{timer_ms}_ms"
        variants[name] = type(name, (TimerGroup,), {"timer_ms": timer_ms})
    return variants


async def measure(seed: int) -> dict[str, object]:
    """Returns all measures."""
    # A collection over all imported modules stops everything for 30 ms.
    gc.collect()
    gc.freeze()
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as name:
        root = pathlib.Path(name)
        latency = {
            f"{variant}, {delay_ms} ms one way": await commit_latency(
                root / f"{variant}-{delay_ms}", rng, delay_ms, make
            )
            for delay_ms in (0, DELAY_MS)
            for variant, make in _variants().items()
        }
        recoveries = await recovery_ms(root / "recovery", rng)
        replay = await replay_ms(root / "replay", rng)
    return {
        "commit_latency": latency,
        "recovery_ms": recoveries,
        "recovery_median_ms": statistics.median(recoveries),
        "replay_10000_ms": replay,
    }


def main(*, seed: int = 1, json: bool = False) -> None:
    """Measure the replicated log.

    :param seed: Seed of delays and election timeouts.
    :param json: Print one JSON object.
    """
    measures = asyncio.run(measure(seed))
    if json:
        print(jsons.dumps(measures))
        return
    for name, report in measures["commit_latency"].items():
        low, burst = report["low"], report["burst"]
        print(
            f"{name:28} low {low['p50_ms']:7.2f} {low['p99_ms']:7.2f}"
            f"  burst {burst['p50_ms']:7.2f} {burst['p99_ms']:7.2f}"
        )
    print(f"recovery ms: {measures['recovery_ms']}")
    print(f"replay of 10,000 entries ms: {measures['replay_10000_ms']}")


if __name__ == "__main__":
    defopt.run(main)
