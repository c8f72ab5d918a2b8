"""gRPC methods that replicas serve to entries, and codecs of their messages."""

from typing import NoReturn

import grpc

from bilberryroute.model import control
from bilberryroute.model import membership
from bilberryroute.model import queries
from bilberryroute.model import wire
from bilberryroute.transport import codec

SERVICE = "bilberryroute.Control"
PROPOSE = "Propose"
QUERY = "Query"
WATCH = "Watch"
CHANGE_MEMBERS = "ChangeMembers"

# Queries and their answers; a `Reply` carries the answer.
QUERIES = codec.Union(
    queries.GetTicket,
    queries.GetJob,
    queries.ListJobs,
    queries.GetStatus,
    queries.LookUpBatch,
    queries.GetCatalog,
    queries.GetEvacuation,
    queries.GetBatch,
    queries.ListBatches,
)

ANSWERS = codec.Union(
    queries.TicketView,
    queries.JobView,
    queries.JobList,
    queries.StatusView,
    queries.BatchView,
    queries.PendingView,
    queries.CatalogView,
    queries.EvacuationView,
    queries.BatchDetail,
    queries.BatchList,
)

MEMBER_CHANGES = codec.Union(
    membership.AddReplica,
    membership.PromoteReplica,
    membership.RemoveReplica,
)

MEMBERS = codec.Decoder(membership.Members)
REPLIES = codec.Decoder(control.Reply)
WATCH_REQUESTS = codec.Decoder(wire.WatchRequest)
WATCH_EVENTS = codec.Decoder(wire.WatchEvent)

# Key of the trailing metadata that holds the `ErrorReply` ending a watch.
_ERROR_KEY = "bilberryroute-error-bin"
_ERRORS = codec.Decoder(control.ErrorReply)


def path(method: str) -> str:
    """Returns the path of a method, as gRPC clients name it."""
    return f"/{SERVICE}/{method}"


async def end_watch(
    context: grpc.aio.ServicerContext, error: control.ErrorReply
) -> NoReturn:
    """Aborts a watch stream with an error, which may name the leader."""
    await context.abort(
        grpc.StatusCode.FAILED_PRECONDITION,
        error.message,
        ((_ERROR_KEY, codec.encode(error)),),
    )


def watch_error(exc: grpc.aio.AioRpcError) -> control.ErrorReply | None:
    """Returns the error that a replica aborted a watch stream with, if any.

    Raises:
      errors.MalformedInput: If the metadata holds no valid `ErrorReply`.
    """
    for key, value in exc.trailing_metadata() or ():
        if key == _ERROR_KEY:
            return _ERRORS.decode(value)
    return None
