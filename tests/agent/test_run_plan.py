"""What an agent orders of its worker, and what it reports."""

import pytest

from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_port
from bilberryroute.model import batch
from bilberryroute.model import wire
from tests.utils import batches

KEY = (batches.task(), 1)
Phase = run_plan.RunPhase


def desired(stop=False, run=1, worker=None) -> wire.DesiredRun:
    return wire.DesiredRun(
        task=batches.task(),
        run=run,
        worker=worker or batches.ref(),
        stop=stop,
    )


def listing(clock_ms=100, running=(), ends=()) -> worker_port.Listing:
    return worker_port.Listing(
        born=1,
        clock_ms=clock_ms,
        running=tuple(wire.RunReport(task=t, run=r) for t, r in running),
        ends=tuple(
            wire.EndReport(
                number=1, task=t, run=r, outcome=batch.RunOutcome.DONE
            )
            for t, r in ends
        ),
    )


def view(*runs, **more) -> run_plan.RunPlanInput:
    defaults = {
        "worker": batches.ref(),
        "desired": runs,
        "covered": True,
        "may_start": True,
        "closed": False,
        "payloads": frozenset({"j1"}),
        "listing": listing(),
        "progress": {},
    }
    return run_plan.RunPlanInput(**(defaults | more))


def progress(**fields):
    return {KEY: run_plan.RunProgress(**fields)}


def test_desired_run_is_started():
    assert run_plan.actions(view(desired())) == [
        run_plan.StartRun(run=desired())
    ]


@pytest.mark.parametrize(
    "change",
    [
        {"may_start": False},
        {"payloads": frozenset()},
        {"progress": progress(call_in_flight=True)},
        {"progress": progress(phase=Phase.STARTED)},
        {"listing": listing(running=[KEY])},
        {"listing": listing(ends=[KEY])},
        {"worker": batches.ref(born=2)},
    ],
)
def test_run_is_not_started(change):
    assert run_plan.actions(view(desired(), **change)) == []


def test_unwanted_run_is_stopped_also_if_it_never_came():
    assert run_plan.actions(view(desired(stop=True))) == [
        run_plan.StopRun(key=KEY)
    ]


def test_refused_run_is_barred():
    state = progress(phase=Phase.REFUSED)
    assert run_plan.actions(view(desired(), progress=state)) == [
        run_plan.StopRun(key=KEY)
    ]


def test_run_that_has_not_begun_is_barred_on_a_closed_worker():
    found = run_plan.actions(view(desired(), closed=True, may_start=False))
    assert found == [run_plan.StopRun(key=KEY)]


@pytest.mark.parametrize("covered", [True, False])
def test_run_of_nobody_is_stopped_on_a_leaders_word_only(covered):
    seen = view(listing=listing(running=[KEY]), covered=covered)
    expected = [run_plan.StopRun(key=KEY)] if covered else []
    assert run_plan.actions(seen) == expected


@pytest.mark.parametrize("phase", [Phase.BARRED, Phase.STARTED])
def test_run_that_a_later_list_lacks_is_over(phase):
    state = progress(phase=phase, clock_ms=99)
    ends = run_plan.inferred_ends(view(desired(), progress=state))
    assert [end.outcome for end in ends] == [batch.RunOutcome.ABSENT]


@pytest.mark.parametrize(
    "change",
    [
        {"progress": {}},
        {"progress": progress(phase=Phase.BARRED, clock_ms=100)},
        {"progress": progress(phase=Phase.PENDING, clock_ms=1)},
        {"progress": progress(phase=Phase.BARRED, call_in_flight=True)},
        {
            "progress": progress(phase=Phase.BARRED, clock_ms=1),
            "listing": listing(running=[KEY]),
        },
        {
            "progress": progress(phase=Phase.BARRED, clock_ms=1),
            "listing": listing(ends=[KEY]),
        },
    ],
)
def test_run_is_not_given_up_without_proof(change):
    assert run_plan.inferred_ends(view(desired(), **change)) == ()


@pytest.mark.parametrize(
    "verdict, phase",
    [
        ("started", Phase.STARTED),
        ("old", Phase.BARRED),
        ("no_room", Phase.REFUSED),
        ("invalid", Phase.REFUSED),
        ("fenced", Phase.PENDING),
        ("late", Phase.PENDING),
        ("busy", Phase.PENDING),
    ],
)
def test_verdicts_settle_the_phase(verdict, phase):
    state = run_plan.RunProgress()
    answer = worker_port.StartAnswer(
        verdict=worker_port.StartVerdict(verdict), clock_ms=5
    )
    run_plan.apply_start_answer(state, answer)
    assert state.phase == phase
