"""Decides how each grant changes the agent's lease; does no I/O."""

import collections
import dataclasses
import enum

from bilberryroute import clock as clock_lib
from bilberryroute.agent import board as board_lib
from bilberryroute.model import wire


class DropReason(enum.StrEnum):
    """Why a grant was dropped.

    Attributes:
      LOWER_TERM: Its term is lower than one already seen.
      UNKNOWN_ECHO: It echoes no renewal that this process sent recently.
      PUSH_BEFORE_RENEWAL: It was pushed before the first renewal of this
        process was granted.
      LOWER_REVISION: Its desired state has a lower revision than the present.
      MALFORMED: It cannot be decoded.
    """

    LOWER_TERM = "stale_term"
    UNKNOWN_ECHO = "foreign_echo"
    PUSH_BEFORE_RENEWAL = "unproved_push"
    LOWER_REVISION = "revision_back"
    MALFORMED = "malformed_grant"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Renewed:
    """The lease was renewed until `lease.expires`.

    Attributes:
      desired: Newer desired state, or None.
      covered: Workers that the present desired state was made for.
    """

    lease: board_lib.Lease
    desired: wire.Desired | None
    covered: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pushed:
    """The leader pushed desired state without renewing the lease."""

    desired: wire.Desired | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Redirected:
    """The sender is not the leader.

    Attributes:
      leader_id: Leader as far as the sender knows, or empty.
    """

    leader_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dropped:
    """The grant was dropped."""

    reason: DropReason


Verdict = Renewed | Pushed | Redirected | Dropped


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _SentRenewal:
    """A renewal that was sent and may be answered.

    Attributes:
      at: Agent's clock when it was sent.
      workers: Names of the workers in it.
    """

    at: int
    workers: frozenset[str]


class LeaseKeeper:
    """Applies grants; term, revision and lease end only increase.

    The echo of a renewal is the clock reading plus a random epoch, so that a
    grant for an earlier incarnation of the agent matches no renewal of this
    one.

    Attributes:
      term: Highest term seen.
      lease: Present lease.
      desired: Present desired state.
    """

    def __init__(self, epoch: int, desired: wire.Desired, keep_ms: int):
        self.term = 0
        self.lease = board_lib.Lease()
        self.desired = desired
        self._desired_term = 0
        self._epoch = epoch
        self._keep_ms = keep_ms
        self._sent: collections.OrderedDict[int, _SentRenewal] = (
            collections.OrderedDict()
        )
        self._newest_answered = _SentRenewal(at=-1, workers=frozenset())
        self._has_renewed = False

    def record_renewal(
        self, now: int, workers: frozenset[str] = frozenset()
    ) -> int:
        """Records a renewal sent at `now`; returns its echo."""
        echo_ms = self._epoch + now
        self._sent[echo_ms] = _SentRenewal(at=now, workers=workers)
        while next(iter(self._sent.values())).at < now - self._keep_ms:
            self._sent.popitem(last=False)
        return echo_ms

    def accept(self, grant: wire.Grant) -> Verdict:
        """Applies a grant and returns what it changed."""
        if grant.term < self.term:
            return Dropped(reason=DropReason.LOWER_TERM)
        if grant.echo_ms == 0:
            return self._accept_push(grant)
        sent = self._sent.get(grant.echo_ms)
        if sent is None:
            return Dropped(reason=DropReason.UNKNOWN_ECHO)
        if grant.lease_ms <= 0:
            return Redirected(leader_id=grant.leader_id)
        return self._renew(grant, sent)

    def _accept_push(self, grant: wire.Grant) -> Verdict:
        if not self._has_renewed:
            return Dropped(reason=DropReason.PUSH_BEFORE_RENEWAL)
        if self._lowers_revision(grant.desired):
            return Dropped(reason=DropReason.LOWER_REVISION)
        self.term = grant.term
        return Pushed(desired=self._update_desired(grant))

    def _renew(self, grant: wire.Grant, sent: _SentRenewal) -> Verdict:
        if self._lowers_revision(grant.desired):
            return Dropped(reason=DropReason.LOWER_REVISION)
        self.term = grant.term
        self._has_renewed = True
        expires = max(self.lease.expires, sent.at + grant.lease_ms)
        self.lease = board_lib.Lease(
            term=grant.term,
            expires=clock_lib.Millis(expires),
            workers=self._extend_workers(sent, sent.at + grant.lease_ms),
        )
        if sent.at >= self._newest_answered.at:
            self._newest_answered = sent
        return Renewed(
            lease=self.lease,
            desired=self._update_desired(grant),
            covered=self._newest_answered.workers,
        )

    def _extend_workers(
        self, sent: _SentRenewal, expires: int
    ) -> dict[str, clock_lib.Millis]:
        """Returns the lease end of each worker, without those long past."""
        workers = {
            name: end
            for name, end in self.lease.workers.items()
            if end > sent.at
        }
        for name in sent.workers:
            end = max(workers.get(name, 0), expires)
            workers[name] = clock_lib.Millis(end)
        return workers

    def _lowers_revision(self, desired: wire.Desired | None) -> bool:
        return desired is not None and desired.revision < self.desired.revision

    def _update_desired(self, grant: wire.Grant) -> wire.Desired | None:
        desired = grant.desired
        if desired is None:
            return None
        present = (self._desired_term, self.desired.version)
        if (grant.term, desired.version) <= present:
            return None
        self._desired_term = grant.term
        self.desired = desired
        return desired
