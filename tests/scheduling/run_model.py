"""A whole system of batch runs without time or I/O, for exploration.

The leader's decisions, the state machine and the agents' plans are the real
ones. Workers and the network between them and their agents are modelled:
orders may be carried out late, again, out of order, and without an answer.
"""

import dataclasses

from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_life
from bilberryroute.agent import worker_port
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import wire
from bilberryroute.replica import batch_ends
from bilberryroute.replica import batch_upkeep
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import desired as desired_lib
from bilberryroute.scheduling.batch import planner
from tests.utils import batches

MAX_ATTEMPTS = 2
MANY_ROUNDS = 400
# Some rounds until a guaranteed job has waited long enough to stop others.
ROUND_MS = 500


class Violation(AssertionError):
    """A rule is broken."""


@dataclasses.dataclass(slots=True)
class Order:
    """An order on its way to a worker.

    Attributes:
      awaited: Whether the agent still waits for the answer.
    """

    kind: str
    key: run_plan.RunKey
    fence: int
    awaited: bool = True


class ModelWorker:
    """A worker as the platform's pages describe it.

    Attributes:
      guards: What must hold when a run begins.
    """

    def __init__(self, name: str, guards):
        self.name = name
        self.guards = guards
        self.clock_ms = 0
        self.fence = 0
        self.running: dict[batch.TaskId, int] = {}
        self.barred: dict[batch.TaskId, int] = {}
        self.ends: list[wire.EndReport] = []
        self.count = 0

    def carry_out(self, order: Order) -> worker_port.StartVerdict | None:
        """Carries an order out; returns the verdict on a start."""
        self.clock_ms += 1
        if order.fence < self.fence:
            return worker_port.StartVerdict.FENCED
        self.fence = order.fence
        task, run = order.key
        if order.kind == "stop":
            self._stop(task, run)
            return None
        if self.running.get(task) == run:
            return worker_port.StartVerdict.STARTED
        if run <= self.barred.get(task, 0) or task in self.running:
            return worker_port.StartVerdict.OLD
        self.guards(self, task)
        self.running[task] = run
        return worker_port.StartVerdict.STARTED

    def _stop(self, task: batch.TaskId, run: int) -> None:
        self.barred[task] = max(run, self.barred.get(task, 0))
        if self.running.get(task, run + 1) <= run:
            self.end(task, batch.RunOutcome.STOPPED)

    def end(self, task: batch.TaskId, outcome: batch.RunOutcome) -> None:
        """Ends a run."""
        run = self.running.pop(task)
        self.barred[task] = max(run, self.barred.get(task, 0))
        self.count += 1
        self.ends.append(
            wire.EndReport(
                number=self.count, task=task, run=run, outcome=outcome
            )
        )

    def listing(self, committed: int) -> worker_port.Listing:
        """Forgets committed ends and returns both lists."""
        self.clock_ms += 1
        self.ends = [end for end in self.ends if end.number > committed]
        return worker_port.Listing(
            born=1,
            clock_ms=self.clock_ms,
            running=tuple(
                wire.RunReport(task=task, run=run)
                for task, run in self.running.items()
            ),
            ends=tuple(self.ends),
        )


class ModelAgent:
    """An agent's part: its view, its plan, and orders on their way."""

    def __init__(self, worker: ModelWorker):
        self.worker = worker
        self.desired: tuple[wire.DesiredRun, ...] = ()
        self.committed = 0
        self.term = 1
        self.orders: list[Order] = []
        self.draining = False
        capacity = batches.worker().capacity
        self.life = worker_life.WorkerIncarnation(
            announced=worker_port.BatchWorkerAnnouncement(
                name=worker.name,
                born=1,
                sequence=1,
                address="",
                pool="pool",
                failure_domain="apapa",
                rack="r1",
                labels=(),
                capacity=capacity,
            )
        )

    def act(self) -> None:
        """Sends the orders that its plan asks for."""
        if self.life.listing is None:
            return
        for action in run_plan.actions(self._view()):
            match action:
                case run_plan.StartRun(run=run):
                    self._send("start", (run.task, run.run))
                case run_plan.StopRun(key=key):
                    self._send("stop", key)

    def _send(self, kind: str, key: run_plan.RunKey) -> None:
        self.life.progress_of(key).call_in_flight = True
        self.orders.append(Order(kind, key, self.term))

    def deliver(self, order: Order, *, again: bool, answered: bool) -> None:
        """Carries an order out, perhaps without an answer, or to be repeated."""
        if not again:
            self.orders.remove(order)
        verdict = self.worker.carry_out(order)
        if order.awaited and answered:
            self._take_answer(order, verdict)
        self.give_up(order)

    def _take_answer(self, order: Order, verdict) -> None:
        state = self.life.progress_of(order.key)
        if verdict is not None:
            answer = worker_port.StartAnswer(
                verdict=verdict, clock_ms=self.worker.clock_ms
            )
            run_plan.apply_start_answer(state, answer)
        elif order.fence == self.worker.fence:
            state.phase = run_plan.RunPhase.BARRED
            state.clock_ms = self.worker.clock_ms

    def give_up(self, order: Order) -> None:
        """Waits no longer for an answer; the order may be carried out yet."""
        if order.awaited:
            order.awaited = False
            self.life.progress_of(order.key).call_in_flight = False

    def take(self, listing: worker_port.Listing) -> None:
        """Takes in a listing, unless it was overtaken."""
        known = self.life.listing
        if known is None or listing.clock_ms > known.clock_ms:
            self.life.listing = listing

    def report(self) -> wire.WorkerReport:
        """Returns what the leader is told."""
        listing = self.life.listing
        report = self.life.report(
            listing.ends + run_plan.inferred_ends(self._view())
        )
        return dataclasses.replace(
            report, draining=self.draining, remaining_ms=0
        )

    def _view(self) -> run_plan.RunPlanInput:
        return run_plan.RunPlanInput(
            worker=batches.ref(self.worker.name),
            desired=self.desired,
            covered=True,
            may_start=not self.draining,
            closed=self.draining,
            payloads=frozenset(run.task.job_id for run in self.desired),
            listing=self.life.listing,
            progress=self.life.progress,
        )


