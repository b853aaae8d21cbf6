"""Real system calls of child processes that fail on purpose: compiles and preloads system_faults.c."""

from __future__ import annotations

import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("system_faults.c")
RATE_BYTES = 4


class SystemFaults:
    """Settings of processes that start with `environment`; the rates of failures hold for all at once."""

    def __init__(self, folder: Path) -> None:
        """Compile the library into `folder`. Raises CalledProcessError."""
        self._library = folder / "system_faults.so"
        self._rates = folder / "failing_per_thousand"
        self.end()
        command = ["cc", "-Wall", "-Werror", "-O1", "-shared", "-fPIC"]
        subprocess.run([*command, "-o", str(self._library), str(SOURCE), "-ldl"], check=True)

    def environment(self, clock_offset_s: int = 0) -> dict[str, str]:
        """Return the variables of a process whose wall clock is ahead by `clock_offset_s`."""
        return {
            "LD_PRELOAD": str(self._library),
            "FAULT_RATE_FILE": str(self._rates),
            "CLOCK_OFFSET_S": str(clock_offset_s),
        }

    def fail(self, files_per_thousand: int = 0, accepts_per_thousand: int = 0) -> None:
        """Let so many of a thousand writes and syncs, and of accepts, fail from now on."""
        rates = (files_per_thousand, accepts_per_thousand)
        with self._rates.open("r+b" if self._rates.exists() else "wb") as file:
            file.write(b"".join(rate.to_bytes(RATE_BYTES, "little") for rate in rates))

    def end(self) -> None:
        """Let no call fail from now on."""
        self.fail()
