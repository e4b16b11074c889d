"""Mutation tests: breaks the code behind each invariant and expects a test to fail.

Mutates a copy of the sources; prints one JSON object a mutation and a summary.
"""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

_CORE = "core/src/bramleyglade_core/decisions"
_DAEMON = "daemon/src/bramleyglade_daemon"
_TEST_TIMEOUT_SECONDS = 240


@dataclass(frozen=True, slots=True)
class Mutation:
    """A change to one source file that breaks an invariant."""

    invariant: str
    file: str
    """Path below `packages/`."""
    before: str
    after: str
    tests: str
    """Arguments of pytest that select the tests, as in a shell."""


MUTATIONS = (
    Mutation(
        "a non-idempotent request runs at most once: the fence",
        f"{_CORE}/attempt_table.py",
        "if record is None or record.phase is not AttemptPhase.QUEUED:",
        "if record is None:",
        "tests/test_guard_decisions.py -k fence",
    ),
    Mutation(
        "a non-idempotent request runs at most once: retries by verdict",
        f"{_CORE}/retry_budget.py",
        "return is_idempotent or verdict is Verdict.NOT_RUN",
        "return True",
        "tests/test_guard_decisions.py tests/faults -k 'retry or slice'",
    ),
    Mutation(
        "not run is true: verdict after the first byte",
        f"{_DAEMON}/guard/target_worker.py",
        "verdict = Verdict.MAY_HAVE_RUN",
        "verdict = Verdict.NOT_RUN",
        "tests/faults tests/test_path.py",
    ),
    Mutation(
        "not run is true: earlier attempts count",
        f"{_DAEMON}/front/attempts.py",
        "        self._verdict = self._verdict.combined_with(failed.verdict)\n",
        "",
        "tests/test_path.py -k after_a_retry",
    ),
    Mutation(
        "rate and burst: an ask that came twice",
        f"{_CORE}/team_allocator.py",
        "if previous is not None and asked.sequence <= previous.sequence:",
        "if False:",
        "tests/test_shares.py",
    ),
    Mutation(
        "rate and burst: an answer that came late",
        f"{_CORE}/share_holding.py",
        "if self._asked_at is None or granted.sequence != self._sequence:",
        "if False:",
        "tests/test_shares.py",
    ),
    Mutation(
        "rate and burst: a new keeper waits",
        f"{_CORE}/shard_keeper.py",
        "else KeeperPhase.WAITING",
        "else KeeperPhase.GRANTING",
        "tests/test_shares.py",
    ),
    Mutation(
        "rate and burst: a lapsed share is not spent",
        f"{_CORE}/share_holding.py",
        "if now >= self.term_end:",
        "if False:",
        "tests/test_shares.py",
    ),
    Mutation(
        "withdrawn keys: a lapsed lease is not revived",
        f"{_CORE}/lease.py",
        "if not self.is_valid:",
        "if False:",
        "tests/test_lease.py",
    ),
    Mutation(
        "withdrawn keys: unreachable members do not speak for an outage",
        f"{_CORE}/lease.py",
        "if report is not None and report.is_away",
        "if report is None or report.is_away",
        "tests/test_lease.py tests/test_promises.py -k 'unreachable or halves'",
    ),
    Mutation(
        "withdrawn keys: a daemon without a lease refuses keyed work",
        f"{_CORE}/admission.py",
        "if not is_lease_valid:",
        "if False:",
        "tests/test_admission.py",
    ),
    Mutation(
        "configuration never reverts: the highest ticket wins",
        f"{_CORE}/configuration.py",
        "if current is not None and current.ticket >= state.ticket:",
        "if False:",
        "tests/test_configuration.py",
    ),
    Mutation(
        "configuration comes whole: a batch that leaves a gap",
        f"{_CORE}/shared_view.py",
        "if batch.after > self.revision:",
        "if False:",
        "tests/test_configuration.py",
    ),
    Mutation(
        "configuration never reverts: an older word proves nothing",
        f"{_CORE}/shared_view.py",
        "return self.newest_known_revision <= revision <= self.revision",
        "return True",
        "tests/test_configuration.py",
    ),
    Mutation(
        "the floor of ejections",
        f"{_CORE}/ejection_permits.py",
        "return healthy >= floor * capacity.announced and healthy > 0",
        "return True",
        "tests/test_guard_decisions.py",
    ),
    Mutation(
        "no target sees a key",
        "adapters/src/bramleyglade_adapters/http/fleet_dialect.py",
        "        self._dropped_headers = (\n            settings.key_header,\n",
        "        self._dropped_headers = (\n",
        "tests/test_path.py",
    ),
    Mutation(
        "rate and burst: what a silent daemon may hold is not granted",
        f"{_CORE}/shard_keeper.py",
        "allocator.assume_held(daemon, until)",
        "pass",
        "tests/test_shares.py",
    ),
    Mutation(
        "rate and burst: a new share holds what came with it",
        f"{_CORE}/share_holding.py",
        "        self._refilled_at = max(now, self._refilled_at)\n        if now",
        "        if now < self.term_end:\n"
        "            self._refilled_at = max(now, self._refilled_at)\n        if now",
        "tests/test_shares.py",
    ),
    Mutation(
        "repeats are bounded: a repeated run makes its calls again",
        f"{_CORE}/retry_budget.py",
        "        if may_have_run:\n",
        "        if False:\n",
        "tests/test_target_decisions.py",
    ),
    Mutation(
        "repeats are bounded: a restart gives no second floor",
        f"{_CORE}/retry_budget.py",
        "return self._floor * min(1.0, max(0.0, age))",
        "return self._floor",
        "tests/test_target_decisions.py",
    ),
    Mutation(
        "a cold target gets one request at first",
        f"{_CORE}/ramp.py",
        "        self.limit = 1\n",
        "        self.limit = slots\n",
        "tests/test_guard_decisions.py",
    ),
    Mutation(
        "a zone taken out gets no new work",
        f"{_CORE}/directory.py",
        "if configuration.is_zone_in_use(z)}",
        "}",
        "tests/test_admission.py",
    ),
    Mutation(
        "a leaving target gets no new work",
        f"{_DAEMON}/guard/target_runner.py",
        "if self.announced.is_draining:",
        "if False:",
        "tests/test_path.py -k draining",
    ),
    Mutation(
        "a planned stop cuts no request",
        f"{_DAEMON}/daemon.py",
        "            await self._wait_idle()\n",
        "",
        "tests/test_promises.py -k planned",
    ),
    Mutation(
        "whole answers: one that breaks off is not passed off as whole",
        f"{_DAEMON}/front/caller_exchange.py",
        "            await self._reset_connection()\n            return\n        self",
        "            self._connection.end_answer()\n"
        "            await self._connection.flush()\n            return\n        self",
        "tests/test_path.py -k breaks_off",
    ),
    Mutation(
        "one path for the front and the target",
        f"{_CORE}/routing.py",
        'if "%" in path and any(code',
        "if False and any(code",
        "tests/test_routing.py",
    ),
    Mutation(
        "no sound target is left without requests: the guard takes what it is due",
        f"{_DAEMON}/guard/target_runner.py",
        "if is_risky and not self._accepts_when_due(item, phase):",
        "if is_risky:",
        "tests/test_path.py -k due_for",
    ),
    Mutation(
        "no sound target is left without requests: due targets come first",
        f"{_CORE}/picker.py",
        "        if due is not None:\n",
        "        if False:\n",
        "tests/test_idle_targets.py -k 'healthy and typical'",
    ),
    Mutation(
        "avoidance ends when the daemon is reached",
        f"{_DAEMON}/daemon.py",
        "        self.context.picker.clear_daemon_avoidance(hello.daemon.name)\n",
        "",
        "tests/test_idle_targets.py -k reached",
    ),
    Mutation(
        "two keepers never both grant: a leaving keeper after its handover",
        f"{_DAEMON}/fleet/keepers.py",
        "if keeper is None or self._has_handed_over(keeper):",
        "if keeper is None:",
        "tests/test_planned_stop.py -k without_an_answer",
    ),
    Mutation(
        "rate and burst: a leaving daemon after its notice",
        f"{_DAEMON}/front/team_limiter.py",
        "if now >= self._last_use_at:",
        "if False:",
        "tests/test_shares.py -k leaving",
    ),
    Mutation(
        "rate and burst: shares of leaving daemons until their notice has passed",
        f"{_CORE}/shard_keeper.py",
        "until = min(last_use, self._assumed_until)",
        "until = 0.0 if last_use < self._assumed_until else last_use",
        "tests/test_shares.py -k leaving",
    ),
    Mutation(
        "a daemon that is cut off suspects no other",
        f"{_DAEMON}/fleet/membership.py",
        "if any(answers) or (needs_answer and False not in answers):",
        "if any(answers):",
        "tests/test_failure_detection.py",
    ),
    Mutation(
        "an upload that is sent again is sent whole",
        f"{_DAEMON}/front/attempts.py",
        "await self._end_upload()\n        if self._open.current is not None:",
        "if self._open.current is not None:",
        "tests/platform_adapter/test_uploads.py",
    ),
    Mutation(
        "a slow attempt stays open: it is not ended before its retry",
        f"{_DAEMON}/front/attempts.py",
        "            self._open.set_aside()\n",
        "            await self._open.end_current()\n",
        "tests/test_slow_attempts.py -k delivered",
    ),
    Mutation(
        "a slow attempt stays open: it is waited for if no other is left",
        f"{_DAEMON}/front/attempts.py",
        "return self._open.has_others and not self._is_over",
        "return False",
        "tests/test_slow_attempts.py -k delivered",
    ),
    Mutation(
        "a stop that begins while a loan is asked breaks off no request",
        f"{_DAEMON}/front/attempts.py",
        "return not self._open.has_event and not self._context.is_leaving",
        "return not self._open.has_event",
        "tests/test_slow_attempts.py -k loan",
    ),
    Mutation(
        "no request is sent again whose caller has left",
        f"{_DAEMON}/front/request.py",
        "        self.has_caller_left = True\n",
        "",
        "tests/test_slow_attempts.py -k caller",
    ),
    Mutation(
        "a request is given up whatever it waits for",
        f"{_DAEMON}/front/caller_exchange.py",
        "            await self._task.cancel(blocking=False)\n",
        "            pass\n",
        "tests/test_planned_stop.py -k 'end_of_a_stop'",
    ),
    Mutation(
        "all requests that have arrived are answered before a close",
        f"{_DAEMON}/front/pipe.py",
        "if not self._has_arrived_behind(connection):",
        "if True:",
        "tests/test_pipelined_requests.py -k 'arrived or stopped'",
    ),
    Mutation(
        "what may outlast a stop is refused after the notice",
        f"{_CORE}/stop_schedule.py",
        "if now >= self.notice_ends_at and now + timeout_seconds > self.ends_at:",
        "if False:",
        "tests/test_planned_stop.py -k 'outlast or schedule'",
    ),
    Mutation(
        "one task reads a caller's connection: bodies",
        f"{_DAEMON}/front/pipe.py",
        "        await self._cancel_reader()\n        return await connection.receive",
        "        return await connection.receive",
        "tests/test_pipelined_requests.py -k upload",
    ),
    Mutation(
        "one task reads a caller's connection: no reader while a body is due",
        f"{_DAEMON}/front/pipe.py",
        "if is_running or is_body_due:",
        "if is_running:",
        "tests/test_pipelined_requests.py -k 'upload or is_due'",
    ),
    Mutation(
        "an answer to HEAD has no body",
        "adapters/src/bramleyglade_adapters/http/server_connection.py",
        "        if self._has_answer_body:\n",
        "        if True:\n",
        "tests/test_answers.py -k head_request",
    ),
    Mutation(
        "a request sent in part ends its connection",
        "adapters/src/bramleyglade_adapters/http/client_connection.py",
        "states != (h11.DONE, h11.DONE) or self._has_unsent:",
        "states != (h11.DONE, h11.DONE):",
        "tests/test_answers.py -k upload_in_part",
    ),
    Mutation(
        "a queued request does not start in a zone taken out",
        f"{_DAEMON}/guard/target_runner.py",
        "if not self._context.is_zone_in_use:\n            raise",
        "if False:\n            raise",
        "tests/test_path.py -k queued_request_does",
    ),
    Mutation(
        "a target's service is what it reported",
        f"{_DAEMON}/guard/start_probe.py",
        "(t for t in targets if t.instance == instance)",
        "(t for t in targets)",
        "tests/platform_adapter/test_platform_path.py -k another_service",
    ),
    Mutation(
        "bytes without end block no task",
        "adapters/src/bramleyglade_adapters/fair_turns.py",
        "if self._steps >= _STEPS_PER_TURN:",
        "if False:",
        "tests/test_fair_turns.py",
    ),
)


