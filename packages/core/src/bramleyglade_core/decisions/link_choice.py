"""Choice between targets by the state of the links to their guards."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.picker import Pick
from bramleyglade_core.decisions.regions import Distance, distance_between
from bramleyglade_core.decisions.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Sequence

    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.decisions.directory import Candidate
    from bramleyglade_core.decisions.picker import Picker, PickOptions
    from bramleyglade_core.model.identifiers import TargetId
    from bramleyglade_core.model.settings import DaemonSettings

_MAX_LINKS_PER_SERVICE = 128
"""Links that a front opens in advance for one service. Each front of a larger service
opens another part; together they open links to all targets."""


class LinkState(Enum):
    """State of the link from a front to a guard."""

    READY = "ready"
    """Open and heard from as recently as its heartbeats allow, or not needed."""
    MISSING = "missing"
    """Not open; an offer would wait for a dial."""
    FAILED = "failed"
    """The last dial failed, or heartbeats on the open link are not answered."""


@dataclass(frozen=True, slots=True)
class LinkedPick:
    """The pick for an attempt, and the one that was passed over for its link."""

    pick: Pick | None
    """None if no target is left to try."""
    passed_over: Pick | None = None
    """The pick regardless of links, if another one was made because of its link."""


def pick_by_link(
    picker: Picker,
    candidates: Sequence[Candidate],
    tried: Container[TargetId],
    options: PickOptions,
    state_of: Callable[[Candidate], LinkState],
) -> LinkedPick:
    """Pick a target whose link is ready rather than wait for a dial.

    A request waits for a dial only if no target with a free slot has a link that is
    ready. A failed link is used only if no other target is left.

    Args:
        picker: Picks among targets regardless of links.
        candidates: Targets that may take the request.
        tried: Targets that this request has been sent to already.
        options: Properties of the request that the pick depends on.
        state_of: Returns the state of the link to a target's guard.

    Returns:
        The pick.
    """
    best = picker.pick(candidates, tried, options)
    if best is None:
        return LinkedPick(None)
    state = state_of(best.candidate)
    if state is LinkState.READY:
        return LinkedPick(best)
    usable = [LinkState.READY]
    if state is LinkState.FAILED:
        usable.append(LinkState.MISSING)
    others = []
    for wanted in usable:
        among = [c for c in candidates if state_of(c) is wanted]
        # A wait in a near zone may be shorter than the way to a free target, but not
        # than a dial.
        free = [c for c in among if picker.is_free(c, options.now)]
        pick = picker.pick(free, tried, options)
        if pick is None or (pick.is_last_resort and not best.is_last_resort):
            pick = picker.pick(among, tried, options)
        if pick is not None and (best.is_last_resort or not pick.is_last_resort):
            others.append(pick)
    for pick in others:
        if pick.is_free:
            return LinkedPick(pick, best)
    if others and state is LinkState.FAILED:
        return LinkedPick(others[0], best)
    return LinkedPick(best)


def guards_to_link(
    candidates: Iterable[Candidate],
    configuration: Configuration,
    settings: DaemonSettings,
) -> list[str]:
    """Return the guards that a front should have links to before requests need them.

    Args:
        candidates: Targets of a service that the front gets requests for.
        configuration: The configuration in force.
        settings: This daemon's settings.

    Returns:
        Names of the daemons in the front's own region; of all of them if none is there.
    """
    near: set[str] = set()
    far: set[str] = set()
    for candidate in candidates:
        distance = distance_between(candidate.zone, configuration, settings)
        is_far = distance is Distance.OTHER_REGION
        (far if is_far else near).add(candidate.target.daemon)
    names = (near or far) - {settings.name}
    if len(names) > _MAX_LINKS_PER_SERVICE:
        return rank(settings.name, names)[:_MAX_LINKS_PER_SERVICE]
    return sorted(names)
