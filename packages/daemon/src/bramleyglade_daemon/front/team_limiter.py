"""Rate limiting of teams by this daemon's shares of their rates."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.share_holding import ShareHolding
from bramleyglade_core.model.errors import (
    AttemptError,
    ErrorCode,
    KeyRefused,
    RateExceeded,
)
from bramleyglade_core.model.shares import TOTAL_SHARE_UNITS, HoldingsTold

if TYPE_CHECKING:
    from bramleyglade_core.model.entities import Team
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.keepers import Keepers

_RENEW_CHECK_SECONDS = 0.2
_SEQUENCES_PER_SECOND = 1000
"""Renewals of one team that a daemon never exceeds, so that numbers from the clock grow
from one holding to the next. The keeper ignores a renewal with an old number."""

_IDLE_REQUESTS_PER_SECOND = 0.01
"""Requests per second below which a team's share is given back."""

_MAX_WAITING_REQUESTS = 256
"""Requests of one team that may wait for its share at the same time."""

_MAX_TOKEN_WAIT_SECONDS = 0.05
"""Longest wait, once a request, for the keeper's next token. A new keeper starts with
an empty bucket, which the rates of most teams fill within that time."""

_MAX_REFILL_WAIT_SECONDS = 0.5
"""Longest wait for the share's own refill if no keeper answers."""


_STOPPING_RETRY_SECONDS = 0.05
"""Retry delay of a request that comes during a stop; another VM can take it."""


class _TeamShare:
    """A team's holding and the number of requests that wait for it."""

    def __init__(self, holding: ShareHolding) -> None:
        self.holding = holding
        self.waiting = 0
        self.answered = curio.Event()


