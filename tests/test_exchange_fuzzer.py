"""Generated conversations between callers, daemons and targets keep all promises."""

from __future__ import annotations

import pytest
from benchmarks.exchange_fuzzer.conversations import (
    SAFE_PREFIX,
    UPLOAD_PREFIX,
    Answered,
    CallerRequest,
    Conversation,
    Framing,
    Loans,
    Rejected,
    Unframed,
)
from benchmarks.exchange_fuzzer.harness import Harness

CI_SEEDS = range(12)
"""More seeds are played by `make fuzz`."""


@pytest.fixture
def harness(tmp_path):
    harness = Harness(tmp_path)
    yield harness
    harness.close()


def test_generated_conversations_keep_all_promises(harness):
    for number in CI_SEEDS:
        harness.play_batch(number)
    assert harness.conversations


def request(**changes):
    fields = {
        "method": "POST",
        "prefix": UPLOAD_PREFIX,
        "framing": Framing.CHUNKS,
        "body_bytes": 360_000,
        "chunk_bytes": 65_280,
        "cuts": (),
        "pauses": (),
        "waits_for_answer": True,
    }
    return CallerRequest(**{**fields, **changes})


def conversation(*requests, scripts=(), loans=Loans.AT_ONCE, **changes):
    return Conversation(requests, scripts, loans, **changes)


EXAMPLES = {
    # The beginning of the body was dropped while a loan was asked.
    "upload rejected early, late loan": conversation(
        request(cuts=(0.55, 0.73), pauses=(0.05, 0.05)),
        scripts=(Rejected(0.3),),
        loans=Loans.LATE,
        is_split_after_head=True,
    ),
    # The refusal's body broke the framing of an answer to HEAD.
    "refused HEAD": conversation(
        request(method="HEAD", prefix="/none/", framing=Framing.NONE),
        request(method="GET", prefix=SAFE_PREFIX, framing=Framing.NONE),
    ),
    # Two tasks read the socket.
    "upload in the packet of its head": conversation(
        request(body_bytes=9_000, cuts=(0.3,), pauses=(0.05,))
    ),
    # Trailers can't be sent to a caller of HTTP/1.0.
    "trailers to HTTP/1.0": conversation(
        request(method="GET", prefix=SAFE_PREFIX, framing=Framing.NONE),
        scripts=(Answered(is_chunked=True, has_trailers=True),),
        is_http_1_0=True,
    ),
    # The overridden length was relayed.
    "chunks and a length": conversation(
        request(method="GET", prefix=SAFE_PREFIX, framing=Framing.NONE),
        scripts=(Answered(is_chunked=True, names_length_too=True, status=200),),
    ),
    # The caller got a status that has no meaning.
    "status 600": conversation(
        request(method="GET", prefix=SAFE_PREFIX, framing=Framing.NONE),
        scripts=(Answered(status=600),) * 3,
    ),
    # The caller got a part of the answer as the whole, in five of eight plays.
    "upload answered early without a length, then reset": conversation(
        request(framing=Framing.LENGTH, body_bytes=6_000_000),
        scripts=(Unframed(0.05, 0.9, 0.003),),
    ),
    # The close of the connection was not announced.
    "refusal before the body": conversation(
        request(prefix="/none/", body_bytes=9_000), request(body_bytes=10)
    ),
}


@pytest.mark.parametrize("example", EXAMPLES.values(), ids=EXAMPLES)
def test_conversation_that_once_broke_a_promise_keeps_them(harness, example):
    harness.play(example)
