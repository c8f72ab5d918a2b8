"""Judges the rule LOST for jobs of one step, as their clients see them."""

import asyncio
import time

from review.harness2 import system as system_lib

FINISH_S = 14
IDLE_S = 3.0
CPU = 32000


def running(events, at):
    """Returns what runs at a moment, as (runner, task, run)."""
    now = set()
    for each in events:
        if each["at"] > at:
            break
        if each["event"] == "born":
            now = {row for row in now if row[0] != each["runner"]}
        elif each["event"] == "start":
            now.add((each["runner"], each["task"], each["run"]))
        elif "task" in each:
            now.discard((each["runner"], each["task"], each["run"]))
    return now


def _ran_within(events, job, since, until):
    """Returns whether a task of a job ran at any time of a span."""
    if any(task.startswith(job) for _, task, _ in running(events, since)):
        return True
    return any(
        each["event"] == "start"
        and since <= each["at"] <= until
        and each["task"].startswith(job)
        for each in events
    )


async def judge(system, jobs):
    """Returns how the rule is broken, one line each.

    Asks `FINISH_S` after the traffic has ended, and once more `IDLE_S` later.

    Args:
      system: The deployment.
      jobs: Accepted jobs: id, queue, key, count of tasks, and cpu of each.
    """
    broken = []
    open_jobs = []
    answers = await asyncio.gather(
        *(system.ask("GET", job["queue"], job["id"], job["key"]) for job in jobs)
    )
    for job, (status, text) in zip(jobs, answers, strict=True):
        job["state"] = text if status == 200 else f"status {status}"
        if status == 410:
            broken.append(f"job {job['id']}: a GET was answered 410")
        elif status != 200:
            broken.append(f"job {job['id']}: no answer in time ({status})")
        elif "completed" not in text:
            open_jobs.append(job)
    since = time.monotonic()
    await asyncio.sleep(IDLE_S + 0.5)
    until = since + IDLE_S
    events = system.events()
    cpu = {job["id"]: job["cpu"] for job in jobs}
    used = sum(
        cpu.get(task.split(".")[0], 0) for _, task, _ in running(events, since)
    )
    total = CPU * len(system.sides)
    system.note(
        f"{len(jobs)} jobs asked for, {len(open_jobs)} not completed;"
        f" {used} of {total} thousandths of a core in use"
    )
    for job in open_jobs:
        twice = total - used >= 2 * job["count"] * job["cpu"]
        if (
            twice
            and 2 * used < total
            and not _ran_within(events, job["id"], since, until)
        ):
            broken.append(
                f"job {job['id']}: state {job['state']}, nothing ran for"
                f" {IDLE_S:.0f} s, {used} of {total} in use"
            )
    return broken
