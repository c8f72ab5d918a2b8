"""Walks the whole path with separate processes, one readable line a step."""

import asyncio
import dataclasses
import pathlib
import sys
import tempfile
import time

from bilberryroute.routing import protocol
from extras import cluster as cluster_lib

STEP_MS = 30_000
REQUEST_PATH = f"/v1/services/{cluster_lib.SERVICE}/requests"
ACCOUNT = "waterfront"


class StepFailed(Exception):
    """A step did not go as it must."""


@dataclasses.dataclass(slots=True)
class Console:
    """Prints one line a step.

    Attributes:
      step: The step being walked, named when it fails.
    """

    step: str = "start"

    def say(self, asked: str, answered: str) -> None:
        """Prints what was asked and what was answered."""
        print(f"[{self.step}] {asked} -> {answered}", flush=True)


def check(holds: object, message: str) -> None:
    """Fails the present step unless a condition holds.

    Raises:
      StepFailed: If it does not hold.
    """
    if not holds:
        raise StepFailed(message)


async def apply_ticket(
    cluster: cluster_lib.Cluster, entry: str, ticket: dict
) -> dict:
    """Applies a change ticket; returns the answer."""
    answer = await cluster.post(entry, "/v1/tickets", ticket)
    check(answer is not None, f"{entry} gave no answer to the ticket")
    check(answer.status == 200, f"{answer.status} {answer.text}")
    return answer.json()


def first_ticket(layout: cluster_lib.Layout) -> dict:
    """Returns ticket 1: accounts, failure domains, a service."""
    guarantee = {"accelerators": 8, "adjacency": "worker"}
    return {
        "number": 1,
        "accounts": [
            {"name": ACCOUNT, "guarantees": [guarantee]},
            {"name": "night-tally"},
        ],
        "failure_domains": [{"name": name} for name in layout.domains],
        "services": [{"name": cluster_lib.SERVICE}],
    }


async def walk_ticket(cluster: cluster_lib.Cluster, console: Console) -> None:
    """Step 1: an operator's ticket is durable on a majority."""
    console.step = "1 ticket"
    ticket = first_ticket(cluster.layout)
    answer = await apply_ticket(cluster, "e1", ticket)
    console.say(
        "ticket 1 (accounts, failure domains, service) to entry e1",
        f"accepted, digest {answer['digest'][:12]}",
    )


async def until_announced(cluster: cluster_lib.Cluster) -> dict:
    """Returns the status once all endpoints and workers are in it."""
    layout = cluster.layout
    agents = len(layout.agents)
    seen: dict = {}

    async def all_seen() -> bool:
        answer = await cluster.get("e2", "/v1/status")
        if answer is None or answer.status != 200:
            return False
        seen.update(answer.json())
        endpoints = sum(a["endpoints"] for a in seen["agents"])
        enough = endpoints == agents * layout.endpoints
        return enough and len(seen["workers"]) == agents * layout.workers

    await cluster_lib.until(all_seen, STEP_MS, "all announced")
    return seen


async def walk_announcements(
    cluster: cluster_lib.Cluster, console: Console
) -> None:
    """Step 2: endpoints and workers have announced themselves."""
    console.step = "2 announcements"
    seen = await until_announced(cluster)
    accelerators = sum(w["worker"]["accelerators"] for w in seen["workers"])
    endpoints = sum(a["endpoints"] for a in seen["agents"])
    console.say(
        "status of entry e2",
        f"{len(seen['agents'])} agents, {endpoints} endpoints,"
        f" {len(seen['workers'])} workers with {accelerators} accelerators",
    )


async def submit(cluster: cluster_lib.Cluster, entry: str, job_id: str) -> None:
    """Submits a gang of 16 adjacent accelerators."""
    job = {
        "id": job_id,
        "account": ACCOUNT,
        "kind": "urgent",
        "shape": {"accelerators": 16, "adjacency": "rack"},
        "declared_ms": cluster.layout.run_ms,
    }
    headers = {protocol.ACCOUNT_HEADER: ACCOUNT}
    answer = await cluster.post(entry, "/v1/jobs", job, headers)
    check(answer is not None, f"{entry} gave no answer to the job")
    check(answer.status in (200, 202), f"{answer.status} {answer.text}")


async def until_ended(
    cluster: cluster_lib.Cluster, entry: str, job_id: str
) -> dict:
    """Returns a job's record once it has ended."""
    seen: dict = {}
    headers = {protocol.ACCOUNT_HEADER: ACCOUNT}

    async def ended() -> bool:
        path = f"/v1/jobs/{job_id}"
        answer = await cluster.ask("GET", entry, path, headers=headers)
        if answer is None or answer.status != 200:
            return False
        seen.update(answer.json())
        return seen["record"]["phase"] == "ended"

    await cluster_lib.until(ended, STEP_MS, f"job {job_id} ends")
    return seen["record"]


async def walk_job(
    cluster: cluster_lib.Cluster, console: Console, number: int, step: str
) -> None:
    """Step 3: a gang starts on all of its workers, or on none."""
    console.step = step
    job_id = f"rosters-{number}"
    await submit(cluster, "e1", job_id)
    record = await until_ended(cluster, "e2", job_id)
    check(record["result"] == "done", f"job ended as {record}")
    starts = [
        line
        for line in cluster.all_written("w")
        if line.event == "start" and line.subject == job_id
    ]
    names = sorted(line.source for line in starts)
    check(len(names) == 2, f"started on {names}, not on two workers")
    apart = starts[-1].monotonic_ms - starts[0].monotonic_ms
    console.say(
        f"job {job_id}, a gang of 16 adjacent accelerators, to entry e1",
        f"{record['result']} on {' and '.join(names)},"
        f" started {apart} ms apart",
    )


