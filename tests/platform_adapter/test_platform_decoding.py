"""Tests of decoding the platform's settings, configuration, reports and headers."""

from __future__ import annotations

import json
import random

import pytest

from bramleyglade_core.decisions.admission import hash_key
from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.decisions.read_silence import ReadSilence
from bramleyglade_core.model.entities import Route, UnreadableEntity, entity_key
from bramleyglade_core.model.errors import BadInput, BadRequest, RouteRefused
from bramleyglade_core.model.exchange import AnswerStarted, Header
from bramleyglade_core.model.settings import OutagePolicy
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_core.ports.dialect import DispatchMetadata, ForwardedMetadata
from bramleyglade_platform.platform_configuration import decode_configuration
from bramleyglade_platform.platform_dialect import PlatformDialect
from bramleyglade_platform.platform_endpoints import decode_report
from bramleyglade_platform.platform_settings import load_platform_settings

from .documents import CONFIGURATION, SETTINGS

NOW_SECONDS = 1700000100.0

REPORT = {
    "Service": "catalogue",
    "Address": "10.1.0.11:8363",
    "Zone": "zone-a",
    "Version": "v1",
    "Slots": 3,
    "State": "ready",
    "ColdLeftS": 2.5,
    "Sequence": 4,
    "born": 1700000000123,
}


@pytest.fixture
def configuration(platform_settings):
    ticket = decode_configuration(CONFIGURATION, platform_settings)
    return EMPTY_CONFIGURATION.merged(ticket.states(), ticket.number)


@pytest.fixture
def dialect():
    return PlatformDialect("catalogue")


def test_platform_settings_are_mapped_to_daemon_settings(platform_settings):
    daemon = platform_settings.daemon
    assert str(daemon.peer_address) == "10.1.0.11:7780"
    assert str(daemon.caller_address) == "10.1.0.11:8365"
    assert daemon.lease.outage is OutagePolicy.STOP
    assert daemon.lease.term_seconds < platform_settings.bounds.revoke_seconds
    assert daemon.stop_seconds < platform_settings.bounds.grace_seconds


@pytest.mark.parametrize(
    ("before", "after", "message"),
    [
        ('Node = "vm-1"', "", "Node is missing"),
        ('Node = "vm-1"', "Node = 5", "Node must be a str"),
        ('Ready = "10.1.0.11:8369"', 'Ready = "nowhere"', "Listen.Ready"),
        ('"RevokeS=5"', '"RevokeS"', "Bounds"),
        ('"RevokeS=5"', '"RevokeS=soon"', "RevokeS"),
    ],
)
def test_settings_error_names_the_field(tmp_path, before, after, message):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace(before, after), encoding="utf-8")
    with pytest.raises(BadInput, match=message):
        load_platform_settings(str(path))


def test_non_strict_revocation_selects_the_go_on_policy(tmp_path):
    path = tmp_path / "settings.toml"
    text = SETTINGS.replace("RevokeStrict=true", "RevokeStrict=false")
    path.write_text(text, encoding="utf-8")
    settings = load_platform_settings(str(path))
    assert settings.daemon.lease.outage is OutagePolicy.GO_ON


@pytest.mark.parametrize("seconds", [2, 3, 13])
def test_store_is_read_well_within_the_time_for_a_version(tmp_path, seconds):
    path = tmp_path / "settings.toml"
    text = SETTINGS.replace("ConfigApplyS=2", f"ConfigApplyS={seconds}")
    path.write_text(text, encoding="utf-8")
    lease = load_platform_settings(str(path)).daemon.lease
    silence = ReadSilence(lease, 0.0, random.Random(1))
    assert lease.refresh_seconds < silence.seconds_left(0.0) <= 0.72 * seconds


def test_no_read_for_want_of_news_without_a_time_for_a_version(tmp_path):
    path = tmp_path / "settings.toml"
    text = SETTINGS.replace("ConfigApplyS=2", "SomethingElse=2")
    path.write_text(text, encoding="utf-8")
    lease = load_platform_settings(str(path)).daemon.lease
    assert lease.silence_seconds is None


def test_routes_match_by_host_and_longest_prefix(configuration):
    router = configuration.router
    assert router.match("POST", "/issue/a", "shop.example").name == "r-issue"
    assert router.match("GET", "/search/a/b", "shop.example").name == "r-search"
    for path, host in [("/issue", "shop.example"), ("/issue/a", "other.example")]:
        with pytest.raises(RouteRefused):
            router.match("POST", path, host)