class System:
    """Leader, log, agents and workers.

    Attributes:
      agents: By the worker's name.
    """

    def __init__(self, names: tuple[str, ...] = ("w1", "w2")):
        self.log = batches.Log()
        self.term = 1
        self.board = board_lib.new_board()
        self.agents = {
            name: ModelAgent(ModelWorker(name, self._may_begin))
            for name in names
        }

    @property
    def held(self) -> batch.BatchState:
        return self.log.held

    def _may_begin(self, worker: ModelWorker, task_id: batch.TaskId) -> None:
        """Raises `Violation` if a run must not begin now."""
        for agent in self.agents.values():
            if task_id in agent.worker.running:
                raise Violation(f"two runs of {task_id}")
        record = self.held.jobs[task_id.job_id]
        steps = record.occurrences[task_id.occurrence]
        task = steps[task_id.step].tasks[task_id.index]
        if task.state == batch.TaskState.DONE:
            raise Violation(f"{task_id} begins after it was done")
        if task.failed >= MAX_ATTEMPTS:
            raise Violation(f"{task_id} begins beyond its attempts")
        step = record.content.steps[task_id.step]
        if not all(steps[each].finished() for each in step.depends_on):
            raise Violation(f"{task_id} begins before what it depends on")
        need = step.need
        for other in worker.running:
            content = self.held.jobs[other.job_id].content
            need = need.plus(content.steps[other.step].need)
        if not batches.worker().capacity.holds(need):
            raise Violation(f"{worker.name} is overdrawn by {task_id}")

    def hear(self, agent: ModelAgent) -> None:
        """Has the leader take in an agent's report."""
        if agent.life.listing is not None:
            self.board.batch_workers.get()[agent.worker.name] = (
                board_lib.BatchWorker(
                    agent=f"a-{agent.worker.name}",
                    report=agent.report(),
                    heard_ms=0,
                )
            )

    def grant(self, agent: ModelAgent) -> None:
        """Has an agent take in what the leader wants and has committed."""
        name = f"a-{agent.worker.name}"
        agent.desired = desired_lib.runs_of(self.held, name)
        agent.term = self.term
        known = self.board.committed_ends
        agent.committed = known.get((agent.worker.name, 1), 0)

    def lead(self) -> None:
        """Plays one round of the leader."""
        ends = tuple(
            batching.RunEnd(
                task=end.task, run=end.run, outcome=end.outcome, saved=""
            )
            for _, end, _ in batch_ends.reported(self.held, self.board)
        )
        if ends:
            self.log.apply(batching.EndRuns(ends=ends, at_ms=self.log.now))
        batch_ends.note_committed(self.held, self.board)
        reports = self.board.batch_workers.get()
        workers = [
            batches.worker(name, open=not known.report.draining)
            for name, known in reports.items()
        ]
        corrections = batch_upkeep.stops(self.held, reports, {})
        plan = planner.plan(self.held, workers, {}, self.log.now)
        runs = (*corrections, *plan.stops)
        if runs:
            self.log.apply(batching.StopRuns(runs=runs, at_ms=self.log.now))
        if plan.units:
            self.log.place(*plan.units)
        self.log.now += ROUND_MS

    def change_leader(self) -> None:
        """Has another replica lead, which has heard no report yet."""
        self.term += 1
        self.board = board_lib.new_board()

    def settle(self) -> None:
        """Ends all faults and plays on until every job has ended."""
        for _ in range(MANY_ROUNDS):
            for agent in self.agents.values():
                agent.draining = False
                for task in list(agent.worker.running):
                    agent.worker.end(task, batch.RunOutcome.DONE)
                self.serve(agent)
            self.lead()
            if self._over():
                return
        raise Violation("jobs do not end")

    def serve(self, agent: ModelAgent) -> None:
        """Has an agent and its worker do all they can, without a fault."""
        self.grant(agent)
        agent.take(agent.worker.listing(agent.committed))
        agent.act()
        for order in list(agent.orders):
            agent.deliver(order, again=False, answered=True)
        agent.take(agent.worker.listing(agent.committed))
        self.hear(agent)

    def _over(self) -> bool:
        quiet = not any(
            agent.orders or agent.worker.running
            for agent in self.agents.values()
        )
        ended = all(r.result is not None for r in self.held.jobs.values())
        return quiet and ended and not self.held.placed
