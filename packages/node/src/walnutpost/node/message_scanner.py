"""Finds the end of a MessagePack value that arrives in pieces, looking at each byte of its structure once.

A parser that starts again at each piece would take time that grows with the square of the number of pieces.
The scanner creates no objects, so that an incomplete message takes no more memory than its bytes.
See the MessagePack specification, "Formats".
"""

from __future__ import annotations

import re

# Small numbers, constants, and empty strings, arrays and maps.
ONE_BYTE_ELEMENTS = re.compile(rb"[\x00-\x80\x90\xa0\xc0\xc2\xc3\xe0-\xff]+")
LENGTH_BYTES = {  # of strings and binary data, by the first byte
    **{0xC4 + power: 1 << power for power in range(3)},
    **{0xD9 + power: 1 << power for power in range(3)},
}
COUNT_BYTES = {0xDC: 2, 0xDD: 4, 0xDE: 2, 0xDF: 4}  # of arrays and maps, by the first byte
FIXED_BYTES = {  # size of numbers, by the first byte
    **dict.fromkeys((0xCC, 0xD0), 2),
    **dict.fromkeys((0xCD, 0xD1), 3),
    **dict.fromkeys((0xCA, 0xCE, 0xD2), 5),
    **dict.fromkeys((0xCB, 0xCF, 0xD3), 9),
}
FIRST_FIXED_MAP, FIRST_FIXED_ARRAY, FIRST_FIXED_STRING, FIRST_OTHER = 0x80, 0x90, 0xA0, 0xC0
FIRST_MAP = 0xDE
MAX_FIXED_COUNT, MAX_FIXED_LENGTH = 15, 31


class MessageScanner:
    """Scans one value; `scan` gets all bytes so far, which start with the value."""

    def __init__(self) -> None:
        self._position = 0  # of the next element, possibly behind the end of the data
        self._missing = 1  # elements that are still to come

    def scan(self, data: bytes) -> bool:
        """Return whether the value is complete. Raises ValueError for a type that messages don't use."""
        while self._missing and self._position < len(data):
            if not self._scan_element(data):
                return False
        return not self._missing and self._position <= len(data)

    @property
    def min_size(self) -> int:
        """The smallest size that the value can have, from what was scanned of it."""
        return self._position + self._missing

    def _scan_element(self, data: bytes) -> bool:
        """Skip an element, or the header of an array or a map; return False if its header is incomplete."""
        run = ONE_BYTE_ELEMENTS.match(data, self._position, self._position + self._missing)
        if run is not None:
            self._missing -= run.end() - self._position
            self._position = run.end()
            return True
        first = data[self._position]
        if first in COUNT_BYTES or first in LENGTH_BYTES:
            return self._scan_with_length(data, first)
        size, inner = 1, 0
        if FIRST_FIXED_MAP < first < FIRST_FIXED_ARRAY:
            inner = 2 * (first & MAX_FIXED_COUNT)
        elif FIRST_FIXED_ARRAY < first < FIRST_FIXED_STRING:
            inner = first & MAX_FIXED_COUNT
        elif FIRST_FIXED_STRING < first < FIRST_OTHER:
            size += first & MAX_FIXED_LENGTH
        elif first in FIXED_BYTES:
            size = FIXED_BYTES[first]
        else:
            raise ValueError(f"unexpected type 0x{first:02x}")
        self._position += size
        self._missing += inner - 1
        return True

    def _scan_with_length(self, data: bytes, first: int) -> bool:
        length_bytes = COUNT_BYTES.get(first) or LENGTH_BYTES[first]
        end = self._position + 1 + length_bytes
        if end > len(data):
            return False
        length = int.from_bytes(data[self._position + 1 : end], "big")
        self._position = end
        self._missing -= 1
        if first in LENGTH_BYTES:
            self._position += length
        else:
            self._missing += 2 * length if first >= FIRST_MAP else length
        return True
