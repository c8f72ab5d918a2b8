"""A route is replaced at its place; jobs that it accepted are asked for."""

import asyncio
import sys
import time

from review.harness2 import system as system_lib

CASE = sys.argv[1]
KEY = "a" * 20
STEP = {"count": 1, "cpu": 1000, "memRequestMb": 64, "estimateMs": 2000}
# The second step's turn comes after the change.
STEPS = [STEP, {**STEP, "dependsOn": [0]}]
JOBS = 4
VISIBLE_S = 3.0
APPLY_S = 2.0
WATCHED_S = 14


async def play(system, trouble):
    """Hands in jobs, then sends a version with another route at their place."""
    await system.start()
    tenants = [{"name": "tenant-a", "apiKeys": [KEY]}]
    old = {"plans": {"priority": 1, "name": "r-3ajwyy7"}}
    new = {"plans": {"priority": 1, "name": "r-zzyyjsg"}}
    await system.configure(1, tenants, old)
    jobs = []
    for _ in range(JOBS):
        job = system_lib.new_id()
        body = {"spec": "ms=2000", "steps": STEPS}
        status, _ = await system.ask("POST", "plans", job, KEY, body)
        if status == 200:
            jobs.append(job)
    accepted = time.monotonic()
    if len(jobs) != JOBS:
        raise system_lib.CannotRun(f"{len(jobs)} of {JOBS} jobs were accepted")
    await asyncio.sleep(1)
    changed = await system.configure(2, tenants, new if trouble else old)
    await asyncio.sleep(max(VISIBLE_S + accepted, APPLY_S + changed) - time.monotonic())
    broken = []
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        for job in jobs:
            status, text = await system.ask("GET", "plans", job, KEY)
            if status == 410:
                broken.append(
                    f"a GET for the accepted job {job} was answered 410"
                    f" {time.monotonic() - accepted:.1f} s after its"
                    " acknowledgement; nobody has cancelled it"
                )
        await asyncio.sleep(2)
    events = system.events()
    for job in jobs:
        second = [e for e in events if e.get("task", "").startswith(f"{job}.0.1.")]
        system.note(f"job {job}: its second step {'ran' if second else 'never began'}")
    return broken


system_lib.main(play, CASE)