def run_mutation(mutation: Mutation) -> bool:
    """Run the mutation's tests on a mutated copy of the sources.

    Args:
        mutation: The change and its tests.

    Returns:
        True if a test failed.

    Raises:
        ValueError: If the file does not contain the text to replace.
    """
    with tempfile.TemporaryDirectory() as directory:
        packages = Path(directory) / "packages"
        shutil.copytree("packages", packages)
        file = packages / mutation.file
        text = file.read_text()
        if mutation.before not in text:
            raise ValueError(f"{mutation.file} does not contain {mutation.before!r}")
        file.write_text(text.replace(mutation.before, mutation.after, 1))
        paths = [str(path) for path in packages.glob("*/src")]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
        command = f"{sys.executable} -m pytest -x -q {mutation.tests}"
        completed = subprocess.run(
            command,
            shell=True,
            env=environment,
            capture_output=True,
            timeout=_TEST_TIMEOUT_SECONDS,
        )
        return completed.returncode == 1


def main() -> None:
    """Run all mutations; exit with 1 if the tests missed one."""
    unnoticed = 0
    for mutation in MUTATIONS:
        is_detected = run_mutation(mutation)
        unnoticed += not is_detected
        row = {
            "invariant": mutation.invariant,
            "file": mutation.file,
            "tests": mutation.tests,
            "went_red": is_detected,
        }
        print(json.dumps(row), flush=True)
    print(json.dumps({"mutations": len(MUTATIONS), "unnoticed": unnoticed}))
    sys.exit(1 if unnoticed else 0)


if __name__ == "__main__":
    main()
