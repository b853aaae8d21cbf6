"""Days of random faults between keepers, relays, front ends and simulated members. `python -m
benchmarks.table_days SEED COUNT` plays COUNT days from SEED on, one after the other, and prints each."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from walnutpost.faultinjection.config_run import play_config, random_config_scenario
from walnutpost.faultinjection.text_tables import align_columns


def main(seed: int, count: int) -> int:
    rows = [["seed", "changes", "calls", "lost", "rules", "claims", "in force after each fault, s"]]
    wrong = 0
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory(prefix="table-day-") as folder:
            out = play_config(random_config_scenario(number), Path(folder))
        wrong += bool(out.violations or out.lost_calls)
        back = ", ".join(f"{each.fault} {each.seconds}" for each in out.recoveries)
        rules = "; ".join(out.violations) or "kept"
        told = [number, out.changes, out.calls, len(out.lost_calls), rules, out.status_checks, back]
        rows.append([str(word) for word in told])
        print(f"seed {number}: {rules}; {back}", file=sys.stderr)
    print(align_columns(rows))
    return min(1, wrong)


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
