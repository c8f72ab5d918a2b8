"""Explores random schedules of batch runs against their invariants.

`hypothesis` shrinks a schedule that violates one. `EXPLORE_RUNS=first:count`
selects other seeds.
"""

import os
import random
from typing import NamedTuple

import hypothesis
import pytest
from hypothesis import strategies as st

from bilberryroute.agent import run_plan
from bilberryroute.model import batch
from bilberryroute.state import batch_runs as run_rules
from tests.scheduling import run_model
from tests.utils import batches

_FIRST_SEED, _SEED_COUNT = map(
    int, os.environ.get("EXPLORE_RUNS", "0:400").split(":")
)
_MUTANT_SEEDS = 300
_SCHEDULE_LENGTH = 120

CONTENTS = (
    batches.content(batches.step(1, 4)),
    batches.content(batches.step(3, 3)),
    batches.content(batches.step(2, 8, gang=True)),
    batches.content(batches.step(2, 2), batches.step(1, 2, depends_on=(0,))),
    batches.content(batches.step(2, 0, fills=True), batches.step(2, 5)),
)
QUEUES = ("urgent", "planned", "nightly")
CAPACITIES = tuple(
    batch.Resources(
        cpu_millis=4_000 * accelerators,
        memory_mb=8_000 * accelerators,
        accelerators=accelerators,
    )
    for accelerators in (8, 6, 4, 2)
)
MAX_JOBS = 6


class ScheduleStep(NamedTuple):
    """One step of a schedule: an event with its arguments.

    Attributes:
      name: Method of `Player` that plays the event.
      worker: Name of the worker whose agent the event concerns.
      pick: Selects a job, an order or a run, as the event needs.
      flag: Selects a variant of the event.
    """

    name: str
    worker: str
    pick: int
    flag: bool


class Player:
    """Plays schedules on a `run_model.System`, which checks the invariants."""

    def __init__(self):
        self.system = run_model.System()
        for agent in self.system.agents.values():
            agent.accept_listing(agent.worker.listing(0))
            self.system.receive_report(agent)
        self.system.log.submit("j0", CONTENTS[1], "nightly")
        self.system.log.submit("j1", CONTENTS[2], "planned")

    def play(self, steps: list[ScheduleStep]) -> None:
        """Plays all steps, then runs without faults until all jobs end."""
        for step in steps:
            getattr(self, step.name)(step, self.system.agents[step.worker])
        self.system.run_to_completion()

    def submit(self, step, agent):
        jobs = self.system.held.jobs
        if len(jobs) < MAX_JOBS:
            self.system.log.submit(
                f"j{len(jobs)}",
                CONTENTS[step.pick % len(CONTENTS)],
                QUEUES[step.pick % len(QUEUES)],
            )

    def cancel(self, step, agent):
        record = self.system.held.jobs.get(f"j{step.pick}")
        if record is not None:
            self.system.log.cancel(record.id, record.queue)

    def run_leader_round(self, step, agent):
        self.system.run_leader_round()

    def run_round(self, step, agent):
        """Runs one round without faults, so that schedules make progress."""
        self.system.run_leader_round()
        for each in self.system.agents.values():
            self.system.sync(each)

    def change_leader(self, step, agent):
        self.system.change_leader()

    def send_orders(self, step, agent):
        """Sends orders by the current desired state, or by an older one."""
        if step.flag:
            self.system.update_agent(agent)
        agent.send_orders()

    def deliver(self, step, agent):
        self._deliver(step, agent, answered=True)

    def deliver_unanswered(self, step, agent):
        self._deliver(step, agent, answered=False)

    def _deliver(self, step, agent, *, answered):
        if agent.orders:
            order = agent.orders[step.pick % len(agent.orders)]
            agent.deliver(order, again=step.flag, answered=answered)

    def stop_awaiting(self, step, agent):
        if agent.orders:
            agent.stop_awaiting(agent.orders[step.pick % len(agent.orders)])

    def report(self, step, agent):
        """Reports without a new listing, as an agent does after an answer."""
        self.system.receive_report(agent)

    def list_runs(self, step, agent):
        listing = agent.worker.listing(agent.committed)
        if step.flag:  # A newer listing arrives first.
            agent.accept_listing(agent.worker.listing(agent.committed))
        agent.accept_listing(listing)
        self.system.receive_report(agent)

    def end(self, step, agent):
        worker = agent.worker
        if worker.running:
            running = sorted(worker.running, key=str)
            outcomes = batch.RunOutcome
            worker.end(
                running[step.pick % len(running)],
                outcomes.FAILED if step.flag else outcomes.DONE,
            )

    def drain(self, step, agent):
        agent.draining = step.flag

    def resize(self, step, agent):
        """Changes a worker's capacity; its agent hears of it at once or later."""
        agent.worker.capacity = CAPACITIES[step.pick % len(CAPACITIES)]
        if step.flag:
            agent.accept_announcement()

    def announce(self, step, agent):
        agent.accept_announcement()


