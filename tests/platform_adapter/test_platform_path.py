"""End-to-end tests of requests on the platform, from a caller to a target."""

from __future__ import annotations

import logging
from dataclasses import replace

import curio
import pytest

from bramleyglade_core.model.identifiers import TargetId
from bramleyglade_standins.platform_server import PlatformFaults

from .documents import CONFIGURATION


def test_target_gets_no_key_and_no_forged_headers(run_platform_fleet):
    async def scenario(fleet):
        for _ in range(4):
            request_id, answer = await fleet.call(
                0, tenant="forged", caller_service="forged"
            )
            assert answer.status == 200
            assert answer.header("attempt-id") == request_id
            assert answer.header("server-seal").startswith("seal-of-i-")
        for target in fleet.targets:
            for seen in target.seen:
                assert "x-api-key" not in seen
                assert seen["tenant"] == "studio"
                assert seen["caller-service"] == "catalogue"
                assert seen["expected-instance"] == target.instance
                assert 0 < int(seen["deadline-remaining"]) <= 1500
        assert {t.instance for t in fleet.targets if t.seen} <= {"i-0", "i-1"}

    run_platform_fleet(scenario)


def test_restarted_daemon_finds_a_running_target_before_its_next_report(
    run_platform_fleet,
):
    async def scenario(fleet):
        await fleet.restart_daemon(0)
        daemon = fleet.daemons[0]
        await fleet.wait_until(lambda: "i-0" in daemon.guard.runner_by_name)
        await fleet.wait_until(
            lambda: (
                target_names(daemon.context, "catalogue")
                == {TargetId("vm-0", "i-0"), TargetId("vm-1", "i-1")}
            )
        )

    run_platform_fleet(scenario)


def target_names(context, service):
    return {c.target for c in context.directory.candidates(service)}


@pytest.mark.parametrize("has_left", [True, False], ids=["left", "crashed"])
def test_target_of_another_service_at_a_restart_gets_no_request_of_the_old_one(
    run_platform_fleet, has_left
):
    """The health check at the start took the service from outdated settings."""

    async def scenario(fleet):
        if has_left:
            assert (await fleet.leave(0)).status == 200
        target = fleet.targets[0]
        target.instance = "i-9"
        await fleet.restart_daemon(0)
        await fleet.wait_until(lambda: target.health_checks)
        for _ in range(12):
            await curio.sleep(0.05)
            await fleet.call(1, key="k3")
        assert not target.seen
        report = await fleet.report(0, name="i-9", Service="deposit", born=2000)
        assert report.status == 200
        assert target_names(fleet.daemons[0].context, "deposit") == {
            TargetId("vm-0", "i-9")
        }

    run_platform_fleet(scenario)


def test_change_of_the_settings_file_needs_no_signal(run_platform_fleet):
    """Callers' requests went on naming the service of the settings at the start."""

    async def scenario(fleet):
        path = fleet.tmp_path / "settings-0.toml"
        text = path.read_text(encoding="utf-8")
        path.write_text("Service = ", encoding="utf-8")  # Written in part.
        await curio.sleep(1.0)
        assert await caller_service(fleet) == "catalogue"
        changed = text.replace('Service = "catalogue"', 'Service = "deposit"')
        path.write_text(changed, encoding="utf-8")
        dialect = fleet.daemons[0].context.dialect
        await fleet.wait_until(lambda: dialect.service == "deposit")
        assert await caller_service(fleet) == "deposit"

    run_platform_fleet(scenario)


async def caller_service(fleet):
    """Send requests until one reaches a target; return the service that it names."""
    for target in fleet.targets:
        target.seen.clear()
    while not any(target.seen for target in fleet.targets):
        await fleet.call(0, key="k3")
    (seen,) = [seen for target in fleet.targets for seen in target.seen]
    return seen["caller-service"]


def test_refusals_have_the_status_of_their_cause(run_platform_fleet):
    async def scenario(fleet):
        assert (await fleet.call(key="unknown"))[1].status == 401
        assert (await fleet.call(path="/nowhere/a"))[1].status == 404
        assert (await fleet.call(host="other.example"))[1].status == 404
        assert (await fleet.call(path="/search/a", key=""))[1].status in (200, 503)
        refused = await fleet.call(deadline_remaining="0")
        assert refused[1].status == 400

    run_platform_fleet(scenario)


