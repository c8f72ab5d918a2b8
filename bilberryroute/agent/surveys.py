"""Last list of tasks that each worker reported."""

import dataclasses
from collections.abc import Mapping

from bilberryroute.agent import task_plan
from bilberryroute.agent import worker_api
from bilberryroute.agent import workers as workers_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerTaskList:
    """Tasks that one incarnation of a worker reported."""

    incarnation: str
    tasks: dict[task_plan.TaskKey, worker_api.Task]


class WorkerTaskLists:
    """Last task list of each worker that announces itself."""

    def __init__(self) -> None:
        self._by_worker: dict[str, WorkerTaskList] = {}

    def tasks(self) -> dict[str, dict[task_plan.TaskKey, worker_api.Task]]:
        """Returns the tasks by worker, without workers not queried yet."""
        return {name: listed.tasks for name, listed in self._by_worker.items()}

    def needs_query(self, contact: workers_lib.WorkerContact) -> bool:
        """Returns whether this incarnation was not queried yet."""
        listed = self._by_worker.get(contact.name)
        return listed is None or listed.incarnation != contact.incarnation

    def update(
        self, contact: workers_lib.WorkerContact, listed: worker_api.Tasks
    ) -> dict[task_plan.TaskKey, worker_api.Task]:
        """Stores a worker's answer; returns its tasks by key."""
        reported = {
            (contact.name, task.job_id, task.attempt): task
            for task in listed.tasks
        }
        self._by_worker[contact.name] = WorkerTaskList(
            incarnation=contact.incarnation, tasks=reported
        )
        return reported

    def forget_task(self, key: task_plan.TaskKey) -> None:
        """Drops a task that is no longer in the desired state."""
        listed = self._by_worker.get(key[0])
        if listed is not None:
            listed.tasks.pop(key, None)

    def drop_stale(
        self, contacts: Mapping[str, workers_lib.WorkerContact]
    ) -> None:
        """Drops the lists of workers that are gone or have restarted."""
        for name, listed in list(self._by_worker.items()):
            contact = contacts.get(name)
            if contact is None or contact.incarnation != listed.incarnation:
                del self._by_worker[name]
