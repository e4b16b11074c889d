"""Checks of paths and headers, and route matching."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_core.decisions.routing import (
    Router,
    check_headers,
    check_path,
    host_of,
)
from bramleyglade_core.model.entities import Route, UnreadableEntity
from bramleyglade_core.model.errors import (
    AttemptError,
    BadRequest,
    ErrorCode,
    RouteRefused,
)
from bramleyglade_core.model.exchange import Header


@pytest.mark.parametrize(
    "request_target",
    [
        "/a/../b",
        "/a/./b",
        "/a%2fb",
        "/a%2Eb",
        "/a//b",
        "/a\\b",
        "/a;x=1/b",
        "http://host/a",
        "*",
        "/a%00",
        "/caf\u00e9",
        "/a%252fb",
    ],
)
def test_ambiguous_path_is_refused(request_target):
    with pytest.raises(BadRequest):
        check_path(request_target)


@pytest.mark.parametrize(
    "request_target", ["/", "/a", "/a/b.c?x=..%2f", "/a%20b", "/..a/b."]
)
def test_unambiguous_path_is_returned_without_its_query(request_target):
    assert check_path(request_target) == request_target.partition("?")[0]


@pytest.mark.parametrize(
    ("prefix", "path"),
    [
        ("/fran%C3%A7ais/", "/fran%C3%A7ais/a"),
        ("/a%2Fb/", "/a%2Fb/c"),
        ("/100%25/", "/100%25/c"),
        ("/a//b/", "/a//b/c"),
        ("/a/../b/", "/a/../b/c"),
        ("/a;v=1/", "/a;v=1/c"),
    ],
)
def test_prefix_matches_in_its_own_spelling_only(prefix, path):
    """Paths below such a prefix were refused, or the prefix was not accepted at all."""
    router = Router([Route("spelled", "s", prefix)])
    assert router.find("GET", path + "?q=..").name == "spelled"
    for ambiguous in (path + "/../x", path + "//x", path + "%2fx"):
        with pytest.raises(BadRequest):
            router.find("GET", ambiguous)
    with pytest.raises(RouteRefused):
        router.find("GET", "/fran%c3%a7ais/a")


@pytest.mark.parametrize(
    ("text", "host"),
    [("Shop:80", "shop"), ("[::1]:80", "[::1]"), ("shop", "shop"), ("", "")],
)
def test_host_is_taken_without_its_port(text, host):
    assert host_of(text) == host


@pytest.mark.parametrize("is_identified", [True, False])
def test_request_that_an_unreadable_route_may_match_is_refused(is_identified):
    """404 would state that the route does not exist."""
    unreadable = UnreadableEntity(
        "route/x", "bad", "", "/songs/new/", is_identified=is_identified
    )
    router = Router([Route("songs", "s", "/songs/")], [unreadable])
    assert router.find("GET", "/songs/1").name == "songs"
    path = "/songs/new/1" if is_identified else "/other"
    with pytest.raises(AttemptError) as caught:
        router.find("GET", path)
    assert caught.value.code is ErrorCode.CONFIGURATION_UNREADABLE


def test_reserved_header_is_refused():
    with pytest.raises(BadRequest) as caught:
        check_headers([Header("x-fleet-deadline-seconds", "1")])
    assert caught.value.code is ErrorCode.RESERVED_HEADER


def test_prefix_matches_whole_segments_only():
    router = Router([Route("songs", "s", "/songs"), Route("all", "s", "/")])
    assert router.match("GET", "/songs").name == "songs"
    assert router.match("GET", "/songs/1").name == "songs"
    assert router.match("GET", "/songster").name == "all"


def test_method_that_no_route_allows_is_refused_as_not_allowed():
    router = Router([Route("songs", "s", "/songs", methods=("GET",))])
    with pytest.raises(RouteRefused) as caught:
        router.match("POST", "/songs/1")
    assert caught.value.code is ErrorCode.METHOD_NOT_ALLOWED


_segments = st.lists(st.sampled_from(["a", "b", "c"]), min_size=1, max_size=4)


@given(prefixes=st.lists(_segments, min_size=1, max_size=6), path=_segments)
def test_router_agrees_with_a_linear_search_of_all_routes(prefixes, path):
    path_prefixes = dict.fromkeys("/" + "/".join(prefix) for prefix in prefixes)
    routes = [Route(f"r{i}", "s", prefix) for i, prefix in enumerate(path_prefixes)]
    request_path = "/" + "/".join(path)
    matching = [
        r for r in routes if (request_path + "/").startswith(r.path_prefix + "/")
    ]
    expected = max(matching, key=lambda r: len(r.path_prefix), default=None)
    try:
        found = Router(routes).match("GET", request_path)
    except RouteRefused:
        found = None
    assert found == expected
