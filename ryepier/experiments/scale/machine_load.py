"""Figures that show how busy the machine was before and after a measurement."""

from __future__ import annotations

import math
import os
import time
from collections.abc import Mapping

REFERENCE_TASK_VALUE_COUNT = 16
REFERENCE_TASK_ROUND_COUNT = 100_000


def reference_task_cpu_s() -> float:
    """Run a fixed task, and return its CPU time.

    On a shared machine, it grows like the measured CPU times.
    """
    cpu_before_s = time.process_time()
    values = [1.0] * REFERENCE_TASK_VALUE_COUNT
    for _ in range(REFERENCE_TASK_ROUND_COUNT):
        values = [value * 0.99999 for value in values]
    return time.process_time() - cpu_before_s


def load_figures(moment: str) -> dict[str, float]:
    """Return the load average and the CPU time of the fixed task; `moment` is `before` or `after`."""
    return {f"load_average_{moment}": os.getloadavg()[0], f"pace_{moment}": reference_task_cpu_s()}


def finite_figures(figures: Mapping[str, float]) -> dict[str, float]:
    """Return only the finite figures, as JSON cannot represent others. The claims show those that matter."""
    return {name: value for name, value in figures.items() if math.isfinite(value)}
