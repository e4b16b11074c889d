"""Plays the deployments that a landing must hold, beside an earlier run.

    python -m benchmarks.regression SITE... --bench PROGRAM [--before FILE]
        [--save FILE]

Each site file is scored by the users' bench, one after another. The table has a row for
each day, with its worth, the share of requests served and the broken rules; with
`--before`, beside those of the run that was saved there.
"""

from __future__ import annotations

import json
import re
import subprocess
import sys
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import fire

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_DAY = re.compile(
    r"^(?P<day>\S+)\s+\d+/\d+\s+[\d.]+\s+(?P<worth>-?[\d.]+)\s+(?P<served>[\d.]+)\s"
)
_BROKEN = re.compile(r"BROKEN: (.*?)(?: \(else|$)")


@dataclass(frozen=True, slots=True)
class DayResult:
    """What the bench printed for one day."""

    site: str
    day: str
    worth: float
    served: float
    broken: str = ""
    """Rules that were broken; empty for none."""

    @property
    def key(self) -> tuple[str, str]:
        """Identifies the day among those of all sites."""
        return (self.site, self.day)


def parse_days(site: str, lines: Iterable[str]) -> Iterator[DayResult]:
    """Yield the days in the output of a score.

    Args:
        site: Name of the site.
        lines: Lines that the bench printed.
    """
    for line in lines:
        found = _DAY.match(line)
        if found is None:
            continue
        broken = _BROKEN.search(line)
        yield DayResult(
            site,
            found["day"],
            float(found["worth"]),
            float(found["served"]),
            broken[1] if broken else "",
        )


def format_table(
    results: Iterable[DayResult], before_by_key: dict[tuple[str, str], DayResult]
) -> str:
    """Return the table as text, one row a day."""
    head = ("site", "day", "worth", "before", "served", "before", "broken rules")
    rows = [head]
    for result in results:
        before = before_by_key.get(result.key)
        rows.append(
            (
                result.site,
                result.day,
                f"{result.worth:.3f}",
                "" if before is None else f"{before.worth:.3f}",
                f"{result.served:.3f}",
                "" if before is None else f"{before.served:.3f}",
                result.broken,
            )
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(head))]
    return "\n".join(
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )


def run(
    *sites: str,
    bench: str,
    before: str = "",
    save: str = "",
    jobs: int = 2,
    why: str = "regression run",
) -> None:
    """Score sites and print one table; exits with 1 if a rule was broken.

    Args:
        sites: Paths of site files.
        bench: Path of the bench.
        before: File with the results of an earlier run; empty for none.
        save: File to write the results to; empty for none.
        jobs: Days that are played at the same time.
        why: Line for the bench's journal.
    """
    results: list[DayResult] = []
    for site in sites:
        command = [bench, "score", site, "--jobs", str(jobs), "--why", why]
        played = subprocess.run(command, capture_output=True, text=True, check=False)
        days = list(parse_days(Path(site).stem, played.stdout.splitlines()))
        if not days:
            print(played.stdout + played.stderr, file=sys.stderr)
            sys.exit(f"{site}: the bench printed no day")
        results += days
    before_by_key = {}
    if before:
        for line in Path(before).read_text(encoding="utf-8").splitlines():
            earlier = DayResult(**json.loads(line))
            before_by_key[earlier.key] = earlier
    print(format_table(results, before_by_key))
    if save:
        text = "".join(json.dumps(asdict(result)) + "\n" for result in results)
        Path(save).write_text(text, encoding="utf-8")
    if any(result.broken for result in results):
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(run)