def test_configuration_is_mapped_to_routes_teams_and_limits(configuration):
    issue = configuration.route_by_name["r-issue"]
    assert not issue.is_idempotent("GET")
    assert (issue.max_attempts, issue.timeout_seconds) == (2, 1.5)
    search = configuration.route_by_name["r-search"]
    assert search.is_idempotent("POST")
    assert search.open_to_all
    assert [part.weight for part in search.split] == [90, 10]
    assert configuration.team_by_key_hash[hash_key("k2")].name == "studio"
    assert configuration.team_by_name["archive"].is_unlimited
    assert configuration.caller_limits.max_body_bytes == 1000


@pytest.mark.parametrize(
    "changes",
    [{"Version": "seven"}, {"Version": None}, {"Routes": ["r"]}, {"Tenants": 7}],
)
def test_malformed_configuration_is_rejected_as_a_whole(platform_settings, changes):
    with pytest.raises(BadInput):
        decode_configuration({**CONFIGURATION, **changes}, platform_settings)


def unreadable_names(spec, settings):
    """Return the unreadable entities of a version; none of them may be usable."""
    ticket = decode_configuration(spec, settings)
    found = [e.name for e in ticket.entities if isinstance(e, UnreadableEntity)]
    usable = {str(entity_key(entity)) for entity in ticket.entities}
    assert not usable & set(found)
    return found


@pytest.mark.parametrize(
    ("changes", "name"),
    [
        ({"Routes": {"r": {}}}, "route/r"),
        ({"Tenants": {"t": {"RatePerS": "x"}}}, "team/t"),
    ],
)
def test_malformed_entity_is_rejected_alone(platform_settings, changes, name):
    """It had the whole version refused, with the keys that the version took away."""
    spec = {**CONFIGURATION, **changes}
    assert unreadable_names(spec, platform_settings) == [name]


def with_regions(kind, name, regions):
    entities = CONFIGURATION[kind]
    changed = {**entities[name], "AllowedRegions": regions}
    return {**CONFIGURATION, kind: {**entities, name: changed}}


def test_allowed_regions_are_mapped_to_routes_and_teams(platform_settings):
    for kind, name in [("Routes", "r-issue"), ("Tenants", "studio")]:
        spec = with_regions(kind, name, ["west"])
        ticket = decode_configuration(spec, platform_settings)
        listed = {e.name: getattr(e, "regions", ()) for e in ticket.entities}
        assert listed.pop(name) == ("west",)
        assert not any(listed.values())


@pytest.mark.parametrize("regions", [[], None, "west", {"west": 1}, ["west", 5], [""]])
@pytest.mark.parametrize(
    ("kind", "name"), [("Routes", "r-issue"), ("Tenants", "studio")]
)
def test_entity_with_an_unclear_list_of_regions_is_rejected(
    platform_settings, kind, name, regions
):
    """Work that must stay in a region would be served everywhere."""
    spec = with_regions(kind, name, regions)
    entity = f"{'route' if kind == 'Routes' else 'team'}/{name}"
    assert unreadable_names(spec, platform_settings) == [entity]


def test_unknown_region_is_kept_in_the_list(platform_settings):
    """Without it the list would be empty, which allows all regions."""
    for regions in (["west", "east"], ["east"]):
        spec = with_regions("Tenants", "studio", regions)
        ticket = decode_configuration(spec, platform_settings)
        (studio,) = [e for e in ticket.entities if e.name == "studio"]
        assert studio.regions == tuple(regions)


@pytest.mark.parametrize(
    ("route_type", "is_idempotent"),
    [
        ("safe", True),
        ("download", True),
        ("unsafe", False),
        ("upload", False),
        ("later", False),
        (None, False),
    ],
)
def test_route_type_decides_what_may_be_repeated(
    platform_settings, route_type, is_idempotent
):
    """An unknown type had the whole version of the configuration refused."""
    routes = {"r": {**CONFIGURATION["Routes"]["r-search"], "RouteType": route_type}}
    ticket = decode_configuration(
        {**CONFIGURATION, "Routes": routes}, platform_settings
    )
    (route,) = [e for e in ticket.entities if isinstance(e, Route)]
    assert route.is_idempotent("GET") is is_idempotent


def test_report_is_decoded():
    report = decode_report("i-1", json.dumps(REPORT).encode(), NOW_SECONDS)
    assert report.announced.instance == "i-1"
    assert (report.started_at, report.sequence) == (1700000000123, 4)
    assert report.cold_seconds == 2.5


