"""The golden files themselves: how they are written and read."""

from __future__ import annotations

from pathlib import Path

import pytest

from walnutpost.testsupport.golden.samples import Form, Golden, GoldenFormChangedError, packed


def test_golden_form_is_overwritten_only_on_request(tmp_path: Path) -> None:
    path = tmp_path / "golden" / "some.json"
    assert Golden(path, "", {"a": packed(1)}).write() == ["a"]
    both = Golden(path, "", {"a": packed(2), "b": packed(3)})
    with pytest.raises(GoldenFormChangedError, match="would change a") as caught:
        both.write()
    assert (caught.value.path, caught.value.names) == (path, ["a"])
    assert Golden(path, "", {}).read() == {"a": b"\x01"}
    assert both.write(overwrite=True) == ["a", "b"]
    assert both.read() == {"a": b"\x02", "b": b"\x03"}


def test_text_and_bytes_are_read_from_a_golden_file_as_they_were_written(tmp_path: Path) -> None:
    data = {"text": b'{"a": 1}\n', "bytes": b"\x00\xff", "return": b"a\r\n", "none": b""}
    golden = Golden(
        tmp_path / "golden" / "some.json", "", {n: Form(d, bytes, bytes) for n, d in data.items()}
    )
    golden.write()
    assert golden.read() == data
