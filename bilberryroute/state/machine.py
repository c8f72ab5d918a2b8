"""State machine of the replicated log.

Deterministic: the effect of a command depends only on the state and the
command.
"""

import dataclasses
import hashlib
from collections.abc import Callable

from bilberryroute.model import batch_commands
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.state import batch as batch_rules
from bilberryroute.state import claims
from bilberryroute.state import jobs as job_rules
from bilberryroute.state import records
from bilberryroute.state import tickets
from bilberryroute.transport import codec
from bilberryroute.transport import proposals

Listener = Callable[[commands.Command, commands.Result], None]

_snapshot_decoder = codec.Decoder(records.ReplicatedState)


class StateMachine:
    """Applies committed commands; implements the `Applier` of `consensus`.

    Attributes:
      state: Current state; read-only except through commands.
      listeners: Callbacks invoked after each command, in log order.
    """

    def __init__(self):
        self.state = records.ReplicatedState()
        self.listeners: list[Listener] = []

    def apply(self, index: int, term: int, payload: bytes) -> commands.Result:
        """Applies one committed command and returns its result."""
        del term
        command = proposals.COMMANDS.decode(payload)
        self.state.at_ms = max(self.state.at_ms, command.at_ms)
        result = self._dispatch(command)
        self.state.index = index
        match result:
            case commands.Changed():
                result = commands.Changed(revision=index)
                self.state.scheduling_index = index
            case (
                commands.TicketAccepted()
                | commands.JobAccepted()
                | batch_commands.BatchAccepted()
            ):
                self.state.scheduling_index = index
        for listener in self.listeners:
            listener(command, result)
        return result

    def _dispatch(self, command: commands.Command) -> commands.Result:
        state = self.state
        match command:
            case commands.ApplyTicket():
                return tickets.apply_ticket(state, command)
            case commands.SubmitJob():
                return job_rules.submit(state, command)
            case commands.CancelJobs():
                return job_rules.cancel(state, command)
            case commands.RefuseJob():
                return job_rules.refuse(state, command)
            case commands.PlaceJob():
                return job_rules.place(state, command)
            case commands.StartJob():
                return job_rules.start(state, command)
            case commands.StopJob():
                return job_rules.stop(state, command)
            case commands.ReleaseJob():
                return job_rules.release(state, command)
            case commands.JoinWorker(worker=worker):
                return self._join_worker(worker)
            case commands.LoseWorker(name=name, incarnation=incarnation):
                return self._remove_worker(name, incarnation)
            case commands.ClaimRequest():
                return claims.claim_request(state, command)
        return batch_rules.apply(state, command)

    def _join_worker(self, worker: jobs.Worker) -> commands.Result:
        if self.state.workers.get(worker.name) == worker:
            return commands.Unchanged(reason="the worker has already joined")
        self.state.workers[worker.name] = worker
        return commands.Changed(revision=0)

    def _remove_worker(self, name: str, incarnation: str) -> commands.Result:
        worker = self.state.workers.get(name)
        if worker is None or worker.incarnation != incarnation:
            return commands.Unchanged(
                reason="this incarnation of the worker is not joined"
            )
        del self.state.workers[name]
        return commands.Changed(revision=0)

    def snapshot(self) -> bytes:
        """Returns the whole state, encoded."""
        return codec.encode(self.state)

    def restore(self, payload: bytes) -> None:
        """Replaces the state with that of a snapshot."""
        self.state = _snapshot_decoder.decode(payload)


def state_digest(state: records.ReplicatedState) -> str:
    """Returns a digest of the state without its index, to compare replicas."""
    without_index = dataclasses.replace(state, index=0)
    return hashlib.sha256(codec.encode(without_index)).hexdigest()
