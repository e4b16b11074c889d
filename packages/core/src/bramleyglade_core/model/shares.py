"""Messages between a holder of a team's shares and the team's keeper."""

from __future__ import annotations

from dataclasses import dataclass

from bramleyglade_core.model.identifiers import DaemonId

TOTAL_SHARE_UNITS = 1_000_000
"""Units that make up the whole rate and burst of a team."""


@dataclass(frozen=True, slots=True)
class ShareAsked:
    """A holder states all that it holds and says what it needs.

    The statement is true at its sending, and an answer to an earlier ask is
    never credited after it, so the keeper's book follows the newest ask.
    """

    team: str
    holder: DaemonId
    sequence: int
    """Grows with each ask of this holder for this team."""
    held_units: int
    held_tokens: int
    """Single tokens that the holder has not spent."""
    returned_level: float
    """Part of the bucket's level that goes back with returned units, in requests."""
    demand: float
    """Requests a second that came to this holder lately."""
    wanted_tokens: int
    """Requests that wait for the answer."""


@dataclass(frozen=True, slots=True)
class ShareGranted:
    """The keeper's answer to one ask."""

    team: str
    sequence: int
    """Sequence of the ask."""
    is_known: bool
    """False if the keeper can't grant yet, or is not this team's keeper."""
    booked_units: int = 0
    """Units that the keeper counts as held; the holder drops what is above."""
    added_units: int = 0
    """Units that are new to the holder, beside the booked ones."""
    added_level: float = 0.0
    """Part of the bucket's level that comes with the new units, in requests."""
    added_tokens: int = 0
    """Single tokens to spend at once."""
    target_units: int = 0
    """What the holder should hold; it returns what is above."""
    retry_after: float = 0.0
    """Seconds until asking again is useful."""
    is_waiting: bool = False
    """True if the keeper confirms what is held, and can't grant more yet."""


@dataclass(frozen=True, slots=True)
class ShareRecalled:
    """The keeper asks a holder to state its holding anew, at once."""

    team: str


@dataclass(frozen=True, slots=True)
class HoldingsAsked:
    """A new keeper asks a daemon for all that it holds of a shard's teams."""

    shard: int


@dataclass(frozen=True, slots=True)
class HeldShare:
    """One line of a keeper's book."""

    team: str
    holder: DaemonId
    units: int
    tokens: int
    sequence: int


@dataclass(frozen=True, slots=True)
class BookHandedOver:
    """A leaving keeper's book of one shard, for its successor."""

    shard: int
    epoch: int
    """Epoch of the successor's assignment."""
    successor: str
    """Name of the daemon that keeps the shard from now on."""
    lines: tuple[HeldShare, ...] = ()


@dataclass(frozen=True, slots=True)
class HoldingsTold:
    """All that a daemon holds of a shard's teams; it holds nothing else.

    Answers to earlier asks are not credited after it.
    """

    shard: int
    lines: tuple[HeldShare, ...] = ()
