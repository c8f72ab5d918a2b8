"""Invariants that can be judged from outside, on one status answer.

Each check yields what is broken; a bound of time lies between a change and
the moment at which it must be in force.
"""

import dataclasses
from collections.abc import Iterator

from bilberryroute.model import jobs
from bilberryroute.model import queries

IN_FORCE_MS = 7_000
OUT_BOUND_MS = 3_000
GANG_START_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Broken:
    """One invariant that does not hold.

    Attributes:
      invariant: Short name of the invariant.
      detail: What breaks it.
    """

    invariant: str
    detail: str


def evaluate(view: queries.StatusView) -> tuple[Broken, ...]:
    """Returns all that is broken in the system shown."""
    return (
        *_check_revisions(view),
        *_check_domains_out(view),
        *_check_gangs(view),
        *_check_guarantees(view),
    )


def _check_revisions(view: queries.StatusView) -> Iterator[Broken]:
    holders = [
        *(
            ("agent", a.name, a.revision)
            for a in view.agents
            if a.lease_left_ms
        ),
        *(("entry", e.name, e.revision) for e in view.entries),
    ]
    settled = view.now_ms - view.revision_since_ms > IN_FORCE_MS
    for role, name, revision in holders:
        if revision > view.revision:
            yield Broken(
                invariant="revision reverted",
                detail=f"{role} {name} has seen revision {revision}, the"
                f" leader is at {view.revision}",
            )
        if revision < view.revision and settled:
            yield Broken(
                invariant="revision not in force",
                detail=f"{role} {name} is at revision {revision} of"
                f" {view.revision}, {IN_FORCE_MS} ms have passed",
            )


def _check_domains_out(view: queries.StatusView) -> Iterator[Broken]:
    out = {d.name: d for d in view.failure_domains if not d.in_service}
    for gang in view.gangs:
        if gang.phase != jobs.JobPhase.RUNNING:
            continue
        for name in gang.failure_domains:
            domain = out.get(name)
            if domain is None:
                continue
            if gang.phase_since_ms > domain.since_ms + OUT_BOUND_MS:
                yield Broken(
                    invariant="start in a failure domain that is out",
                    detail=f"job {gang.job_id} started in {name}"
                    f" {gang.phase_since_ms - domain.since_ms} ms after it"
                    " was taken out",
                )


def _check_gangs(view: queries.StatusView) -> Iterator[Broken]:
    for gang in view.gangs:
        missing = gang.tasks - gang.running - gang.ended
        if not gang.running or not missing:
            continue
        if view.now_ms - gang.phase_since_ms > GANG_START_MS:
            yield Broken(
                invariant="gang in part",
                detail=f"job {gang.job_id}, attempt {gang.attempt}:"
                f" {gang.running} of {gang.tasks} tasks run,"
                f" {missing} are not seen",
            )


def _check_guarantees(view: queries.StatusView) -> Iterator[Broken]:
    for sentence in view.shortfalls:
        yield Broken(invariant="guarantee short of capacity", detail=sentence)
    for sentence in view.violations:
        yield Broken(invariant="scheduler", detail=sentence)