def test_missing_configuration_gives_503_instead_of_404(run_platform_fleet):
    async def scenario(fleet):
        assert await fleet.readiness_status(0) == 503
        answer = (await fleet.call())[1]
        assert answer.status == 503
        assert float(answer.header("retry-after")) > 0
        fleet.platform.put("config", "main", CONFIGURATION)
        await fleet.wait_until(
            lambda: fleet.daemons[0].context.configuration.state_by_key
        )
        assert await fleet.readiness_status(0) == 200

    run_platform_fleet(scenario, is_configured=False)


def test_request_shed_by_one_target_is_served_by_another(run_platform_fleet):
    async def scenario(fleet):
        for target in fleet.targets:
            target.behaviour = replace(target.behaviour, sheds=True)
        request_id, answer = await fleet.call()
        assert answer.status == 503
        assert request_id not in fleet.targets[0].runs_by_request
        fleet.targets[1].behaviour = replace(fleet.targets[1].behaviour, sheds=False)
        request_id, answer = await fleet.call(1)
        assert answer.status == 200
        assert fleet.targets[1].runs_by_request[request_id] == 1

    run_platform_fleet(scenario)


def test_unsafe_request_with_a_lost_answer_gets_502_and_no_retry(run_platform_fleet):
    async def scenario(fleet):
        for target in fleet.targets:
            target.behaviour = replace(target.behaviour, loses_answers=True)
        request_id, answer = await fleet.call()
        assert answer.status == 502
        runs = [t.runs_by_request.get(request_id, 0) for t in fleet.targets]
        assert sum(runs) == 1

    run_platform_fleet(scenario)


def test_failed_safe_request_is_retried_on_another_target(run_platform_fleet):
    async def scenario(fleet):
        changes = {"Service": "catalogue", "TrafficSplit": None}
        routes = CONFIGURATION["Routes"]
        search_route = {**routes["r-search"], **changes}
        version = {
            **CONFIGURATION,
            "Version": "r8",
            "Routes": {"r-search": search_route},
        }
        fleet.platform.put("config", "main", version)
        await fleet.wait_until(
            lambda: all(
                d.context.configuration.whole_ticket == 8 for d in fleet.daemons
            )
        )
        fleet.targets[0].behaviour = replace(
            fleet.targets[0].behaviour, failure_status=500
        )
        for _ in range(6):
            assert (await fleet.call(0, "GET", "/search/a", ""))[1].status == 200
        fleet.targets[1].behaviour = fleet.targets[0].behaviour
        answer = (await fleet.call(0, "GET", "/search/a", ""))[1]
        assert answer.status == 500
        assert answer.header("server-seal")

    run_platform_fleet(scenario)


def test_draining_target_gets_no_request_after_acknowledgement(run_platform_fleet):
    async def scenario(fleet):
        assert (await fleet.report(0, Sequence=2)).status == 200
        assert (await fleet.report(0, Sequence=3, State="draining")).status == 200
        before = len(fleet.targets[0].seen)
        for _ in range(4):
            assert (await fleet.call(0))[1].status == 200
        assert (await fleet.report(0, Sequence=2)).status == 200  # A late report.
        for _ in range(4):
            assert (await fleet.call(0))[1].status == 200
        assert len(fleet.targets[0].seen) == before
        assert (await fleet.report(1, "DELETE")).status == 200
        answer = (await fleet.call(1))[1]
        assert answer.status == 503

    run_platform_fleet(scenario)


def test_malformed_report_is_rejected_and_changes_nothing(run_platform_fleet):
    async def scenario(fleet):
        assert (await fleet.report(0, Slots="many")).status == 400
        assert (await fleet.call(0))[1].status == 200

    run_platform_fleet(scenario)


def test_store_outage_stops_only_requests_that_need_a_key(run_platform_fleet):
    async def scenario(fleet):
        fleet.platform.faults = PlatformFaults(refusal=503)
        await fleet.wait_until(
            lambda: not any(d.context.lease.is_valid for d in fleet.daemons)
        )
        answer = (await fleet.call())[1]
        assert answer.status == 503
        path_prefix = CONFIGURATION["Routes"]["r-search"]["PathPrefix"]
        statuses = {
            (await fleet.call(0, "GET", f"{path_prefix}a", ""))[1].status
            for _ in range(4)
        }
        assert 200 in statuses
        assert await fleet.readiness_status(0) == 200

    run_platform_fleet(scenario)


