"""Compatibility with watchers and relays of other versions: headers and codings stay.

The messages are the configuration store's, and have their golden forms there.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from golden_forms import Golden, as_json, structs_of
from walnutpost.relay import process
from walnutpost.watch import client, errors, pace, serving

GOLDEN = Golden(
    Path(__file__).parent / "golden" / "watch.json",
    "Headers and codings of watches, by what they tell.",
    {
        "names": as_json(
            {
                "held": serving.WAITED_HEADER,
                "coding": serving.CONTENT_CODING,
                "request headers": client.REQUEST_HEADERS,
            }
        )
    },
)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_the_names_of_a_watch_stay(name: str) -> None:
    GOLDEN.check_written(name)


def test_watches_and_relays_have_no_forms_of_their_own() -> None:
    assert not [kind for module in (client, errors, pace, serving, process) for kind in structs_of(module)]
