"""What follows from the operators' figures alone: how often a front end meets a function it has forgotten.

Calls are spread over functions by Zipf's law and arrive by chance; each front end gets an equal slice.
Nothing here is measured.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

CALLS, FUNCTIONS, FRONT_ENDS, KEEP_ALIVE = 130_000.0, 38_000, 900, 10.0


@dataclass(frozen=True, slots=True)
class Spread:
    """`rare`: share of the functions called less than once a minute in all. `forgotten`: calls a second, at
    one front end, of a function that it has not seen for a keep-alive; `share`: of its calls. `between`:
    hours, at one front end, between two calls of the median function."""

    exponent: float
    rare: float
    forgotten: float
    share: float
    between: float


def spread(
    exponent: float,
    calls: float = CALLS,
    functions: int = FUNCTIONS,
    fronts: int = FRONT_ENDS,
    keep: float = KEEP_ALIVE,
) -> Spread:
    weights = np.arange(1, functions + 1, dtype=float) ** -exponent
    rates = calls * weights / weights.sum()
    mine = rates / fronts
    forgotten = float((mine * np.exp(-mine * keep)).sum())
    rare = float((rates < 1 / 60).mean())
    between = 1 / float(np.median(mine)) / 3600
    return Spread(exponent, rare, forgotten, forgotten / (calls / fronts), between)


def main() -> None:
    print("| exponent | rarer than once a minute | forgotten, calls/s | share | hours between, median |")
    print("| --- | --- | --- | --- | --- |")
    for exponent in (1.2, 1.4, 1.5, 1.6, 1.8):
        s = spread(exponent)
        print(f"| {exponent} | {s.rare:.2f} | {s.forgotten:.1f} | {s.share:.3f} | {s.between:.1f} |")


if __name__ == "__main__":
    main()
