"""A caller can take up its own stream and nobody else's."""

from gypsumusher_daemon.resume_tokens import StreamPlace, read_token, write_token
from gypsumusher_daemon.settings import KeySettings

OLD = KeySettings("k1", "0123456789abcdef")
NEW = KeySettings("k2", "fedcba9876543210")
PLACE = StreamPlace("h1", "d", "e1", "127.0.0.1:1", "s1", "a-1")


def test_token_is_read_by_any_host_during_a_key_rotation():
    token = write_token(PLACE, [OLD])
    assert read_token(token, [NEW, OLD]) == PLACE
    assert read_token(token, [NEW]) is None


def test_forged_tokens_are_refused():
    """A caller could read another's letter, or have us call any address.

    It changes the stream or the address within a token that it was given.
    """
    token = write_token(PLACE, [OLD])
    for index in range(len(token)):
        changed = "A" if token[index] != "A" else "B"
        forged = token[:index] + changed + token[index + 1 :]
        # The last characters before the padding may differ without a meaning.
        assert read_token(forged, [OLD]) in (None, PLACE)
    for text in ("", "x", "é", "A" * 5000, "AAAA"):
        assert read_token(text, [OLD]) is None
