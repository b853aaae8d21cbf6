"""The least memory limit that the deployment's pages name, with 1,024 descriptors."""

from __future__ import annotations

from pathlib import Path

from walnutpost.testsupport.node.abuse_scenario import play_abuse

LEAST_MEMORY_MB = 32


def test_process_that_serves_usual_clients_fits_the_least_memory(tmp_path: Path) -> None:
    result = play_abuse(tmp_path, [], abuse_s=1, memory_mb=LEAST_MEMORY_MB)
    assert result.peak_memory_mb <= LEAST_MEMORY_MB
