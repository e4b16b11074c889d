"""This daemon's shares of the teams' rates."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.share_holding import ShareHolding
from bramleyglade_core.model.errors import ErrorCode, KeyRefused, RateExceeded
from bramleyglade_core.model.shares import TOTAL_SHARE_UNITS, HoldingsTold

if TYPE_CHECKING:
    from bramleyglade_core.model.entities import Team
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.keepers import Keepers

_PERIOD_SECONDS = 0.2
_QUIET_DEMAND = 0.01
"""Requests a second below which a team's share is given back."""

_MOST_WAITING = 256
"""Requests of one team that wait for a share at once."""

_LONGEST_REFILL_SECONDS = 0.5
"""Longest wait for the share's own refill while no keeper answers."""


class _TeamShare:
    """A team's holding with the requests that wait for it."""

    def __init__(self, holding: ShareHolding) -> None:
        self.holding = holding
        self.waiting = 0
        self.answered = curio.Event()


class TeamLimiter:
    """Admits requests within this daemon's shares and asks keepers for more."""

    def __init__(self, context: Context, keepers: Keepers) -> None:
        self._context = context
        self._keepers = keepers
        self._share_by_team: dict[str, _TeamShare] = {}

    async def admit(self, team: Team) -> None:
        """Spend one request of a team's rate.

        Args:
            team: The team as configured now.

        Raises:
            RateExceeded: If the team has used up its rate and burst.
            KeyRefused: If this daemon's lease lapsed in the meantime.
        """
        share = self._share(team)
        holding = share.holding
        holding.note_arrival(self._context.clock())
        if self._try_spend(share, team):
            return
        if share.waiting >= _MOST_WAITING:
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
        """Renew shares when they are due, for ever."""
        while True:
            await curio.sleep(_PERIOD_SECONDS)
            now = self._context.clock()
            for name, share in list(self._share_by_team.items()):
                team = self._context.configuration.team_by_name.get(name)
                if team is None:
                    del self._share_by_team[name]
                elif (
                    not share.holding.is_renewal_pending
                    and now >= share.holding.next_renewal_at
                ):
                    await self._renew(name, share, team, now)

    def extend(self, asked_at: float, until: float) -> None:
        """Extend all shares with the lease while the store is away."""
        for share in self._share_by_team.values():
            share.holding.extend(asked_at, until)

    def recall(self, team: str) -> None:
        """State a team's share anew at once, since others run dry."""
        share = self._share_by_team.get(team)
        if share is not None:
            share.holding.recall(self._context.clock())

    def state_shard(self, shard: int) -> HoldingsTold:
        """State all that this daemon holds of a shard's teams."""
        now = self._context.clock()
        lines = []
        for name, share in self._share_by_team.items():
            team = self._context.configuration.team_by_name.get(name)
            if team is not None and self._keepers.shard_of_team(name) == shard:
                lines.append(share.holding.report_held_share(team, now))
        return HoldingsTold(shard, tuple(lines))

    async def release_all(self) -> None:
        """Give all shares back, before this daemon leaves."""
        for name, share in list(self._share_by_team.items()):
            team = self._context.configuration.team_by_name.get(name)
            share.holding.release()
            if team is not None:
                await self._ask(share, team)

    def _share(self, team: Team) -> _TeamShare:
        share = self._share_by_team.get(team.name)
        if share is None:
            limits = self._context.settings.limits
            share = _TeamShare(ShareHolding(self._context.daemon, limits))
            self._share_by_team[team.name] = share
        return share

    def _try_spend(self, share: _TeamShare, team: Team) -> bool:
        if not self._context.lease.is_valid:
            raise KeyRefused(
                ErrorCode.CONFIGURATION_STALE, "this VM is cut off", retry_after=1.0
            )
        return share.holding.try_admit(team, self._context.clock())

    async def _wait_for_share(self, share: _TeamShare, team: Team) -> bool:
        """Wait for the keeper; without one, for what the share itself refills."""
        holding = share.holding
        while True:
            now = self._context.clock()
            refill = holding.seconds_to_token(team, now)
            is_hopeless = refill > self._context.settings.limits.answer_wait_seconds
            if is_hopeless and now < holding.backoff_until:
                return False  # Nothing comes in time; the caller hears it at once.
            refill = min(refill, _LONGEST_REFILL_SECONDS)
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
            await curio.spawn(self._ask, share, team, daemon=True)
            await curio.sleep(0)
        if share.holding.is_renewal_pending:
            await share.answered.wait()

    async def _renew(
        self, name: str, share: _TeamShare, team: Team, now: float
    ) -> None:
        if share.holding.demand.rate(now) < _QUIET_DEMAND:
            share.holding.release()
            await self._ask(share, team)
            del self._share_by_team[name]
            return
        await curio.spawn(self._ask, share, team, daemon=True)

    async def _ask(self, share: _TeamShare, team: Team) -> None:
        holding = share.holding
        if holding.is_renewal_pending:
            return
        share.answered.clear()
        asked = holding.renew(team, self._context.clock(), share.waiting)
        granted = await self._keepers.ask_share(asked)
        must_return = False
        if granted is None:
            holding.abandon_renewal(self._context.clock())
        else:
            must_return = holding.apply_grant(granted, team, self._context.clock())
        await share.answered.set()
        if must_return:
            await self._ask(share, team)

    def _refusal(self, share: _TeamShare, team: Team) -> RateExceeded:
        now = self._context.clock()
        holding = share.holding
        inputs = (
            f"{team.rate:g}/s and a burst of {team.burst}, of which this VM holds "
            f"{holding.units / TOTAL_SHARE_UNITS:.3f} with {holding.level:.2f} left"
        )
        wait = max(0.1, holding.backoff_until - now)
        is_unknown = not holding.is_keeper_available or holding.is_keeper_collecting
        if is_unknown or now >= holding.backoff_until:
            return RateExceeded(
                ErrorCode.LIMIT_UNKNOWN,
                f"no keeper grants more of the team's {inputs}",
                retry_after=wait,
            )
        return RateExceeded(
            ErrorCode.RATE_EXCEEDED,
            f"the team has used up its {inputs}",
            retry_after=wait,
        )
