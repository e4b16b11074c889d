"""Choice between targets by the state of the links to their guards."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from itertools import zip_longest
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.picker import Pick
from bramleyglade_core.decisions.regions import Distance, distance_between
from bramleyglade_core.decisions.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Mapping, Sequence

    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.decisions.directory import Candidate
    from bramleyglade_core.decisions.picker import Picker, PickOptions
    from bramleyglade_core.model.identifiers import TargetId
    from bramleyglade_core.model.settings import DaemonSettings

_MAX_LINKS_PER_SERVICE = 128
"""Links that a front opens in advance for one service. Each front of a larger service
opens another part; together they open links to all targets."""

_MAX_LINKS = 256
"""Links that a front opens in advance for all services together. Handshakes and kept
links cost CPU time and memory on both VMs; requests to the other guards open theirs."""


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
        Names of the daemons in the front's own region, of all of them if none is there;
        in an order that differs between fronts.
    """
    near: set[str] = set()
    far: set[str] = set()
    for candidate in candidates:
        distance = distance_between(candidate.zone, configuration, settings)
        is_far = distance is Distance.OTHER_REGION
        (far if is_far else near).add(candidate.target.daemon)
    names = (near or far) - {settings.name}
    return rank(settings.name, names)[:_MAX_LINKS_PER_SERVICE]


class GuardLinks:
    """Chooses the guards of all services that a front keeps links to.

    The guards of a service are computed again only when its targets have changed.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._configuration: Configuration | None = None
        self._guards_by_service: dict[str, tuple[Sequence[Candidate], list[str]]] = {}

    def choose(
        self,
        candidates_by_service: Mapping[str, Sequence[Candidate]],
        configuration: Configuration,
    ) -> set[str]:
        """Return the guards to keep links to, as many of each service if not all.

        Args:
            candidates_by_service: Targets of the services in use; the same object until
                they change.
            configuration: The configuration in force.

        Returns:
            Names of daemons, `_MAX_LINKS` at most.
        """
        if configuration is not self._configuration:
            self._configuration = configuration
            self._guards_by_service.clear()
        for service in list(self._guards_by_service):
            if service not in candidates_by_service:
                del self._guards_by_service[service]
        lists = []
        for service, candidates in candidates_by_service.items():
            known = self._guards_by_service.get(service)
            if known is None or known[0] is not candidates:
                names = guards_to_link(candidates, configuration, self._settings)
                known = self._guards_by_service[service] = (candidates, names)
            lists.append(known[1])
        chosen: set[str] = set()
        for of_one_rank in zip_longest(*lists):
            for name in of_one_rank:
                if name is not None:
                    chosen.add(name)
                    if len(chosen) >= _MAX_LINKS:
                        return chosen
        return chosen