class TeamLimiter:
    """Admits requests within this daemon's shares and requests more from keepers."""

    def __init__(self, context: Context, keepers: Keepers) -> None:
        self._context = context
        self._keepers = keepers
        self._share_by_team: dict[str, _TeamShare] = {}

    async def admit(self, team: Team) -> None:
        """Take one request from a team's rate, waiting for a grant if necessary.

        Args:
            team: The team in the current configuration.

        Raises:
            RateExceeded: If the rate and burst are used up or no keeper answers.
            KeyRefused: If this daemon's lease has lapsed.
            AttemptError: If this daemon has left so far that it spends no share.
        """
        share = self._share(team)
        holding = share.holding
        holding.note_arrival(self._context.clock())
        if self._try_spend(share, team):
            return
        if share.waiting >= _MAX_WAITING_REQUESTS:
            raise self._refusal(share, team)
        share.waiting += 1
        try:
            wait = self._context.settings.limits.answer_wait_seconds
            async with curio.ignore_after(wait):
                if await self._wait_for_share(share, team):
                    return
        finally:
            share.waiting -= 1
        raise self._refusal(share, team)

    async def run(self) -> None:
        """Renew shares when they are due; runs forever."""
        while True:
            await curio.sleep(_RENEW_CHECK_SECONDS)
            now = self._context.clock()
            for name, share in list(self._share_by_team.items()):
                team = self._context.configuration.team_by_name.get(name)
                if team is None:
                    del self._share_by_team[name]
                elif not share.waiting and share.holding.is_unused(now):
                    if share.holding.demand.rate(now) < _IDLE_REQUESTS_PER_SECOND:
                        del self._share_by_team[name]
                elif (
                    not share.holding.is_renewal_pending
                    and now >= share.holding.next_renewal_at
                ):
                    await self._renew(name, share, team, now)

    def extend(self, asked_at: float, until: float) -> None:
        """Extend all shares together with the lease while the store is unavailable."""
        for share in self._share_by_team.values():
            share.holding.extend(asked_at, until)

    def recall(self, team: str) -> None:
        """Make the renewal of a share due at once, as other daemons need tokens."""
        share = self._share_by_team.get(team)
        if share is not None:
            share.holding.recall(self._context.clock())

    def report_holdings(self, shard: int) -> HoldingsTold:
        """Return this daemon's holdings of all teams in a shard."""
        now = self._context.clock()
        lines = []
        for name, share in self._share_by_team.items():
            team = self._context.configuration.team_by_name.get(name)
            if team is not None and self._keepers.shard_of_team(name) == shard:
                lines.append(share.holding.report_held_share(team, now))
        return HoldingsTold(shard, tuple(lines))

    async def release_all(self) -> None:
        """Give all shares back before this daemon leaves."""
        for name, share in list(self._share_by_team.items()):
            team = self._context.configuration.team_by_name.get(name)
            share.holding.release()
            if team is not None:
                await self._request_share(share, team)

    def _share(self, team: Team) -> _TeamShare:
        share = self._share_by_team.get(team.name)
        if share is None:
            limits = self._context.settings.limits
            first_sequence = int(self._context.clock() * _SEQUENCES_PER_SECOND)
            holding = ShareHolding(self._context.daemon, limits, first_sequence)
            share = _TeamShare(holding)
            self._share_by_team[team.name] = share
        return share

    def _try_spend(self, share: _TeamShare, team: Team) -> bool:
        if not self._context.lease.is_valid:
            raise KeyRefused(
                ErrorCode.CONFIGURATION_STALE,
                "the lease of this VM has lapsed",
                retry_after=1.0,
            )
        now = self._context.clock()
        if now >= self._last_use_at:
            raise AttemptError(
                ErrorCode.DAEMON_STOPPING,
                "this VM's daemon is being stopped",
                retry_after=_STOPPING_RETRY_SECONDS,
            )
        return share.holding.try_admit(team, now)

    @property
    def _last_use_at(self) -> float:
        """When this daemon stops spending shares, as keepers assume; never if inf."""
        schedule = self._context.stop_schedule
        if schedule is None:
            return math.inf
        wait = self._context.settings.limits.answer_wait_seconds
        return schedule.notice_ends_at + wait

    async def _wait_for_share(self, share: _TeamShare, team: Team) -> bool:
        """Wait for a grant or, if no keeper answers, for the share's own refill."""
        holding = share.holding
        has_waited = False
        while True:
            now = self._context.clock()
            refill = holding.seconds_to_token(team, now)
            is_too_slow = refill > self._context.settings.limits.answer_wait_seconds
            if is_too_slow and now < holding.backoff_until:
                wait = holding.backoff_until - now
                if has_waited or wait > _MAX_TOKEN_WAIT_SECONDS:
                    return False  # No token arrives in time, so fail fast.
                has_waited = True
                await curio.sleep(wait)
                continue
            refill = min(refill, _MAX_REFILL_WAIT_SECONDS)
            if now >= holding.backoff_until:
                await curio.ignore_after(refill, self._await_answer, share, team)
            elif holding.is_keeper_available:
                return False
            if self._try_spend(share, team):
                return True
            if not holding.is_keeper_available:
                await curio.sleep(refill)

    async def _await_answer(self, share: _TeamShare, team: Team) -> None:
        if not share.holding.is_renewal_pending:
            await curio.spawn(self._request_share, share, team, daemon=True)
            await curio.sleep(0)
        if share.holding.is_renewal_pending:
            await share.answered.wait()

    async def _renew(
        self, name: str, share: _TeamShare, team: Team, now: float
    ) -> None:
        if share.holding.demand.rate(now) < _IDLE_REQUESTS_PER_SECOND:
            share.holding.release()
            await self._request_share(share, team)
            del self._share_by_team[name]
            return
        await curio.spawn(self._request_share, share, team, daemon=True)

    async def _request_share(self, share: _TeamShare, team: Team) -> None:
        holding = share.holding
        if holding.is_renewal_pending:
            return
        share.answered.clear()
        request = holding.renew(team, self._context.clock(), share.waiting)
        granted = await self._keepers.request_share(request)
        must_return = False
        if granted is None:
            holding.abandon_renewal(self._context.clock())
        else:
            must_return = holding.apply_grant(granted, team, self._context.clock())
        await share.answered.set()
        if must_return:
            await self._request_share(share, team)

    def _refusal(self, share: _TeamShare, team: Team) -> RateExceeded:
        now = self._context.clock()
        holding = share.holding
        allowance = (
            f"{team.rate:g}/s and a burst of {team.burst}, of which this VM holds "
            f"{holding.units / TOTAL_SHARE_UNITS:.3f} with {holding.level:.2f} left"
        )
        wait = max(0.1, holding.backoff_until - now)
        is_unknown = not holding.is_keeper_available or holding.is_keeper_collecting
        if is_unknown or now >= holding.backoff_until:
            keeper = (
                "the new keeper still collects shares and can't grant more"
                if holding.is_keeper_collecting
                else "no keeper grants more"
            )
            return RateExceeded(
                ErrorCode.LIMIT_UNKNOWN,
                f"{keeper} of the team's {allowance}",
                retry_after=wait,
            )
        return RateExceeded(
            ErrorCode.RATE_EXCEEDED,
            f"the team has used up its {allowance}",
            retry_after=wait,
        )
