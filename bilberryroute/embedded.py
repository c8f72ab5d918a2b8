"""Settings of the embedded system: all roles in one process on loopback."""

from bilberryroute import settings

DATA_FOLDER = "bilberryroute-data"
HTTP = "127.0.0.1:7070"
GRPC = "127.0.0.1:7071"
DATAGRAM = "127.0.0.1:7072"


def embedded_settings(data_folder: str = DATA_FOLDER) -> settings.Settings:
    """Returns settings with which one process is a whole system.

    Args:
      data_folder: Where the only replica keeps its state.
    """
    replica = settings.ReplicaAddress(
        id="local", grpc=GRPC, datagram=DATAGRAM, failure_domain="local"
    )
    return settings.Settings(
        host="local",
        failure_domain="local",
        roles=tuple(settings.ProcessRole),
        data_folder=data_folder,
        replica_id=replica.id,
        listen=settings.Listen(http=HTTP, grpc=GRPC, datagram=DATAGRAM),
        replicas=(replica,),
    )
