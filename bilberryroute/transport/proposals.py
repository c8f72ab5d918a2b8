"""Codecs of the commands that change the replicated state, and their results."""

from bilberryroute.model import batch_commands
from bilberryroute.model import commands
from bilberryroute.transport import codec

COMMANDS = codec.Union(
    commands.ApplyTicket,
    commands.SubmitJob,
    commands.CancelJobs,
    commands.RefuseJob,
    commands.PlaceJob,
    commands.StartJob,
    commands.StopJob,
    commands.ReleaseJob,
    commands.JoinWorker,
    commands.LoseWorker,
    commands.ClaimRequest,
    *batch_commands.COMMANDS,
)

RESULTS = codec.Union(
    commands.TicketAccepted,
    commands.TicketRefused,
    commands.ClaimHeld,
    commands.ClaimRefused,
    commands.JobAccepted,
    commands.JobRefused,
    commands.Changed,
    commands.Unchanged,
    *batch_commands.RESULTS,
)