@pytest.mark.parametrize(
    "changes",
    [
        {"State": "asleep"},
        {"Slots": "3"},
        {"Slots": 0},
        {"Address": 7},
        {"born": None},
        {"Sequence": 1.5},
        {"Service": ["x"]},
    ],
)
def test_malformed_report_is_rejected(changes):
    with pytest.raises(BadInput):
        decode_report("i-1", json.dumps({**REPORT, **changes}).encode(), NOW_SECONDS)


def test_report_that_is_no_json_object_is_rejected():
    for body in (b"", b"\xff\xfe", b"[]", b"7"):
        with pytest.raises(BadInput):
            decode_report("i-1", body, NOW_SECONDS)


def test_key_and_forged_headers_never_reach_a_target(dialect):
    received = [
        Header("host", "shop.example"),
        Header("attempt-id", "a1"),
        Header("x-api-key", "k1"),
        Header("tenant", "somebody-else"),
        Header("caller-service", "forged"),
        Header("expected-instance", "forged"),
        Header("deadline-remaining", "9999"),
        Header("connection", "close"),
    ]
    sent = dialect.forwarded_headers(received, ForwardedMetadata("a1", "studio"))
    value_by_name = {header.name: header.value for header in sent}
    assert value_by_name == {
        "host": "shop.example",
        "attempt-id": "a1",
        "caller-service": "catalogue",
        "tenant": "studio",
    }
    added = dialect.target_headers(DispatchMetadata(1.2345, "i-1"))
    assert {h.name: h.value for h in added} == {
        "deadline-remaining": "1234",
        "expected-instance": "i-1",
    }


@pytest.mark.parametrize("service", ["Höhe", "\u6771", "a b"])
def test_service_name_is_sent_in_utf_8(tmp_path, service):
    """Names outside Latin-1 kept the daemon from starting."""
    path = tmp_path / "settings.toml"
    text = SETTINGS.replace('Service = "catalogue"', f'Service = "{service}"')
    path.write_text(text, encoding="utf-8")
    settings = load_platform_settings(str(path))
    dialect = PlatformDialect(settings.service)
    (sent,) = dialect.forwarded_headers([], ForwardedMetadata("a1", ""))
    assert sent.value.encode("latin-1").decode() == service


def test_remaining_time_must_be_a_positive_number(dialect):
    assert (
        dialect.read_caller_headers([Header("deadline-remaining", "2500")]).seconds
        == 2.5
    )
    for text in ("0", "-5", "soon", "nan", "inf"):
        with pytest.raises(BadRequest):
            dialect.read_caller_headers([Header("deadline-remaining", text)])


@pytest.mark.parametrize(
    ("status", "headers", "field", "expected"),
    [
        (200, {"attempt-id": "a1", "server-seal": "s"}, "fault", False),
        (200, {"attempt-id": "a1"}, "fault", True),
        (200, {"attempt-id": "a2", "server-seal": "s"}, "fault", True),
        (200, {"server-seal": "s"}, "fault", True),
        (
            200,
            {"attempt-id": "a1", "server-seal": "s", "content-encoding": "gzip"},
            "fault",
            True,
        ),
        (503, {"attempt-id": "a1", "not-executed": "1"}, "is_not_run", True),
        (421, {"attempt-id": "a1"}, "is_other_instance", True),
        (503, {"not-executed": "1"}, "fault", True),
        (421, {"instance-id": "i-2"}, "fault", True),
        (500, {"attempt-id": "a1", "server-seal": "s"}, "is_failure", True),
        (503, {"attempt-id": "a1", "server-seal": "s"}, "is_not_run", False),
    ],
)
def test_answers_are_classified_by_their_head(
    dialect, status, headers, field, expected
):
    started = AnswerStarted(status, tuple(Header(n, v) for n, v in headers.items()))
    classification = dialect.classify_answer(started, "a1")
    assert bool(getattr(classification, field)) is expected


@pytest.mark.parametrize(
    ("status", "headers", "field"),
    [
        (503, {"not-executed": "1"}, "is_not_run"),
        (421, {"instance-id": "i-2"}, "is_other_instance"),
    ],
)
def test_refusal_without_an_id_belongs_to_the_first_request_on_its_connection(
    dialect, status, headers, field
):
    started = AnswerStarted(status, tuple(Header(n, v) for n, v in headers.items()))
    classification = dialect.classify_answer(started, "a1", True)
    assert classification.fault is None
    assert getattr(classification, field)


def test_failures_answered_by_the_fleet_have_no_server_seal(dialect):
    names = {h.name for h in dialect.outcome_headers(Verdict.NOT_RUN, "x", "a1")}
    assert names == {"attempt-id"}
    assert dialect.outcome_headers(Verdict.RAN, "ok", "a1") == []
