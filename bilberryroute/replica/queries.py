"""Answers queries from the replicated state and the leader's board."""

import collections

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.consensus import records
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import jobs
from bilberryroute.model import membership
from bilberryroute.model import queries
from bilberryroute.replica import batch_views
from bilberryroute.replica import desired as desired_lib
from bilberryroute.replica import jobs as job_controller
from bilberryroute.replica import parts as parts_lib
from bilberryroute.state import batch as batch_rules
from bilberryroute.state import evacuations
from bilberryroute.state import jobs as job_rules


class QueryHandler:
    """Answers the queries that entries forward."""

    def __init__(
        self,
        parts: parts_lib.ReplicaParts,
        controller: job_controller.JobController,
    ):
        self._cfg = parts.cfg
        self._board = parts.board
        self._group = parts.group
        self._machine = parts.machine
        self._controller = controller
        self._clock = parts.clock

    def answer(self, query: queries.Query) -> queries.Answer:
        """Returns the answer; called only while this replica leads.

        Raises:
          errors.NotFound: If the object asked for does not exist.
        """
        match query:
            case queries.GetTicket(number=number):
                return self._ticket(number)
            case queries.GetJob(job_id=job_id):
                return self._job(job_id)
            case queries.ListJobs(account=account):
                return self._jobs(account)
            case queries.GetStatus():
                return self._status()
            case queries.LookUpBatch(address=address):
                return self._look_up(address)
            case queries.GetCatalog():
                return self._catalog()
            case queries.GetEvacuation(failure_domain=domain):
                return self._evacuation(domain)
            case queries.GetBatch(job_id=job_id):
                return self._batch(job_id)
            case queries.ListBatches():
                return self._batches()
        raise errors.MalformedInput(f"unknown query {query!r}")

    def _look_up(
        self, address: catalog_model.Address
    ) -> queries.BatchView | queries.PendingView:
        batch_state = self._machine.state.batch
        authorized = batch_rules.authorize(batch_state.catalog, address)
        if isinstance(authorized, batch_rules.BatchRefused):
            raise errors.by_kind(authorized.kind)(authorized.message)
        queue, _ = authorized
        if address.path == queue.path_prefix:
            return queries.PendingView(
                count=batch_rules.pending_count(batch_state, queue)
            )
        record = batch_rules.find_job(batch_state, address)
        if isinstance(record, batch_rules.BatchRefused):
            raise errors.by_kind(record.kind)(record.message)
        return queries.BatchView(
            job_id=record.id, result=record.result, begun=record.begun
        )

    def _catalog(self) -> queries.CatalogView:
        catalog = self._machine.state.batch.catalog
        if catalog.version == 0:
            raise errors.Unavailable("no catalog is in force yet")
        return queries.CatalogView(
            version=catalog.version,
            document=catalog.document,
            queues=catalog.queues,
            accounts=catalog.accounts,
        )

    def _evacuation(self, failure_domain: str) -> queries.EvacuationView:
        batch_state = self._machine.state.batch
        return queries.EvacuationView(
            evacuated=failure_domain in batch_state.evacuated,
            last_order=evacuations.last_order(batch_state, failure_domain),
        )

    def _batch(self, job_id: str) -> queries.BatchDetail:
        record = self._machine.state.batch.jobs.get(job_id)
        if record is None:
            raise errors.Gone(f"there is no batch job {job_id!r}")
        return queries.BatchDetail(record=record)

    def _batches(self) -> queries.BatchList:
        records = self._machine.state.batch.jobs.values()
        return queries.BatchList(jobs=tuple(map(batch_views.summary, records)))

    def members(self) -> membership.Members:
        """Returns the group of replicas."""
        return membership.Members(
            replicas=self._replicas(), version=self._group.membership_version
        )

    def _ticket(self, number: int) -> queries.TicketView:
        record = self._machine.state.tickets.get(number)
        if record is None:
            raise errors.NotFound(f"there is no ticket {number}")
        revisions = self._revisions()
        return queries.TicketView(
            number=number,
            digest=record.digest,
            ticket=record.ticket,
            accepted_at_ms=record.accepted_ms,
            applied_by=tuple(n for n, r in revisions if r >= number),
            pending=tuple(n for n, r in revisions if r < number),
        )

    def _revisions(self) -> list[tuple[str, int]]:
        """Returns the revision of each process that reported recently."""
        lease_ms = self._cfg.timing.agent_lease_ms
        now = self._clock.now()
        agents = [
            (f"agent {name}", agent.renewal.revision)
            for name, agent in self._board.agents.get().items()
            if now - agent.last_seen_ms <= lease_ms
        ]
        entries = [
            (f"entry {name}", entry.revision)
            for name, entry in self._board.entries.get().items()
            if now - entry.last_seen_ms <= lease_ms
        ]
        return sorted(agents + entries)

    def _job(self, job_id: str) -> queries.JobView:
        record = self._machine.state.jobs.get(job_id)
        if record is None:
            raise errors.NotFound(f"there is no job {job_id!r}")
        return queries.JobView(record=record, explanation=self._explain(record))

    def _explain(self, record: jobs.JobRecord) -> str:
        scheduler = self._controller.scheduler
        if scheduler is None or record.phase != jobs.JobPhase.QUEUED:
            return record.reason
        now = self._clock.wall()
        wait = scheduler.explain(record.job.id, now)
        if wait is None:
            return "waits for the next decision"
        waited_ms = now - wait.since_ms
        waited = clock_lib.seconds(max(0, waited_ms))
        return f"waits {waited:.0f} s for {wait.waits_for}; {wait.freed_by}"

    def refusal(self, job: jobs.Job) -> str:
        """Returns why a job could never run, or an empty string."""
        scheduler = self._controller.scheduler
        if scheduler is None:
            return ""
        return scheduler.refusal(job, self._clock.wall())

    def _jobs(self, account: str) -> queries.JobList:
        records = self._machine.state.jobs.values()
        selected = [r for r in records if account in ("", r.job.account)]
        return queries.JobList(records=tuple(selected))

    def _status(self) -> queries.StatusView:
        state = self._machine.state
        ticket = state.tickets.get(state.configuration.revision)
        counts = collections.Counter(r.phase for r in state.jobs.values())
        scheduler = self._controller.scheduler
        return queries.StatusView(
            term=self._group.term,
            leader_id=self._cfg.replica_id,
            revision=state.configuration.revision,
            now_ms=self._clock.wall(),
            revision_since_ms=ticket.accepted_ms if ticket else 0,
            replicas=self._replicas(),
            membership_version=self._group.membership_version,
            agents=self._agents(),
            entries=tuple(
                queries.EntryView(name=name, revision=entry.revision)
                for name, entry in sorted(self._board.entries.get().items())
            ),
            failure_domains=self._domains(),
            workers=self._workers(),
            jobs=tuple(
                queries.PhaseCount(phase=phase, jobs=counts[phase])
                for phase in jobs.JobPhase
            ),
            gangs=self._gangs(),
            batch_queues=batch_views.queues(state.batch),
            batch_accounts=batch_views.accounts(state.batch),
            shortfalls=tuple(map(str, scheduler.shortfalls()))
            if scheduler
            else (),
            violations=tuple(map(str, scheduler.check())) if scheduler else (),
        )

    def _replicas(self) -> tuple[queries.ReplicaView, ...]:
        return tuple(
            queries.ReplicaView(
                id=member.id,
                grpc=member.address.grpc,
                role=self._replica_role(member),
            )
            for member in self._group.members()
        )

    def _replica_role(self, member: records.Member) -> str:
        if member.id == self._group.id:
            return "leader"
        return "voter" if member.voter else "learner"

    def _agents(self) -> tuple[queries.AgentView, ...]:
        now = self._clock.now()
        lease_ms = self._cfg.timing.agent_lease_ms
        return tuple(
            queries.AgentView(
                name=name,
                incarnation=agent.renewal.incarnation,
                failure_domain=agent.renewal.failure_domain,
                revision=agent.renewal.revision,
                lease_left_ms=max(0, agent.last_seen_ms + lease_ms - now),
                draining=agent.renewal.draining,
                endpoints=len(agent.renewal.endpoints),
                workers=len(agent.renewal.workers),
            )
            for name, agent in sorted(self._board.agents.get().items())
        )

    def _domains(self) -> tuple[queries.DomainView, ...]:
        state = self._machine.state
        since = {
            domain.name: record.accepted_ms
            for record in state.tickets.values()
            for domain in record.ticket.failure_domains
        }
        domains = state.configuration.failure_domains.values()
        return tuple(
            queries.DomainView(
                name=domain.name,
                in_service=domain.in_service,
                since_ms=since.get(domain.name, 0),
            )
            for domain in domains
        )

    def _workers(self) -> tuple[queries.WorkerView, ...]:
        state = self._machine.state
        return tuple(
            queries.WorkerView(
                worker=worker,
                free=worker.accelerators - len(state.held.get(name, {})),
                in_service=job_rules.worker_in_service(state, name),
            )
            for name, worker in sorted(state.workers.items())
        )

    def _gangs(self) -> tuple[queries.GangView, ...]:
        active = desired_lib.active_records(self._machine.state)
        return tuple(self._gang(record) for record in active)

    def _gang(self, record: jobs.JobRecord) -> queries.GangView:
        workers = self._machine.state.workers
        names = [a.worker for a in record.assignments if a.worker in workers]
        states = collections.Counter(self._task_states(record))
        ended = sum(states[r.value] for r in jobs.TaskResult)
        return queries.GangView(
            job_id=record.job.id,
            account=record.job.account,
            attempt=record.attempt,
            phase=record.phase,
            phase_since_ms=record.phase_since_ms,
            failure_domains=tuple(
                sorted({workers[name].failure_domain for name in names})
            ),
            tasks=len(record.assignments),
            running=states["running"],
            ended=ended,
        )

    def _task_states(self, record: jobs.JobRecord) -> list[str]:
        states = []
        for assignment in record.assignments:
            agent = self._board.agent_of(assignment.worker)
            key = (record.job.id, record.attempt, assignment.worker)
            if agent is not None and key in agent.tasks:
                states.append(agent.tasks[key].state)
        return states
