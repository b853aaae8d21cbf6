"""`python -m benchmarks.scale AXIS | all [--sizes 500,2750,...] [--small] [--write NAME]`.

`--small` runs the smallest sizes, in seconds; its slopes say whether the tool works, nothing of the target.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from statistics import median
from typing import Any

import msgspec

from benchmarks.scale.axes import AXES, Axis, Readings
from benchmarks.scale.keepers import files, reports
from benchmarks.scale.machine import ROOT, about
from benchmarks.scale.slopes import SIZES_LEAST, Slope, TooFewSizes, slope

RESULTS = ROOT / "docs" / "capacity"
ALL = AXES | {
    "reports": Axis(reports, (100, 300, 900, 1_800), (10, 20, 30, 40)),
    "files": Axis(files, (1_000, 10_000, 20_000, 38_000), (100, 200, 300, 400), 1),
}


def measure(axis: str, size: int) -> Readings:
    """In a process of its own, whose memory nothing else has grown."""
    command = [sys.executable, "-m", "benchmarks.scale", "one", axis, "--sizes", str(size)]
    done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, check=True)
    return msgspec.json.decode(done.stdout, type=Readings)


def run(axis: str, sizes: Sequence[int], runs: int) -> dict[str, Any]:
    """All readings of an axis, and their slopes. Raises TooFewSizes before anything is measured."""
    if len(set(sizes)) < SIZES_LEAST:
        found = sorted(set(sizes))
        raise TooFewSizes(f"{axis}: found {len(found)} sizes {found}; wanted {SIZES_LEAST} at the least")
    measured: dict[str, dict[int, list[float]]] = {}
    units: dict[str, str] = {}
    for size in sorted(set(sizes)):
        for _ in range(runs):
            for name, reading in measure(axis, size).items():
                measured.setdefault(name, {}).setdefault(size, []).extend(reading.values)
                units[name] = reading.unit
        print(f"{axis} {size}", file=sys.stderr, flush=True)
    return {
        name: {
            "unit": units[name],
            "measured": {str(size): values for size, values in by_size.items()},
            "slope": msgspec.to_builtins(slope(name, by_size)),
        }
        for name, by_size in measured.items()
    }


def figure(value: float | None) -> str:
    if value is None:
        return "-"
    if value and not 0.001 <= abs(value) < 1e7:
        return f"{value:.2e}"
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def table(axis: str, found: dict[str, Any]) -> str:
    first = next(iter(found.values()))
    sizes = list(first["measured"])
    lines = [
        f"## {axis}\n",
        f"| what | unit | {' | '.join(f'{int(s):,}' for s in sizes)} | spread at the largest "
        "| for one more ± stderr | Theil-Sen, 95% | exponent ± stderr | between the last two |",
        "| --- " * (len(sizes) + 7) + "|",
    ]
    for name, told in found.items():
        s = msgspec.convert(told["slope"], Slope)
        values = told["measured"]
        last = values[sizes[-1]]
        exponent = "-" if s.exponent is None else f"{s.exponent:.2f} ± {s.exponent_stderr:.2f}"
        lines.append(
            f"| {name} | {told['unit']} | {' | '.join(figure(median(values[z])) for z in sizes)} "
            f"| {figure(min(last))} to {figure(max(last))} | {figure(s.each)} ± {figure(s.stderr)} "
            f"| {figure(s.low)} to {figure(s.high)} | {exponent} "
            f"| {'-' if s.last is None else f'{s.last:.2f}'} |"
        )
    return "\n".join(lines) + "\n"


def heading(told: dict[str, Any]) -> str:
    dirty = ", ".join(told["dirty"]) or "clean"
    return (
        f"Commit {told['commit']}; tree: {dirty}. {told['processor']}, {told['cores']} cores, "
        f"{told['memory_gb']} GB, Python {told['python']}; load before {told['load_before']}. One machine, "
        "loopback; medians of repeats, processor time unless said; made fleets and files (simulated).\n"
    )


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__)
    parser.add_argument("axis", choices=["all", *ALL, "one", "table"])
    parser.add_argument("of", nargs="?", help="the axis of `one`, the file of `table`")
    parser.add_argument("--sizes", type=lambda text: [int(word) for word in text.split(",")])
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--write", metavar="NAME", help="also to docs/capacity/NAME.json and NAME.md")
    asked = parser.parse_args()
    if asked.axis == "one":
        found = ALL[asked.of].measure(asked.sizes[0])
        sys.stdout.buffer.write(msgspec.json.encode(found))
        return
    if asked.axis == "table":
        show(json.loads(Path(asked.of).read_text()))
        return
    told, began = about(), time.monotonic()
    axes = list(ALL) if asked.axis == "all" else [asked.axis]
    out: dict[str, Any] = {"about": told, "axes": {}}
    try:
        for axis in axes:
            line = ALL[axis]
            sizes = asked.sizes or (line.small if asked.small else line.sizes)
            out["axes"][axis] = run(axis, sizes, 1 if asked.small else line.runs)
    except TooFewSizes as error:
        sys.exit(str(error))
    told["seconds"] = round(time.monotonic() - began, 1)
    text = show(out)
    if asked.write:
        RESULTS.mkdir(parents=True, exist_ok=True)
        (RESULTS / f"{asked.write}.json").write_text(json.dumps(out, indent=1) + "\n")
        (RESULTS / f"{asked.write}.md").write_text(text)


def show(out: dict[str, Any]) -> str:
    text = heading(out["about"]) + "\n" + "\n".join(table(axis, found) for axis, found in out["axes"].items())
    print(text)
    return text


if __name__ == "__main__":
    main()
