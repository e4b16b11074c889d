"""Errors with stable codes that all packages share."""

from __future__ import annotations

from enum import Enum

from bramleyglade_core.model.verdict import Verdict


class ErrorCode(Enum):
    """Stable error codes that callers and scripts can match on."""

    BAD_REQUEST = "bad-request"
    AMBIGUOUS_PATH = "ambiguous-path"
    RESERVED_HEADER = "reserved-header"
    NO_ROUTE = "no-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    KEY_NOT_ALLOWED = "key-not-allowed"
    CONFIGURATION_STALE = "configuration-stale"
    CONFIGURATION_UNKNOWN = "configuration-unknown"
    CONFIGURATION_UNREADABLE = "configuration-unreadable"
    BODY_TOO_LARGE = "body-too-large"
    HEAD_TOO_LARGE = "head-too-large"
    TARGET_ERROR = "target-error"
    TARGET_SHED = "target-shed"
    TARGET_BUSY = "target-busy"
    TARGET_SUSPECT = "target-suspect"
    RATE_EXCEEDED = "rate-exceeded"
    LIMIT_UNKNOWN = "limit-unknown"
    NO_TARGET = "no-target"
    NO_CAPACITY = "no-capacity"
    QUEUE_FULL = "queue-full"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    TARGET_DRAINING = "target-draining"
    TARGET_EJECTED = "target-ejected"
    TARGET_UNKNOWN = "target-unknown"
    TARGET_FAILED = "target-failed"
    TARGET_SLOW = "target-slow"
    TARGET_REFUSED = "target-refused"
    ANSWER_TRUNCATED = "answer-truncated"
    ANSWER_MALFORMED = "answer-malformed"
    ZONE_OUT = "zone-out"
    PEER_LOST = "peer-lost"
    ATTEMPT_FENCED = "attempt-fenced"
    ATTEMPT_LATE = "attempt-late"
    ATTEMPT_CANCELLED = "attempt-cancelled"
    DAEMON_FULL = "daemon-full"
    DAEMON_STOPPING = "daemon-stopping"
    BAD_SETTINGS = "bad-settings"
    BAD_TICKET = "bad-ticket"
    BAD_ANNOUNCEMENT = "bad-announcement"
    BAD_PEER_MESSAGE = "bad-peer-message"
    TICKET_CONFLICT = "ticket-conflict"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_ANSWER_LOST = "store-answer-lost"
    VERSION_CONFLICT = "version-conflict"
    STORE_RESTORED = "store-restored"


class FleetError(Exception):
    """Base of all errors that the fleet raises.

    Attributes:
        code: Stable code of the error.
        detail: Description of the error in one sentence.
        verdict: Whether the request may have run at a target.
        retry_after: Time until a retry is useful, in seconds; None if unknown.
    """

    def __init__(
        self,
        code: ErrorCode,
        detail: str,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(f"{code.value}: {detail}")
        self.code = code
        self.detail = detail
        self.verdict = verdict
        self.retry_after = retry_after


class BadRequest(FleetError):
    """The request is malformed, ambiguous or too large, or uses a reserved header."""


class RouteRefused(FleetError):
    """No route matches the path, or none of them accepts the method."""


class KeyRefused(FleetError):
    """The key is missing, unknown, withdrawn, not allowed here or not verifiable."""


class RateExceeded(FleetError):
    """The team has used up its rate and burst, or no keeper grants more of them."""


class AttemptError(FleetError):
    """An attempt was refused or aborted; the verdict tells whether it may have run."""


class StoreError(FleetError):
    """A call to the platform's object store failed."""


class StoreUnavailable(StoreError):
    """The call did not reach the store, or the store could not serve it."""


class StoreAnswerLost(StoreError):
    """The call may have taken effect; the caller must read the object to find out."""


class VersionConflict(StoreError):
    """The object exists already, or its version is not the expected one."""


class StoreRestored(StoreError):
    """The store has been restored from a copy since the state that a call rests on.

    A write may have taken effect all the same, and its condition may have matched
    other content than was read.
    """

    def __init__(self, era: int, detail: str) -> None:
        super().__init__(ErrorCode.STORE_RESTORED, detail)
        self.era = era
        """Era of the store's answer."""


class BadInput(FleetError):
    """Settings, a ticket, an announcement or a peer message is malformed."""
