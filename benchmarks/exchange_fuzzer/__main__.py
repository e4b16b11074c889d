"""Plays fresh conversations for some minutes: `make fuzz MINUTES=10 [SEED=7]`."""

from __future__ import annotations

import json
import logging
import random
import sys
import tempfile
import time
from pathlib import Path

import fire

from benchmarks.exchange_fuzzer.harness import Harness


def fuzz(minutes: float = 1.0, seed: int | None = None) -> None:
    """Play conversations; exit with 1 at the first that breaks a promise.

    Args:
        minutes: How long to go on.
        seed: Seed of the first batch; drawn if it is None.
    """
    number = random.SystemRandom().randrange(2**31) if seed is None else seed
    ends_at = time.monotonic() + 60.0 * minutes
    with tempfile.TemporaryDirectory() as folder:
        logs = Path(folder) / "log.txt"
        logging.basicConfig(filename=logs, level=logging.INFO)
        harness = Harness(Path(folder))
        try:
            while time.monotonic() < ends_at:
                harness.play_batch(number)
                _print_counts(harness, number)
                number += 1
        except Exception as error:
            print(f"seed {number}: {error}", file=sys.stderr)
            print("\n".join(getattr(error, "__notes__", ())), file=sys.stderr)
            print(logs.read_text(encoding="utf-8")[-20_000:], file=sys.stderr)
            sys.exit(1)
        finally:
            harness.close()


def _print_counts(harness: Harness, number: int) -> None:
    row = {
        "seed": number,
        "conversations": harness.conversations,
        "exchanges": harness.exchanges,
        "features": len(harness.features),
    }
    print(json.dumps(row), flush=True)


if __name__ == "__main__":
    fire.Fire(fuzz)
