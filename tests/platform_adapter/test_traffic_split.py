"""A route's split: proportions over all fronts, changes of weights, and bad input."""

from __future__ import annotations

import json
import logging
import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_core.decisions.splitter import Splitter
from bramleyglade_core.model.entities import (
    Route,
    Service,
    SplitPart,
    UnreadableEntity,
)
from bramleyglade_platform.platform_configuration import decode_configuration

from .documents import CONFIGURATION

WEIGHT_OFF = 0.1
"""Largest deviation of a part's share that the rules allow."""

_WEIGHTS = st.lists(st.integers(0, 100), min_size=2, max_size=4).filter(any)


def make_route(weights):
    parts = tuple(SplitPart(f"s{i}", w) for i, w in enumerate(weights))
    return Route("r", "s0", "/", split=parts)


def check_shares(counts, weights):
    total = sum(counts.values())
    for index, weight in enumerate(weights):
        share = counts[f"s{index}"] / total
        assert abs(share - weight / sum(weights)) <= WEIGHT_OFF
        assert weight or not counts[f"s{index}"]


@given(
    weights=_WEIGHTS,
    fronts=st.integers(1, 60),
    each=st.integers(1, 20),
    seed=st.integers(0, 999),
)
def test_shares_hold_over_all_fronts_for_few_requests_a_front(
    weights, fronts, each, seed
):
    each = max(each, -(-300 // fronts))  # The rules count from 300 requests on.
    counts = Counter()
    for front in range(fronts):
        splitter = Splitter(random.Random(1000 * seed + front))
        counts.update(splitter.choose(make_route(weights)) for _ in range(each))
    check_shares(counts, weights)


@given(before=_WEIGHTS, after=_WEIGHTS, seed=st.integers(0, 999))
def test_shares_follow_a_change_of_the_weights_at_once(before, after, seed):
    fronts = [Splitter(random.Random(1000 * seed + front)) for front in range(30)]
    for splitter in fronts:
        for _ in range(7):
            splitter.choose(make_route(before))
    counts = Counter(
        splitter.choose(make_route(after)) for splitter in fronts for _ in range(10)
    )
    check_shares(counts, after)


def split_configuration(split, version="r8"):
    search = {**CONFIGURATION["Routes"]["r-search"], "TrafficSplit": split}
    routes = {**CONFIGURATION["Routes"], "r-search": search}
    return {**CONFIGURATION, "Version": version, "Routes": routes}


BAD_SPLITS = {
    "empty": [],
    "not a list": "catalogue",
    "no service": [{"Service": "", "Weight": 1}],
    "no weight": [{"Service": "catalogue"}],
    "negative weight": [{"Service": "catalogue", "Weight": -1}],
    "text as weight": [{"Service": "catalogue", "Weight": "one"}],
    "truth value as weight": [{"Service": "catalogue", "Weight": True}],
    "infinite weight": [{"Service": "catalogue", "Weight": float("inf")}],
    "no weight above zero": [
        {"Service": "catalogue", "Weight": 0},
        {"Service": "deposit", "Weight": 0},
    ],
    "part that is no table": ["catalogue"],
}


@pytest.mark.parametrize("kind", BAD_SPLITS)
def test_bad_split_is_refused_with_the_name_of_its_route(platform_settings, kind):
    spec = split_configuration(BAD_SPLITS[kind])
    entities = decode_configuration(spec, platform_settings).entities
    assert "r-search" not in {e.name for e in entities if isinstance(e, Route)}
    (unreadable,) = [e for e in entities if isinstance(e, UnreadableEntity)]
    assert unreadable.name == "route/r-search"
    assert (unreadable.host, unreadable.path_prefix) == ("shop.example", "/search/")


@pytest.mark.parametrize(
    ("split", "weight_by_service"),
    [
        ([{"Service": "nothing", "Weight": 1}], {"nothing": 1}),
        ([{"Service": "catalogue", "Weight": "2.5"}], {"catalogue": 2.5}),
        (
            [
                {"Service": "catalogue", "Weight": 1},
                {"Service": "deposit", "Weight": 1},
                {"Service": "catalogue", "Weight": 2},
            ],
            {"catalogue": 3, "deposit": 1},
        ),
    ],
)
def test_unusual_split_is_used(platform_settings, split, weight_by_service):
    """The store accepts only valid versions; these were refused as a whole."""
    ticket = decode_configuration(split_configuration(split), platform_settings)
    (route,) = [e for e in ticket.entities if e.name == "r-search"]
    assert {part.service: part.weight for part in route.split} == weight_by_service
    services = {e.name for e in ticket.entities if isinstance(e, Service)}
    assert services >= weight_by_service.keys()


@pytest.mark.parametrize("kind", ["empty", "no weight"])
def test_only_the_route_of_a_bad_split_is_refused(run_platform_fleet, caplog, kind):
    """The version before went on, with keys and routes that the newer one removed."""

    async def scenario(fleet):
        caplog.set_level(logging.ERROR)
        fleet.platform.put("config", "main", split_configuration(BAD_SPLITS[kind]))
        contexts = [daemon.context for daemon in fleet.daemons]
        await fleet.wait_until(
            lambda: {c.configuration.whole_ticket for c in contexts} == {8}
        )
        lines = [r for r in caplog.records if r.message == "EntityUnreadable"]
        assert lines
        assert {(line.kind, line.entity) for line in lines} == {("route", "r-search")}
        assert (await fleet.call(0))[1].status == 200
        answer = (await fleet.call(0, "GET", "/search/a", key=""))[1]
        assert answer.status == 503

    run_platform_fleet(scenario)


def test_retry_stays_in_the_part_that_was_chosen(run_platform_fleet):
    """What doesn't fit in a part is not moved to another, also not by a retry."""

    async def scenario(fleet):
        for target in fleet.targets:
            target.behaviour = replace(target.behaviour, failure_status=500)
        answers = [await fleet.call(0, "GET", "/search/a", "") for _ in range(20)]
        statuses = Counter(answer.status for _, answer in answers)
        # The part `deposit` has no target: one request in ten is for it.
        assert statuses[503] == 2
        assert statuses[500] == 18
        refused = [a for _, a in answers if a.status == 503]
        assert all(json.loads(a.body)["verdict"] == "not-run" for a in refused)

    run_platform_fleet(scenario)
