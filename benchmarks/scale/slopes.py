"""Slopes fitted to measurements, with their spread. What was measured at too few sizes gets none."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from statistics import median

import numpy as np
from scipy import stats

SIZES_LEAST = 4
CONFIDENCE = 0.95


class TooFewSizes(Exception):
    """A slope through so few sizes would say nothing of where it bends."""


@dataclass(frozen=True, slots=True)
class Slope:
    """`each`: value for one more of the axis, by least squares, with its standard error; `low` and `high`:
    the 95% interval of Theil and Sen's estimate `robust`, which one odd size does not move. `exponent`: of
    value over size, both by logarithm, with its standard error; `last`: the same between the two largest
    sizes alone. Where it is 1 the slope carries; where `last` leaves `exponent`, it bends. None where a value
    is not above 0."""

    each: float
    stderr: float
    base: float
    robust: float
    low: float
    high: float
    exponent: float | None
    exponent_stderr: float | None
    last: float | None
    sizes: tuple[int, ...]


def slope(name: str, measured: Mapping[int, Sequence[float]]) -> Slope:
    """Through the medians of each size. Raises TooFewSizes."""
    sizes = sorted(size for size, values in measured.items() if values)
    if len(sizes) < SIZES_LEAST:
        raise TooFewSizes(f"{name}: found {len(sizes)} sizes {sizes}; wanted {SIZES_LEAST} at the least")
    x = np.array(sizes, dtype=float)
    y = np.array([median(measured[size]) for size in sizes], dtype=float)
    if (y == y[0]).all():
        return Slope(0.0, 0.0, float(y[0]), 0.0, 0.0, 0.0, None, None, None, tuple(sizes))
    line, robust = stats.linregress(x, y), stats.theilslopes(y, x, CONFIDENCE)
    exponent = exponent_stderr = last = None
    if (y > 0).all() and (x > 0).all():
        logged = stats.linregress(np.log(x), np.log(y))
        exponent, exponent_stderr = float(logged.slope), float(logged.stderr)
        last = float(np.log(y[-1] / y[-2]) / np.log(x[-1] / x[-2]))
    return Slope(
        float(line.slope),
        float(line.stderr),
        float(line.intercept),
        float(robust[0]),
        float(robust[2]),
        float(robust[3]),
        exponent,
        exponent_stderr,
        last,
        tuple(sizes),
    )
