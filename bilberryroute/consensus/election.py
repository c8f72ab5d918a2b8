"""Election timer and voting rules of a replica."""

import random

from bilberryroute import settings
from bilberryroute.consensus import journal as journal_lib
from bilberryroute.consensus import messages
from bilberryroute.consensus import progress

# Heartbeat intervals in which a candidate collects pre-votes and then stands.
HEARTBEATS_TO_STAND = 2


class Election:
    """Election timer and votes of one replica.

    Attributes:
      deadline_ms: When the election timer expires.
    """

    def __init__(
        self,
        *,
        own_id: str,
        journal: journal_lib.Journal,
        timing: settings.Timing,
        rng: random.Random,
        now: int,
        locked_ms: int | None = None,
    ):
        self._id = own_id
        self._journal = journal
        self._timing = timing
        self._rng = rng
        self._votes: set[str] = set()
        self._heard_ms = progress.NEVER_MS
        self._yielded = False
        self.deadline_ms = now
        if journal.term:
            # A leader lease may rest on a reply sent before the restart, so
            # no vote is granted until that lease must have expired. Since the
            # data folder is locked, only this process has replied.
            self._heard_ms = now if locked_ms is None else min(now, locked_ms)
            earliest_ms = max(now, self.quiet_until_ms)
            self.deadline_ms = earliest_ms + self._random_delay()

    def record_leader_contact(self, now: int) -> None:
        """Records a message from the leader and resets the timer."""
        self._heard_ms = now
        self.reset_election_timer(now)

    def end_silence(self, now: int) -> None:
        """Votes again, as no lease rests on replies of an earlier life."""
        self._heard_ms = progress.NEVER_MS
        delay_ms = self._rng.randrange(self._timing.raft_heartbeat_ms)
        self.deadline_ms = min(self.deadline_ms, now + delay_ms)

    def hears_leader(self, now: int) -> bool:
        """Returns whether a leader lease may still rely on a reply from here."""
        return now < self.quiet_until_ms

    @property
    def quiet_until_ms(self) -> int:
        """When leases must have ended that rely on replies from here."""
        return self._heard_ms + self._timing.election_ms

    def reset_election_timer(self, now: int) -> None:
        """Restarts the timer: the election timeout plus a random delay."""
        timeout = self._timing.election_ms
        self.deadline_ms = now + timeout + self._random_delay()
        self._yielded = False

    def _random_delay(self) -> int:
        return self._rng.randrange(max(1, self._timing.election_ms // 2))

    def schedule_pre_vote_retry(self, now: int) -> None:
        """Sets the timer for the next pre-vote.

        Other voters may have heard from the leader slightly later. A pre-vote
        changes no state, so it is retried before a whole election timeout.
        """
        heartbeat = self._timing.raft_heartbeat_ms
        self.deadline_ms = now + heartbeat + self._rng.randrange(heartbeat)

    def _yield_once(self, now: int) -> None:
        """Leaves a candidate time to stand, as two would split the votes.

        Not again before the next whole timeout: it may be unable to win.
        """
        if not self._yielded:
            self._yielded = True
            earliest_ms = (
                now + HEARTBEATS_TO_STAND * self._timing.raft_heartbeat_ms
            )
            self.deadline_ms = max(self.deadline_ms, earliest_ms)

    def may_campaign(self) -> bool:
        """Returns whether a membership that may be in force has it as a voter.

        These are the committed membership and all later ones: a leader whose
        removal is not committed may have the only log that can win a majority.
        """
        log = self._journal.log
        possible = log.memberships_from(self._journal.commit_index)
        return any(self._id in m.voters for m in possible)

    def request(
        self, *, pre: bool, handed_over: bool = False
    ) -> messages.VoteRequest:
        """Votes for itself and returns the request for the other voters."""
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
        """Records a granted vote."""
        self._votes.add(sender)

    def won(self) -> bool:
        """Returns whether a majority of the voters granted its vote."""
        membership = self._journal.membership
        granted = self._votes.intersection(membership.voters)
        return len(granted) >= membership.quorum

    def answer(
        self, sender: str, req: messages.VoteRequest, now: int
    ) -> messages.VoteReply:
        """Votes, or for a pre-vote replies how it would vote."""
        granted = self._grants(sender, req)
        if granted and req.pre:
            self._yield_once(now)
        elif granted:
            self._journal.set_term(self._journal.term, sender)
            self.reset_election_timer(now)
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
