"""What callers send, how targets answer it, and how both are drawn."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from hypothesis import strategies as st

MOST_PAUSE_SECONDS = 0.12
"""Longest pause of a caller; several fit into a route's timeout of 1.5 s."""

UPLOAD_PREFIX = "/deposit/"
UNSAFE_PREFIX = "/issue/"
SAFE_PREFIX = "/search/"


class Framing(Enum):
    """How a request states where its body ends."""

    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller, and the packets in which it is sent."""

    method: str
    prefix: str
    framing: Framing
    body_bytes: int
    chunk_bytes: int
    cuts: tuple[float, ...]
    """Places of the request's bytes after which the caller pauses, as shares."""
    pauses: tuple[float, ...]
    """One pause in seconds after each cut."""
    waits_for_answer: bool
    """False if it is sent before the previous request is answered."""

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.prefix == SAFE_PREFIX

    def body(self, number: int) -> bytes:
        """Return the body of the request with a number in its conversation."""
        if self.framing is Framing.NONE:
            return b""
        return random.Random(number).randbytes(self.body_bytes)


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer after the whole request."""

    status: int = 200
    is_chunked: bool = False
    has_trailers: bool = False
    names_length_too: bool = False
    """Whether an answer in chunks also names a length, which is wrong."""
    informational: int = 0
    """Informational answers before it."""
    is_repeated: bool = False
    """Whether a second copy follows at once."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """A rejection that states that the request has not run."""

    body_share: float
    """Share of the body that is read before."""


@dataclass(frozen=True, slots=True)
class AnsweredEarly:
    """A final answer before the body is in; the rest is read later."""

    body_share: float


@dataclass(frozen=True, slots=True)
class Cut:
    """An answer that ends early, with a close or a reset."""

    share: float


@dataclass(frozen=True, slots=True)
class Unframed:
    """An answer without a length, which only the end of the connection ends.

    Its reader can't tell a part of it from the whole if the connection is closed, so
    that only one that is reset is sent in part.
    """

    body_share: float
    """Share of the request's body that is read before."""
    reset_share: float | None
    """Share of the answer that is sent before a reset; None to send all and close."""
    pause_seconds: float = 0.0
    """Time between what is sent of the answer and the reset."""


Script = Answered | Rejected | AnsweredEarly | Cut | Unframed


class Loans(Enum):
    """What peers say when a front asks them for a retry."""

    AT_ONCE = "at once"
    LATE = "late"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Conversation:
    """The requests of one connection and the answers of the targets to them."""

    requests: tuple[CallerRequest, ...]
    scripts: tuple[Script, ...]
    """Used in turn by the requests that reach a target; later ones are answered."""
    loans: Loans
    is_http_1_0: bool = False
    is_split_after_head: bool = False
    """Whether a caller pauses between the head and the body of each request."""
    reset_share: float | None = None
    """Share of the last request after which its caller resets; None if it doesn't."""


_SHARES = st.sampled_from([0.0, 0.05, 0.3, 0.55, 0.9, 1.0])
_PAUSES = st.sampled_from([0.0, 0.003, 0.05, MOST_PAUSE_SECONDS])
_BODY_BYTES = st.sampled_from(
    [
        *(0, 1, 10, 9_000, 70_000, 200_000, 262_144, 300_000, 330_000, 360_000),
        *(500_000, 6_000_000),
    ]
)
"""The largest does not fit into the buffers on the way to a target."""
_REJECTED_SHARES = st.sampled_from([0.0, 0.3, 0.55, 0.6, 0.65, 0.7, 0.8, 1.0])
"""Dense where an upload is about to pass the limit of what is kept for a retry."""
_CHUNK_BYTES = st.sampled_from([7_000, 50_000, 65_280, 400_000])


@st.composite
def _odd_packets(draw: st.DrawFn) -> tuple[tuple[float, ...], tuple[float, ...]]:
    cuts = sorted(draw(st.lists(_SHARES, max_size=5)))
    return tuple(cuts), tuple(draw(_PAUSES) for _ in cuts)


@st.composite
def _even_packets(draw: st.DrawFn) -> tuple[tuple[float, ...], tuple[float, ...]]:
    """Draw packets of one size at an even pace, so that a body goes on for a while."""
    count = draw(st.integers(2, 9))
    pause = draw(st.sampled_from([0.003, 0.02, 0.05]))
    return tuple(i / count for i in range(1, count)), (pause,) * (count - 1)


@st.composite
def _requests(draw: st.DrawFn) -> CallerRequest:
    cuts, pauses = draw(st.one_of(_odd_packets(), _even_packets()))
    framing = draw(st.sampled_from(Framing))
    methods = ["GET", "HEAD", "DELETE", "OPTIONS"]
    if framing is not Framing.NONE:
        methods = ["POST", "POST", "PUT", "GET"]
    return CallerRequest(
        method=draw(st.sampled_from(methods)),
        prefix=draw(
            st.sampled_from([UPLOAD_PREFIX, UNSAFE_PREFIX, SAFE_PREFIX, "/none/"])
        ),
        framing=framing,
        body_bytes=draw(_BODY_BYTES),
        chunk_bytes=draw(_CHUNK_BYTES),
        cuts=cuts,
        pauses=pauses,
        waits_for_answer=draw(st.booleans()),
    )


_SCRIPTS = st.one_of(
    st.builds(
        Answered,
        status=st.sampled_from([200, 200, 200, 204, 304, 404, 500, 0, 99, 600, 999]),
        is_chunked=st.booleans(),
        has_trailers=st.booleans(),
        names_length_too=st.booleans(),
        informational=st.integers(0, 2),
        is_repeated=st.booleans(),
    ),
    st.builds(Rejected, _REJECTED_SHARES),
    st.builds(AnsweredEarly, _SHARES),
    st.builds(Cut, _SHARES),
    st.builds(Unframed, _SHARES, st.one_of(st.none(), _SHARES), _PAUSES),
)

CONVERSATIONS = st.builds(
    Conversation,
    requests=st.lists(_requests(), min_size=1, max_size=4).map(tuple),
    scripts=st.lists(_SCRIPTS, min_size=1, max_size=6).map(tuple),
    loans=st.sampled_from(Loans),
    is_http_1_0=st.sampled_from([False, False, False, True]),
    is_split_after_head=st.booleans(),
    reset_share=st.one_of(st.none(), st.none(), _SHARES),
)
