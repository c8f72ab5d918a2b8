"""Test harness: a scheduler with a manual clock and instant workers."""

import random

from bilberryroute import clock
from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import events
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import scheduler

DOMAINS = ("apapa", "tincan", "lekki")


def worker(name, rack="r1", domain="apapa", accelerators=8, incarnation="1"):
    return jobs.Worker(
        name=name,
        incarnation=incarnation,
        agent=f"agent-{name}",
        rack=rack,
        failure_domain=domain,
        accelerators=accelerators,
        cores=accelerators * 4,
        memory_mb=accelerators * 8_192,
    )


def shape(accelerators, adjacency="rack", copies=1, domain=""):
    return config.Shape(
        accelerators=accelerators,
        adjacency=config.Adjacency(adjacency),
        copies=copies,
        failure_domain=domain,
    )


def configuration(accounts=(), out=()):
    return config.Configuration(
        revision=1,
        accounts={each.name: each for each in accounts},
        failure_domains={
            name: config.FailureDomain(name=name, in_service=name not in out)
            for name in DOMAINS
        },
    )


def account(name, *guarantees, weight=1):
    return config.ClientAccount(name=name, guarantees=guarantees, weight=weight)


class Session:
    """Feeds events to a scheduler and applies its decisions as a leader would.

    Attributes:
      decided: All decisions so far.
      places: Current placement of each placed job, by job id.
      stops: Decisions to stop that are not yet confirmed, by job id.
    """

    def __init__(self, policy=None, cfg=None, workers=()):
        self.clock = clock.ManualClock()
        self.scheduler = scheduler.Scheduler(
            policy or policies.Policy(), random.Random(1)
        )
        self.decided = []
        self.places = {}
        self.stops = {}
        self.observe(
            events.ConfigurationChanged(configuration=cfg or configuration())
        )
        for each in workers:
            self.observe(events.WorkerJoined(worker=each))
        self.decide(10_000)

    def observe(self, event):
        """Passes an event to the scheduler."""
        self.scheduler.observe(event, self.clock.now())

    def decide(self, advance=100):
        """Makes and records decisions, and checks the invariants."""
        self.clock.advance(advance)
        decided = self.scheduler.decide(self.clock.now())
        self.decided += decided
        for each in decided:
            match each:
                case decisions.PlaceAttempt():
                    self.places[each.job_id] = each
                case decisions.StopAttempt() | decisions.Fail():
                    self.stops[each.job_id] = each
                    self.places.pop(each.job_id, None)
        assert self.scheduler.check() == []
        return decided

    def submit(self, job_id, accelerators, owner="a", kind="planned", **fields):
        """Queues a job."""
        adjacency = fields.pop("adjacency", "rack")
        domain = fields.pop("domain", "")
        fields.setdefault("declared_ms", 60_000)
        job = jobs.Job(
            id=job_id,
            account=owner,
            kind=jobs.JobKind(kind),
            shape=shape(accelerators, adjacency, domain=domain),
            submitted_ms=self.clock.now(),
            **fields,
        )
        self.observe(events.JobQueued(record=jobs.JobRecord(job=job)))

    def start(self, job_id):
        """Reports that all tasks of a placed job started."""
        place = self.places[job_id]
        self.observe(events.JobStarted(job_id=job_id, attempt=place.attempt))

    def run(self, job_id, accelerators, owner="a", kind="planned", **fields):
        """Queues a job, has it placed and starts it."""
        self.submit(job_id, accelerators, owner, kind, **fields)
        self.decide()
        self.start(job_id)

    def finish(self, job_id):
        """Ends all tasks of a job and releases it."""
        place = self.places.pop(job_id)
        for each in place.assignments:
            self.end_task(job_id, place.attempt, each.worker, "done")
        self.release(job_id, place.attempt, requeued=False)

    def end_task(self, job_id, attempt, name, result):
        """Reports the end of one task."""
        self.observe(
            events.TaskEnded(
                job_id=job_id,
                attempt=attempt,
                worker=name,
                result=jobs.TaskResult(result),
                ran_ms=1_000,
            )
        )

    def release(self, job_id, attempt, requeued=True, progress_ms=0):
        """Reports that an attempt is stopped everywhere."""
        self.observe(
            events.JobReleased(
                job_id=job_id,
                attempt=attempt,
                progress_ms=progress_ms,
                requeued=requeued,
            )
        )

    def confirm_stops(self):
        """Confirms all pending stops."""
        stops, self.stops = self.stops, {}
        for each in stops.values():
            requeued = isinstance(each, decisions.StopAttempt) and each.requeue
            self.release(each.job_id, each.attempt, requeued)

    def workers_of(self, job_id):
        """Returns the number of accelerators allocated to a job, by worker."""
        return {
            each.worker: len(each.accelerators)
            for each in self.places[job_id].assignments
        }
