"""Queues of batch jobs, and the client accounts that use them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """What a caller names: a queue, or one job of it.

    Attributes:
      host: Host name that the caller asked for, without a port.
      path: Path of the queue, followed by the job's id if there is one.
      key: The caller's key, or empty.
    """

    host: str
    path: str
    key: str = dataclasses.field(default="", repr=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """A queue of batch jobs.

    Attributes:
      name: Unique name.
      host: Host name under which callers reach it.
      path_prefix: Beginning of its paths.
      pool: Workers that run its tasks.
      priority: 0 goes first and may stop others.
      max_attempts: Failed runs of a task after which the job has failed.
      slack_factor: Allowed run time, as a multiple of the longest chain.
      target_ms: Allowed delay beside it, in milliseconds.
      timeout_ms: How long a call may take, in milliseconds.
      open: Whether callers need no key.
      advised: Whether an advisory service chooses the workers of a step.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_ms: int = 0
    timeout_ms: int = 0
    open: bool = False
    advised: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchAccount:
    """A client account with the keys that its callers send.

    Attributes:
      name: Unique name.
      keys: Keys in force.
      guaranteed: Accelerators that are the account's own for its jobs of
        priority 0, at all times.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(default=(), repr=False)
    guaranteed: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Catalog:
    """All queues and accounts, set as a whole under one version.

    Attributes:
      version: Version that the operator gave it; 0 before the first.
      queues: By preference of the operator's document.
      accounts: All client accounts.
      document: The operator's document, as it was sent.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    accounts: tuple[BatchAccount, ...] = ()
    document: bytes = b""

    def match(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, or None."""
        found = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(found, key=lambda q: len(q.path_prefix), default=None)

    def queue(self, name: str) -> Queue | None:
        """Returns a queue by its name, or None."""
        return next((q for q in self.queues if q.name == name), None)

    def owner(self, key: str) -> BatchAccount | None:
        """Returns the account that holds a key, or None."""
        return next((a for a in self.accounts if key in a.keys), None)
