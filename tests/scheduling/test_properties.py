"""Any sequence of events keeps the invariants, checked by a model as well."""

import hypothesis
from hypothesis import strategies

from bilberryroute.model import config
from bilberryroute.scheduling import admission
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import events
from tests.scheduling import session as sessions

WORKERS = (
    sessions.worker("w1", "r1", "apapa"),
    sessions.worker("w2", "r1", "apapa", 4),
    sessions.worker("w3", "r2", "apapa", 4),
    sessions.worker("w4", "r1", "tincan"),
    sessions.worker("w5", "r1", "tincan", 2),
    sessions.worker("w6", "r1", "lekki"),
)
BY_NAME = {each.name: each for each in WORKERS}
TICKETS = (
    (),
    (sessions.shape(8),),
    (sessions.shape(12), sessions.shape(2, "worker", copies=2)),
    (sessions.shape(8, "worker", domain="tincan"), sessions.shape(4)),
    (sessions.shape(16, "failure_domain"),),
)

_indexes = strategies.integers(0, 30)
_submissions = strategies.tuples(
    strategies.just("submit"),
    strategies.sampled_from((1, 2, 3, 4, 8, 12)),
    strategies.sampled_from("abc"),
    strategies.sampled_from(("urgent", "planned", "nightly")),
    strategies.sampled_from(("worker", "rack", "failure_domain")),
    strategies.sampled_from((1, 1, 8)),
)
_steps = strategies.one_of(
    _submissions,
    _submissions,
    _submissions,
    strategies.tuples(strategies.just("finish"), _indexes),
    strategies.tuples(strategies.just("fail"), _indexes),
    strategies.tuples(strategies.just("guard"), _indexes),
    strategies.tuples(strategies.just("cancel"), _indexes),
    strategies.tuples(strategies.just("confirm")),
    strategies.tuples(strategies.just("wait"), strategies.integers(1, 5_000)),
    strategies.tuples(
        strategies.just("lose"), strategies.sampled_from(sorted(BY_NAME))
    ),
    strategies.tuples(
        strategies.just("join"), strategies.sampled_from(sorted(BY_NAME))
    ),
    strategies.tuples(
        strategies.just("domain"), strategies.sampled_from(sessions.DOMAINS)
    ),
    strategies.tuples(
        strategies.just("ticket"),
        strategies.sampled_from("ab"),
        strategies.sampled_from(TICKETS),
    ),
)


class Model:
    """Model of the allocations, derived from events and decisions only."""

    def __init__(self):
        self.session = sessions.Session(workers=WORKERS)
        self.jobs = {}
        self.allocations = {}
        self.out_of_service = set()
        self.present = set(BY_NAME)
        self.accounts = {
            name: config.ClientAccount(name=name) for name in "abc"
        }
        self.incarnations = 0
        self._ticket("a", TICKETS[2])

    def step(self, step):
        """Applies one event, then makes decisions and checks them."""
        getattr(self, f"_{step[0]}")(*step[1:])
        for each in self.session.decide():
            if isinstance(each, decisions.PlaceAttempt):
                self._check_place(each)
        self._check_guarantees()

    def _check_place(self, place):
        wanted = self.jobs[place.job_id]
        allocated = [
            (each.worker, index)
            for each in place.assignments
            for index in each.accelerators
        ]
        assert len(set(allocated)) == wanted.accelerators
        assert not set(allocated) & self.allocations.keys()
        workers = [BY_NAME[each.worker] for each in place.assignments]
        assert all(each.name in self.present for each in workers)
        assert not self.out_of_service & {
            each.failure_domain for each in workers
        }
        parts = {
            "worker": {each.name for each in workers},
            "rack": {(each.failure_domain, each.rack) for each in workers},
            "failure_domain": {each.failure_domain for each in workers},
        }
        assert len(parts[wanted.adjacency]) == 1
        self.allocations |= dict.fromkeys(allocated, place.job_id)

    def _check_guarantees(self):
        """Checks shortfalls against the admission check of change tickets.

        The scheduler may report one only if the present workers can't hold all
        guarantees at once.
        """
        if not self.session.scheduler.shortfalls():
            return
        workers = tuple(BY_NAME[name] for name in sorted(self.present))
        assert admission.shortfalls(self._configuration(), workers)

    def _configuration(self):
        return sessions.configuration(
            self.accounts.values(), self.out_of_service
        )

    def _configure(self):
        cfg = self._configuration()
        self.session.observe(events.ConfigurationChanged(configuration=cfg))

    def _pick_placed(self, index):
        running = sorted(self.session.places)
        return running[index % len(running)] if running else None

    def _free_accelerators_of(self, job_id):
        self.allocations = {
            k: v for k, v in self.allocations.items() if v != job_id
        }

    def _submit(self, size, owner, kind, adjacency, cores):
        job_id = f"j{len(self.jobs)}"
        self.jobs[job_id] = sessions.shape(size, adjacency)
        self.session.submit(
            job_id,
            size,
            owner,
            kind,
            adjacency=adjacency,
            cores_per_accelerator=cores,
        )

    def _finish(self, index):
        job_id = self._pick_placed(index)
        if job_id:
            self.session.start(job_id)
            self.session.finish(job_id)
            self._free_accelerators_of(job_id)

    def _end_first_task(self, index, result):
        job_id = self._pick_placed(index)
        if job_id:
            place = self.session.places[job_id]
            self.session.start(job_id)
            name = place.assignments[0].worker
            self.session.end_task(job_id, place.attempt, name, result)

    def _fail(self, index):
        self._end_first_task(index, "failed")

    def _guard(self, index):
        self._end_first_task(index, "over_limit")

    def _cancel(self, index):
        job_id = self._pick_placed(index)
        if job_id:
            place = self.session.places.pop(job_id)
            stopping = events.JobStopping(job_id=job_id, attempt=place.attempt)
            self.session.observe(stopping)
            self.session.release(job_id, place.attempt, requeued=False)
            self._free_accelerators_of(job_id)

    def _confirm(self):
        for job_id in self.session.stops:
            self._free_accelerators_of(job_id)
        self.session.confirm_stops()

    def _wait(self, duration_ms):
        self.session.clock.advance(duration_ms)

    def _lose(self, name):
        self.present.discard(name)
        self.allocations = {
            k: v for k, v in self.allocations.items() if k[0] != name
        }
        self.session.observe(events.WorkerLost(name=name))

    def _join(self, name):
        if name not in self.present:
            self.present.add(name)
            self.incarnations += 1
            original = BY_NAME[name]
            worker = sessions.worker(
                name,
                original.rack,
                original.failure_domain,
                original.accelerators,
                incarnation=str(self.incarnations),
            )
            self.session.observe(events.WorkerJoined(worker=worker))

    def _domain(self, name):
        self.out_of_service ^= {name}
        self._configure()

    def _ticket(self, owner, guarantees):
        account = config.ClientAccount(name=owner, guarantees=guarantees)
        self.accounts[owner] = account
        self._configure()


@hypothesis.settings(
    max_examples=250,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
@hypothesis.given(strategies.lists(_steps, min_size=20, max_size=80))
def test_any_sequence_keeps_the_invariants(steps):
    model = Model()
    for step in steps:
        model.step(step)
