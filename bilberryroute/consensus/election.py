"""When a replica stands for election, and for whom it votes."""

import random

from bilberryroute import settings
from bilberryroute.consensus import journal as journal_lib
from bilberryroute.consensus import messages
from bilberryroute.consensus import progress


class Election:
    """Timer, votes given and votes received of one replica.

    Attributes:
      deadline_ms: When to stand for election, unless a leader is heard.
    """

    def __init__(
        self,
        *,
        own_id: str,
        journal: journal_lib.Journal,
        timing: settings.Timing,
        rng: random.Random,
        now: int,
    ):
        self._id = own_id
        self._journal = journal
        self._timing = timing
        self._rng = rng
        self._votes: set[str] = set()
        self._heard_ms = progress.NEVER_MS
        self.deadline_ms = now
        if journal.term:
            # Whom it answered before the restart is forgotten, so a lease
            # may rest on its answer: it grants no vote until that is over.
            self.note_leader(now)

    def note_leader(self, now: int) -> None:
        """Notes that a leader was heard."""
        self._heard_ms = now
        self.postpone(now)

    def hears_leader(self, now: int) -> bool:
        """Returns whether a leader may still rely on an answer from here."""
        return now < self._heard_ms + self._timing.election_ms

    def postpone(self, now: int) -> None:
        """Sets the next deadline a random time after the election timeout."""
        timeout = self._timing.election_ms
        spread = self._rng.randrange(max(1, timeout // 2))
        self.deadline_ms = now + timeout + spread

    def ask_again_soon(self, now: int) -> None:
        """Sets the deadline for a repeated pre-vote.

        Other voters may have heard the leader a little later, and a pre-vote
        changes nothing, so there is no reason to wait a whole timeout.
        """
        heartbeat = self._timing.raft_heartbeat_ms
        self.deadline_ms = now + heartbeat + self._rng.randrange(heartbeat)

    def may_stand(self) -> bool:
        """Returns whether any membership since the commitment has it vote.

        A leader whose own removal is not committed may hold the only log
        that a majority would follow.
        """
        log = self._journal.log
        possible = log.memberships_from(self._journal.commit_index)
        return any(self._id in m.voters for m in possible)

    def request(
        self, *, pre: bool, handed_over: bool = False
    ) -> messages.VoteRequest:
        """Begins to count; returns the request for the other voters."""
        self._votes = {self._id}
        log = self._journal.log
        return messages.VoteRequest(
            term=self._journal.term + 1 if pre else self._journal.term,
            pre=pre,
            last_index=log.last_index,
            last_term=log.last_term,
            handed_over=handed_over,
        )

    def count(self, sender: str) -> None:
        """Counts a vote that was granted."""
        self._votes.add(sender)

    def won(self) -> bool:
        """Returns whether a majority of the voters granted its vote."""
        membership = self._journal.membership
        granted = self._votes.intersection(membership.voters)
        return len(granted) >= membership.quorum

    def answer(
        self, sender: str, req: messages.VoteRequest, now: int
    ) -> messages.VoteReply:
        """Votes, or says how it would vote."""
        granted = self._grants(sender, req)
        if granted and not req.pre:
            self._journal.set_term(self._journal.term, sender)
            self.postpone(now)
        return messages.VoteReply(
            term=req.term if granted else self._journal.term,
            pre=req.pre,
            granted=granted,
        )

    def _grants(self, sender: str, req: messages.VoteRequest) -> bool:
        log = self._journal.log
        candidate = (req.last_term, req.last_index)
        if candidate < (log.last_term, log.last_index):
            return False
        if req.pre:
            return req.term > self._journal.term
        vote = self._journal.hard_state.vote
        return req.term == self._journal.term and vote in ("", sender)
