import dataclasses

import pytest

from bilberryroute.cli import checks
from bilberryroute.model import jobs
from bilberryroute.model import queries

NOW_MS = 100_000

AGENT = queries.AgentView(
    name="a1",
    incarnation="1",
    failure_domain="apapa",
    revision=5,
    lease_left_ms=2_000,
)
GANG = queries.GangView(
    job_id="j1",
    account="trust",
    attempt=1,
    phase=jobs.JobPhase.RUNNING,
    phase_since_ms=NOW_MS - 10_000,
    failure_domains=("apapa",),
    tasks=2,
    running=2,
)
HEALTHY = queries.StatusView(
    term=1,
    leader_id="r1",
    revision=5,
    now_ms=NOW_MS,
    revision_since_ms=NOW_MS - 20_000,
    agents=(AGENT,),
    entries=(queries.EntryView(name="e1", revision=5),),
    failure_domains=(queries.DomainView(name="apapa", in_service=True),),
    gangs=(GANG,),
)


def changed(view, **changes):
    return dataclasses.replace(view, **changes)


def out_since(since_ms):
    domain = queries.DomainView(
        name="apapa", in_service=False, since_ms=since_ms
    )
    return changed(HEALTHY, failure_domains=(domain,))


@pytest.mark.parametrize(
    "view",
    [
        HEALTHY,
        changed(HEALTHY, revision=6, revision_since_ms=NOW_MS - 1_000),
        changed(HEALTHY, agents=(changed(AGENT, revision=2, lease_left_ms=0),)),
        changed(HEALTHY, gangs=(changed(GANG, running=1, ended=1),)),
        changed(HEALTHY, gangs=(changed(GANG, running=0),)),
        changed(
            HEALTHY,
            gangs=(changed(GANG, running=1, phase_since_ms=NOW_MS - 1_000),),
        ),
        out_since(NOW_MS - 9_000),
        out_since(NOW_MS - 12_000),
    ],
)
def test_healthy_system(view):
    assert checks.evaluate(view) == ()


@pytest.mark.parametrize(
    ("view", "invariant"),
    [
        (changed(HEALTHY, revision=6), "revision not in force"),
        (changed(HEALTHY, revision=4), "revision reverted"),
        (
            changed(HEALTHY, gangs=(changed(GANG, running=1),)),
            "gang in part",
        ),
        (out_since(NOW_MS - 13_001), "start in a failure domain that is out"),
        (
            changed(HEALTHY, shortfalls=("trust: 1 x 8 do not fit",)),
            "guarantee short of capacity",
        ),
        (changed(HEALTHY, violations=("overlap",)), "scheduler"),
    ],
)
def test_broken_invariant_is_named(view, invariant):
    assert {each.invariant for each in checks.evaluate(view)} == {invariant}
