"""What the leader shows of batch jobs, their queues and accounts. Pure."""

from collections.abc import Iterator

from bilberryroute.model import batch
from bilberryroute.model import queries
from bilberryroute.state import batch as batch_rules


def summary(record: batch.BatchRecord) -> queries.BatchSummary:
    """Returns a line on one job."""
    tasks = list(_tasks(record))
    return queries.BatchSummary(
        id=record.id,
        queue=record.queue,
        account=record.account,
        result=record.result,
        begun=record.begun,
        done=sum(task.state == batch.TaskState.DONE for task in tasks),
        active=sum(task.active for task in tasks),
        failed=sum(task.failed for task in tasks),
    )


def queues(held: batch.BatchState) -> tuple[queries.BatchQueueView, ...]:
    """Returns how each queue in force stands, the most urgent first."""
    ordered = sorted(held.catalog.queues, key=lambda q: (q.priority, q.name))
    return tuple(
        queries.BatchQueueView(
            name=queue.name,
            pool=queue.pool,
            priority=queue.priority,
            pending=batch_rules.pending(held, queue),
            open=sum(
                record.queue == queue.name and record.result is None
                for record in held.jobs.values()
            ),
        )
        for queue in ordered
    )


def accounts(held: batch.BatchState) -> tuple[queries.BatchAccountView, ...]:
    """Returns what each account is guaranteed, and what it holds."""
    return tuple(
        queries.BatchAccountView(
            name=account.name,
            keys=len(account.keys),
            guaranteed=account.guaranteed,
            accelerators=sum(
                _accelerators(record)
                for record in held.jobs.values()
                if record.account == account.name
            ),
        )
        for account in held.catalog.accounts
    )


def _tasks(record: batch.BatchRecord) -> Iterator[batch.TaskRecord]:
    for steps in record.occurrences.values():
        for step in steps:
            yield from step.tasks


def _accelerators(record: batch.BatchRecord) -> int:
    """Returns the accelerators that a job's runs may hold now."""
    return sum(
        step.need.accelerators * sum(task.active for task in progress.tasks)
        for steps in record.occurrences.values()
        for step, progress in zip(record.content.steps, steps, strict=True)
    )
