"""A caller can resume its own stream and no other."""

from gypsumusher_daemon.resume_tokens import StreamLocation, read_token, write_token
from gypsumusher_daemon.settings import KeySettings

OLD = KeySettings("k1", "0123456789abcdef")
NEW = KeySettings("k2", "fedcba9876543210")
LOCATION = StreamLocation("h1", "d", "e1", "127.0.0.1:1", "s1", "a-1")


def test_token_is_read_by_any_host_during_a_key_rotation():
    token = write_token(LOCATION, [OLD])
    assert read_token(token, [NEW, OLD]) == LOCATION
    assert read_token(token, [NEW]) is None


def test_forged_tokens_are_rejected():
    """A caller must not read another caller's answer or choose the address called.

    It could try to by changing the stream or the address in a token that it was given.
    """
    token = write_token(LOCATION, [OLD])
    for index in range(len(token)):
        changed = "A" if token[index] != "A" else "B"
        forged = token[:index] + changed + token[index + 1 :]
        # Some bits of the last character before the padding do not encode data.
        assert read_token(forged, [OLD]) in (None, LOCATION)
    for text in ("", "x", "é", "A" * 5000, "AAAA"):
        assert read_token(text, [OLD]) is None
