"""Key ring: which key opens connections, which are accepted, what is refused."""

import pytest

from gypsumusher_peers.keys import KeyRing

SECRET = "sixteen bytes or more"


def test_the_first_key_opens_connections_and_all_are_found():
    ring = KeyRing([("k1", SECRET), ("k2", SECRET.encode())])
    assert ring.signing_key.key_id == "k1"
    assert ring.find("k2").secret == SECRET.encode()
    assert ring.find("k3") is None


def test_replace_changes_the_active_keys():
    ring = KeyRing([("k1", SECRET)])
    ring.replace([("k2", SECRET), ("k1", SECRET)])
    assert ring.signing_key.key_id == "k2"
    assert ring.find("k1") is not None


@pytest.mark.parametrize(
    "keys, problem",
    [
        ([], "at least one"),
        ([("k1", "short")], "at least 16"),
        ([("k1", SECRET), ("k1", SECRET)], "twice"),
    ],
)
def test_invalid_keys_are_refused_and_the_old_ones_stay(keys, problem):
    ring = KeyRing([("k0", SECRET)])
    with pytest.raises(ValueError, match=problem):
        ring.replace(keys)
    assert ring.signing_key.key_id == "k0"
