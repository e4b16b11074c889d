"""Messages between the holders of a team's shares and the team's keeper."""

from __future__ import annotations

from dataclasses import dataclass

from bramleyglade_core.model.identifiers import DaemonId

TOTAL_SHARE_UNITS = 1_000_000
"""Units into which the rate and burst of each team are divided."""


@dataclass(frozen=True, slots=True)
class ShareAsked:
    """A holder's renewal: it reports all that it holds and what it needs.

    The report is exact when it is sent, and the holder ignores answers to earlier
    renewals from then on. So the keeper's records follow the newest renewal.
    """

    team: str
    holder: DaemonId
    sequence: int
    """Grows with each renewal of this holder for this team."""
    held_units: int
    held_tokens: int
    """Unspent single tokens."""
    returned_level: float
    """Part of the bucket's level that is returned with units, in requests."""
    demand: float
    """Recent rate of requests at this holder, per second."""
    wanted_tokens: int
    """Number of requests that wait for the answer."""
    is_tokens_only: bool = False
    """Whether the holder has too few requests for a share."""


@dataclass(frozen=True, slots=True)
class ShareGranted:
    """The keeper's answer to one renewal."""

    team: str
    sequence: int
    """Sequence of the renewal."""
    is_known: bool
    """False if the sender is not this team's keeper or can't confirm holdings yet."""
    booked_units: int = 0
    """Units that the keeper counts as held; the holder drops any above them."""
    added_units: int = 0
    """Newly granted units, in addition to `booked_units`."""
    added_level: float = 0.0
    """Part of the bucket's level that comes with the new units, in requests."""
    added_tokens: int = 0
    """Newly granted single tokens, which expire soon."""
    target_units: int = 0
    """Units that the holder should hold; it returns any above them."""
    retry_after: float = 0.0
    """Time until another renewal is useful, in seconds."""
    is_waiting: bool = False
    """True if the keeper confirms the holding but can't grant more yet."""


@dataclass(frozen=True, slots=True)
class ShareRecalled:
    """The keeper asks a holder to renew its share immediately."""

    team: str


@dataclass(frozen=True, slots=True)
class HoldingsAsked:
    """A new keeper asks a daemon to report its shares of all teams in a shard."""

    shard: int


@dataclass(frozen=True, slots=True)
class HeldShare:
    """A daemon's share of one team, as the keeper records it."""

    team: str
    holder: DaemonId
    units: int
    tokens: int
    sequence: int


@dataclass(frozen=True, slots=True)
class BookHandedOver:
    """All shares of one shard, sent by a leaving keeper to its successor."""

    shard: int
    epoch: int
    """Epoch of the successor's assignment."""
    successor: str
    """Name of the daemon that becomes the keeper."""
    lines: tuple[HeldShare, ...] = ()


@dataclass(frozen=True, slots=True)
class HoldingsTold:
    """All shares that a daemon holds of the teams in a shard.

    The daemon ignores answers to earlier renewals from then on.
    """

    shard: int
    lines: tuple[HeldShare, ...] = ()
