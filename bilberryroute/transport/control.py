"""Methods that the leading replica serves to entries over gRPC."""

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

QUERIES = codec.Union(
    queries.GetTicket,
    queries.GetJob,
    queries.ListJobs,
    queries.GetStatus,
    queries.LookUpBatch,
    queries.GetCatalog,
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


def path(method: str) -> str:
    """Returns the full gRPC name of a method."""
    return f"/{SERVICE}/{method}"