def test_requests_with_a_key_survive_store_outage_if_not_strict(
    run_platform_fleet,
):
    """Guards against an outage policy that is read from settings but not applied."""

    async def scenario(fleet):
        assert (await fleet.call())[1].status == 200
        fleet.platform.faults = PlatformFaults(refusal=503)
        terms = [daemon.context.settings.lease.term_seconds for daemon in fleet.daemons]
        await curio.sleep(max(terms) + 1.0)
        for index in (0, 1):  # Targets that stop reporting are considered gone.
            await fleet.report(index)
        assert (await fleet.call())[1].status == 200

    run_platform_fleet(scenario, is_strict=False)


def test_failure_is_reported_to_other_fronts(run_platform_fleet):
    """Guards against fronts that learn of failures only from their own requests."""

    async def scenario(fleet):
        await fleet.wait_until(
            lambda: all(d.peers.open_links() for d in fleet.daemons),
        )
        fleet.targets[0].behaviour = replace(
            fleet.targets[0].behaviour, failure_status=500
        )
        # Until the keepers grant shares, requests are refused without an attempt.
        while (await fleet.call(0))[1].status != 500:
            pass
        failing = TargetId(fleet.daemons[0].context.settings.name, "i-0")
        picker = fleet.daemons[1].context.picker

        def is_risk_known():
            view = picker.view_by_target.get(failing)
            return view is not None and view.risk > 0.2

        await fleet.wait_until(is_risk_known)

    run_platform_fleet(scenario)


def test_full_local_target_is_not_tried_repeatedly(run_platform_fleet):
    """Guards against retrying a full local target because its view is 0.5 s old."""

    async def scenario(fleet):
        for target in fleet.targets:
            target.behaviour = replace(target.behaviour, work_seconds=0.4)
        calls = [await curio.spawn(fleet.call, 0) for _ in range(8)]
        answers = [(await task.join())[1].status for task in calls]
        assert answers == [200] * 8
        assert [len(target.seen) for target in fleet.targets] == [4, 4]

    run_platform_fleet(scenario)


def test_request_log_line_names_the_outcome_and_its_causes(run_platform_fleet, caplog):
    async def scenario(fleet):
        caplog.set_level(logging.INFO)
        view = fleet.daemons[0].context.view
        first_revision = view.revision
        served = (await fleet.call())[0]
        last_revision = view.revision
        refused = (await fleet.call(key="unknown"))[0]
        line_by_request = {
            record.request: record
            for record in caplog.records
            if record.getMessage() in ("RequestAnswered", "RequestFailed")
        }
        line = line_by_request[served]
        assert (line.code, line.verdict, line.status) == ("ok", "ran", 200)
        assert (line.team, line.route, line.service) == (
            "studio",
            "r-issue",
            "catalogue",
        )
        assert line.targets.split(",")[-1] in ("i-0", "i-1")
        assert first_revision <= line.revision <= last_revision
        line = line_by_request[refused]
        assert (line.code, line.verdict) == ("key-unknown", "not-run")
        assert line.route == "r-issue"

    run_platform_fleet(scenario)


def test_rate_refusal_names_the_rate_and_burst(run_platform_fleet, caplog):
    async def scenario(fleet):
        caplog.set_level(logging.INFO)
        tenants = {"studio": {"ApiKeys": ["k1"], "RatePerS": 1, "Burst": 1}}
        version = {**CONFIGURATION, "Version": "r8", "Tenants": tenants}
        fleet.platform.put("config", "main", version)
        await fleet.wait_until(
            lambda: fleet.daemons[0].context.configuration.whole_ticket == 8
        )
        statuses = [(await fleet.call())[1].status for _ in range(4)]
        assert 429 in statuses
        lines = [r for r in caplog.records if getattr(r, "code", "") == "rate-exceeded"]
        assert "1/s and a burst of 1" in lines[0].why

    run_platform_fleet(scenario)
