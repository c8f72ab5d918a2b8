"""Jobs that wait for a worker that never carries out an order."""

from bilberryroute.agent import worker_port
from tests.scheduling import run_model
from tests.utils import batches

# A job of which nothing runs for so long counts as lost if there is room for it
# twice over and less than half of the capacity is in use.
LOST_AFTER_MS = 3_000
SETTLE_ROUNDS = 2


class BusyWorker(run_model.ModelWorker):
    """Lists its runs, but refuses every start for the moment."""

    def execute(self, order):
        if order.kind != "start":
            return super().execute(order)
        self.clock_ms += 1
        return worker_port.StartVerdict.BUSY


def test_job_does_not_wait_for_a_worker_that_refuses_every_start():
    """The other three workers are idle."""
    system = run_model.System(("w1", "w2", "w3", "w4"))
    agent = system.agents["w1"]
    agent.worker = BusyWorker("w1", agent.worker.check_start)
    for agent in system.agents.values():
        system.sync(agent)
    system.log.submit("j1", batches.content(batches.step(1, 8)))
    rounds = LOST_AFTER_MS // run_model.ROUND_MS + SETTLE_ROUNDS
    for _ in range(rounds):
        system.run_leader_round()
        for agent in system.agents.values():
            system.sync(agent)
    running = [a for a in system.agents.values() if a.worker.running]
    assert len(running) == 1
