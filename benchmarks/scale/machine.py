"""What a run says of itself, and how processor time and memory are read."""

from __future__ import annotations

import ctypes
import gc
import os
import platform
import subprocess
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent


def about() -> dict[str, Any]:
    """Machine, commit, and whether the tree differed from it."""
    model = "unknown"
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    total = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return {
        "cores": os.cpu_count(),
        "memory_gb": round(total / (1 << 30), 1),
        "processor": model,
        "python": platform.python_version(),
        "load_before": round(os.getloadavg()[0], 2),
        "commit": _git("rev-parse", "--short=12", "HEAD").strip(),
        "dirty": [line[3:] for line in _git("status", "--porcelain").splitlines()],
    }


def _git(*words: str) -> str:
    return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=True).stdout


def cpu_of(work: Callable[[], Any], repeats: int = 5, times: int = 1) -> list[float]:
    """Processor seconds of this process for one `work`, by repeat; the first one, not counted, warms up."""
    work()
    out = []
    for _ in range(repeats):
        gc.collect()
        began = time.process_time()
        for _ in range(times):
            work()
        out.append((time.process_time() - began) / times)
    return out


def rss() -> int:
    """Bytes, after what can be given back was."""
    gc.collect()
    ctypes.CDLL(None).malloc_trim(0)
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Grown:
    """`with Grown() as grown: kept = make()`: then `grown.bytes` is what Python holds for it, exactly."""

    def __enter__(self) -> Grown:
        gc.collect()
        tracemalloc.start()
        self.bytes = 0
        return self

    def __exit__(self, *_: object) -> None:
        gc.collect()
        self.bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()


def process_cpu(pid: int) -> float:
    """Seconds, in clock ticks, of another process."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def process_rss(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def process_peak(pid: int) -> int:
    """The most that it has held since its start, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise LookupError(f"process {pid} tells no VmHWM")
