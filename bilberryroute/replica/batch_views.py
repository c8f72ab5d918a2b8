"""Views of batch jobs, queues and accounts for operators. Pure."""

from collections.abc import Iterator

from bilberryroute.model import batch
from bilberryroute.model import queries
from bilberryroute.state import batch as batch_rules


def summary(record: batch.BatchRecord) -> queries.BatchSummary:
    """Returns the summary of a job."""
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


def queues(batch_state: batch.BatchState) -> tuple[queries.BatchQueueView, ...]:
    """Returns the status of each queue, the highest priority first."""
    ordered = sorted(
        batch_state.catalog.queues, key=lambda q: (q.priority, q.name)
    )
    return tuple(
        queries.BatchQueueView(
            name=queue.name,
            pool=queue.pool,
            priority=queue.priority,
            pending=batch_rules.pending_count(batch_state, queue),
            open=sum(
                record.queue == queue.name and record.result is None
                for record in batch_state.jobs.values()
            ),
        )
        for queue in ordered
    )


def accounts(
    batch_state: batch.BatchState,
) -> tuple[queries.BatchAccountView, ...]:
    """Returns the guarantee and the usage of each account."""
    return tuple(
        queries.BatchAccountView(
            name=account.name,
            keys=len(account.keys),
            guaranteed=account.guaranteed,
            accelerators=sum(
                _accelerators(record)
                for record in batch_state.jobs.values()
                if record.account == account.name
            ),
        )
        for account in batch_state.catalog.accounts
    )


def _tasks(record: batch.BatchRecord) -> Iterator[batch.TaskRecord]:
    for steps in record.occurrences.values():
        for step_record in steps:
            yield from step_record.tasks


def _accelerators(record: batch.BatchRecord) -> int:
    """Returns the number of accelerators that a job's active runs occupy."""
    return sum(
        step.need.accelerators * sum(task.active for task in step_record.tasks)
        for steps in record.occurrences.values()
        for step, step_record in zip(record.content.steps, steps, strict=True)
    )
