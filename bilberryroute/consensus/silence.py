"""Early end of the silence that a replica keeps after a restart.

A leader's lease may rest on a reply of this replica's earlier life. Such a
leader led before this life began, so the silence may end once everyone who may
have led then has said in this life that it does not lead.
"""

import random

from bilberryroute import settings
from bilberryroute.consensus import journal as journal_lib
from bilberryroute.consensus import messages


class Silence:
    """Questions of a silent replica, their answers, and what it held back.

    Attributes:
      next_ms: When to ask again, or to end the silence.
    """

    def __init__(
        self,
        *,
        own_id: str,
        journal: journal_lib.Journal,
        timing: settings.Timing,
        rng: random.Random,
        now: int,
        until_ms: int,
    ):
        self.next_ms = now
        self._until_ms = until_ms
        self._id = own_id
        self._journal = journal
        self._interval_ms = timing.raft_heartbeat_ms
        self._request = messages.LeaseRequest(life=rng.getrandbits(63))
        self._named: set[str] = set()
        self._asked_back: set[str] = set()
        self._not_leading: set[str] = set()
        self._held: dict[str, messages.VoteRequest] = {}

    def ask(self, now: int) -> dict[str, messages.LeaseRequest]:
        """Returns the questions that are due, by receiver."""
        if now < self.next_ms:
            return {}
        self.next_ms = min(now + self._interval_ms, self._until_ms)
        return dict.fromkeys(sorted(self._missing()), self._request)

    def ask_back(self, sender: str) -> messages.LeaseRequest | None:
        """Returns the question for a replica that has just started, or None."""
        if sender in self._asked_back or sender not in self._missing():
            return None
        self._asked_back.add(sender)
        return self._request

    def record(self, sender: str, reply: messages.LeaseReply) -> None:
        """Records an answer to a question of this life."""
        if reply.life != self._request.life:
            return
        self._named.update(reply.known)
        if reply.leads:
            self._not_leading.discard(sender)
        else:
            self._not_leading.add(sender)

    def hold(self, sender: str, req: messages.VoteRequest) -> None:
        """Keeps a candidate's latest request until the silence ends."""
        self._held[sender] = req

    def held(self) -> dict[str, messages.VoteRequest]:
        """Returns the requests that were kept, by candidate."""
        return self._held

    def expired(self, now: int) -> bool:
        """Returns whether it has lasted for a whole election timeout."""
        return now >= self._until_ms

    def may_end(self) -> bool:
        """Returns whether no lease can rest on a reply of an earlier life."""
        return bool(self._journal.membership.members) and not self._missing()

    def _missing(self) -> set[str]:
        """Returns those that may have led and have not denied that they do."""
        may_lead = self._named.union(known(self._journal))
        return may_lead - self._not_leading - {self._id}


def known(journal: journal_lib.Journal, leader: str = "") -> tuple[str, ...]:
    """Returns the identities of all that may lead, as far as a replica knows.

    These are the members, learners too, of each membership that may be in
    force, and whom it follows or voted for: a leader that was removed while it
    was away is no member.
    """
    possible = journal.log.memberships_from(journal.commit_index)
    ids = {m.id for membership in possible for m in membership.members}
    ids |= {leader, journal.hard_state.vote}
    return tuple(sorted(ids - {""}))