async def send(
    cluster: cluster_lib.Cluster, entry: str, request_id: str, idempotent: bool
) -> cluster_lib.Answer:
    """Sends one caller's request; returns the whole answer."""
    headers = {
        protocol.REQUEST_ID_HEADER: request_id,
        protocol.ACCOUNT_HEADER: ACCOUNT,
        protocol.IDEMPOTENT_HEADER: "true" if idempotent else "false",
        protocol.DEADLINE_HEADER: "10000",
    }
    body = f"gang for berth {request_id}"
    answer = await cluster.post(entry, REQUEST_PATH, body, headers)
    check(answer is not None, f"{entry} gave no answer to {request_id}")
    check(answer.status == 200, f"{answer.status} {answer.text}")
    check(answer.text.endswith(body), f"the answer is not whole: {answer}")
    outcome = answer.headers.get(protocol.OUTCOME_HEADER)
    check(outcome == "answered", f"outcome {outcome}")
    return answer


def executions(cluster: cluster_lib.Cluster, request_id: str) -> int:
    """Returns how often endpoints ran a request."""
    lines = cluster.all_written("p")
    return sum(line.subject == request_id for line in lines)


async def walk_requests(cluster: cluster_lib.Cluster, console: Console) -> None:
    """Step 4: requests through either entry, and a resend."""
    console.step = "4 requests"
    answer = await send(cluster, "e1", "tally-1", idempotent=True)
    console.say("idempotent request tally-1 to entry e1", answer.text)
    first = await send(cluster, "e2", "call-1", idempotent=False)
    console.say("request call-1, not idempotent, to entry e2", first.text)
    again = await send(cluster, "e1", "call-1", idempotent=False)
    check(again.text == first.text, f"{again.text!r} is not {first.text!r}")
    runs = executions(cluster, "call-1")
    check(runs == 1, f"call-1 ran {runs} times")
    console.say(
        "call-1 resent to entry e1", f"the same answer, {runs} execution"
    )


async def walk_leader_loss(
    cluster: cluster_lib.Cluster, console: Console
) -> None:
    """Step 5: the leading replica is killed; the path works again."""
    console.step = "5 leader lost"
    leader = await cluster.leader()
    check(leader, "no replica leads")
    cluster.children[leader].kill()
    killed = time.monotonic()
    ticket = {"number": 2, "accounts": [{"name": "day-tally"}]}
    await apply_ticket(cluster, "e2", ticket)
    took = time.monotonic() - killed
    console.say(
        f"SIGKILL to {leader}, ticket 2 to entry e2",
        f"accepted after {took:.1f} s",
    )
    answer = await cluster.get("e1", "/v1/tickets/1")
    check(answer and answer.status == 200, f"ticket 1 is gone: {answer}")
    kept = await send(cluster, "e1", "call-1", idempotent=False)
    runs = executions(cluster, "call-1")
    check(runs == 1, f"call-1 ran {runs} times")
    console.say(
        "ticket 1 and request call-1 again",
        f"ticket 1 is kept, call-1 is still answered {kept.text!r}",
    )
    await send(cluster, "e2", "call-2", idempotent=False)
    await walk_job(cluster, console, 2, "5 leader lost")


async def walk_checks(cluster: cluster_lib.Cluster, console: Console) -> None:
    """Step 6: the invariants that can be seen from outside hold."""
    console.step = "6 checks"
    broken = await cluster.broken()
    check(not broken, "; ".join(f"{b.invariant}: {b.detail}" for b in broken))
    console.say("the checks of status --check", "all invariants hold")


async def walk(cluster: cluster_lib.Cluster, console: Console) -> None:
    """Walks all steps, then stops all processes."""
    cluster.prepare()
    await cluster.start()
    console.say(
        "3 replicas, 2 entries, 3 agents, fake endpoints and workers",
        f"{len(cluster.children)} processes serve",
    )
    # Guarantees are admitted against the workers that have announced.
    await until_announced(cluster)
    await walk_ticket(cluster, console)
    await walk_announcements(cluster, console)
    await walk_job(cluster, console, 1, "3 gang")
    await walk_requests(cluster, console)
    await walk_leader_loss(cluster, console)
    await walk_checks(cluster, console)
    console.step = "stop"
    wrong = await cluster.stop()
    check(not wrong, "; ".join(wrong))
    console.say("SIGTERM to all", "all left with exit code 0")


def show_logs(folder: pathlib.Path) -> None:
    """Prints the end of each log, to find out why a step failed."""
    for log in sorted(folder.glob("*.log")):
        lines = log.read_text(errors="replace").splitlines()[-5:]
        for line in lines:
            print(f"  {log.stem}: {line[:400]}", file=sys.stderr)


async def demo() -> int:
    """Runs the demo; returns the exit code."""
    began = time.monotonic()
    console = Console()
    with tempfile.TemporaryDirectory(prefix="bilberryroute-demo-") as name:
        folder = pathlib.Path(name)
        async with cluster_lib.Cluster(folder, cluster_lib.Layout()) as cluster:
            try:
                await walk(cluster, console)
            except (StepFailed, TimeoutError) as exc:
                print(f"FAILED at step {console.step!r}: {exc}")
                show_logs(folder)
                return 1
    print(f"all steps passed in {time.monotonic() - began:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(demo()))
