"""Reasons in log lines; that of a lost store was once the reading of a clock."""

from __future__ import annotations

import curio
import pytest

from bramleyglade_adapters.error_text import error_text
from bramleyglade_adapters.http.simple_client import AnswerLost, SimpleClient
from bramleyglade_standins.http_server import StandInAnswer, listen
from bramleyglade_standins.local_fleet import free_address


def test_answer_that_does_not_come_in_time_is_lost_by_a_time_out():
    async def main():
        address = free_address()

        async def never_answer(request):
            await curio.sleep(60.0)
            return StandInAnswer(200)

        server = await listen(address, never_answer)
        with pytest.raises(AnswerLost, match="^timed out$"):
            await SimpleClient(address).request("GET", "/", timeout_seconds=0.1)
        await server.cancel()

    curio.run(main)


@pytest.mark.parametrize(
    ("error", "text"), [(OSError("no route"), "no route"), (OSError(), "OSError")]
)
def test_error_without_a_text_is_named(error, text):
    assert error_text(error) == text
