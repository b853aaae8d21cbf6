"""Days of random faults between keepers, relays, front ends and hollow members. `python -m
benchmarks.table_days SEED COUNT` plays COUNT days from SEED on, one after the other, and prints each."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from walnutpost.faultinjection.table import aligned
from walnutpost.faultinjection.table_run import play_table, random_table_day


def main(seed: int, count: int) -> int:
    rows = [["seed", "changes", "calls", "lost", "rules", "claims", "in force after each fault, s"]]
    wrong = 0
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory(prefix="table-day-") as folder:
            out = play_table(random_table_day(number), Path(folder))
        wrong += bool(out.broken or out.lost)
        back = ", ".join(f"{what} {seconds}" for what, seconds in out.back)
        rules = "; ".join(out.broken) or "kept"
        told = [number, out.changes, out.calls, len(out.lost), rules, out.claims, back]
        rows.append([str(word) for word in told])
        print(f"seed {number}: {rules}; {back}", file=sys.stderr)
    print(aligned(rows))
    return min(1, wrong)


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