# Relative frequency of each event, chosen so that schedules make progress.
WEIGHTS = {
    "submit": 2,
    "cancel": 1,
    "run_leader_round": 4,
    "run_round": 2,
    "change_leader": 1,
    "send_orders": 5,
    "deliver": 6,
    "deliver_unanswered": 2,
    "stop_awaiting": 2,
    "report": 3,
    "list_runs": 4,
    "end": 2,
    "drain": 1,
    "resize": 3,
    "announce": 2,
}
NAMES = [name for name, weight in WEIGHTS.items() for _ in range(weight)]
WORKERS = ("w1", "w2")

steps = st.builds(
    ScheduleStep,
    name=st.sampled_from(NAMES),
    worker=st.sampled_from(WORKERS),
    pick=st.integers(min_value=0, max_value=7),
    flag=st.booleans(),
)


def random_schedule(seed: int) -> list[ScheduleStep]:
    """Returns the schedule of a seed."""
    rng = random.Random(seed)
    return [
        ScheduleStep(
            name=rng.choice(NAMES),
            worker=rng.choice(WORKERS),
            pick=rng.randrange(8),
            flag=rng.random() < 0.5,
        )
        for _ in range(_SCHEDULE_LENGTH)
    ]


def test_no_schedule_breaks_a_rule():
    for seed in range(_FIRST_SEED, _FIRST_SEED + _SEED_COUNT):
        try:
            Player().play(random_schedule(seed))
        except run_model.InvariantViolation as exc:
            exc.add_note(f"seed {seed}")
            raise


@hypothesis.settings(
    max_examples=150,
    deadline=None,
    database=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(st.lists(steps, max_size=60))
def test_no_short_schedule_breaks_a_rule(chosen):
    Player().play(chosen)


def test_run_that_no_longer_fits_its_worker_runs_on_another():
    system = run_model.System()
    first, second = system.agents.values()
    system.sync(first)
    system.log.submit("j0", batches.content(batches.step(1, 4)))
    system.run_leader_round()
    first.worker.capacity = CAPACITIES[-1]
    first.accept_announcement()
    for _ in range(4):
        system.sync(first)
        system.sync(second)
        system.run_leader_round()
    system.sync(second)
    assert not first.worker.running
    assert list(second.worker.running) == [batches.task("j0")]


def test_job_does_not_move_for_ever_because_a_capacity_flaps():
    """Its worker has shrunk again whenever a run is to start."""
    system = run_model.System()
    first, second = system.agents.values()
    for each in (first, second):
        system.sync(each)
    system.log.submit("j0", batches.content(batches.step(1, 4)))
    for _ in range(10):
        system.run_leader_round()
        first.worker.capacity = CAPACITIES[-1]
        for _ in range(2):
            for each in (first, second):
                system.sync(each)
            system.run_leader_round()
            if first.worker.running or second.worker.running:
                return
        first.worker.capacity = run_model.FULL_CAPACITY
        for each in (first, second):
            system.sync(each)
    task = system.held.jobs["j0"].task(batches.task("j0"))
    pytest.fail(f"not at work after {task.run} placements")


def _place_before_the_end_is_committed(patch):
    """Places the next run while the previous one is still being stopped."""
    original = run_rules.stop_runs

    def stop(held, command):
        result = original(held, command)
        for each in command.runs:
            task = run_rules._active_task(held, each.task, each.run)
            if task is not None:
                run_rules._clear_placement(held, task, each.task)
        return result

    patch.setattr(run_rules, "stop_runs", stop)


def _accept_a_stale_listing(patch):
    """Treats a run as ended if any listing, however old, lacks it."""
    original = run_plan.inferred_ends

    def inferred_ends(view):
        for state in view.progress.values():
            state.clock_ms = 0
        return original(view)

    patch.setattr(run_plan, "inferred_ends", inferred_ends)


def _treat_an_unanswered_start_as_not_run(patch):
    """Treats a start without an answer as one that did not happen."""
    original = run_model.ModelAgent.stop_awaiting

    def stop_awaiting(self, order):
        awaited = order.awaited
        original(self, order)
        state = self.life.progress_of(order.key)
        if awaited and state.phase == run_plan.RunPhase.PENDING:
            state.phase = run_plan.RunPhase.BARRED
            state.clock_ms = 0

    patch.setattr(run_model.ModelAgent, "stop_awaiting", stop_awaiting)


def _start_beyond_the_capacity(patch):
    """Starts every placed run, whatever its worker announces."""
    patch.setattr(run_plan, "held_starts", lambda view: frozenset())


MUTANTS = (
    _start_beyond_the_capacity,
    _place_before_the_end_is_committed,
    _accept_a_stale_listing,
    _treat_an_unanswered_start_as_not_run,
)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.__name__)
def test_exploration_fails_without(mutant, monkeypatch):
    mutant(monkeypatch)
    with pytest.raises(run_model.InvariantViolation):
        for seed in range(_MUTANT_SEEDS):
            Player().play(random_schedule(seed))
