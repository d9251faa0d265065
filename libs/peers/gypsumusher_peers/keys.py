"""The shared keys by which hosts authenticate each other, with rotation."""

from typing import NamedTuple

SECRET_MIN_BYTES = 16


class PeerKey(NamedTuple):
    """One shared secret and the id by which both sides name it."""

    key_id: str
    secret: bytes


class KeyRing:
    """The keys in force: the first signs, all verify.

    A rotation never needs a stop: add the new key behind the old one on every host,
    then put it first on every host, then take the old one away.

    Parameters
    ----------
    keys : list of (str, str or bytes)
        Key ids and secrets of at least 16 bytes.

    Raises
    ------
    ValueError
        If there is no key, an id comes twice or a secret is too short.
    """

    def __init__(self, keys):
        self._keys = checked_keys(keys)

    def replace(self, keys):
        """Put other keys in force; raises ValueError as the constructor does."""
        self._keys = checked_keys(keys)

    @property
    def signing_key(self):
        """The `PeerKey` under which new connections are opened."""
        return next(iter(self._keys.values()))

    def find(self, key_id):
        """Return the `PeerKey` with an id, or None."""
        return self._keys.get(key_id)


def checked_keys(keys):
    """Return the keys by id, in order; raises ValueError as `KeyRing` says."""
    checked = {}
    for key_id, secret in keys:
        secret_bytes = secret.encode() if isinstance(secret, str) else bytes(secret)
        if key_id in checked:
            raise ValueError(f"keys: the id {key_id!r} comes twice")
        if len(secret_bytes) < SECRET_MIN_BYTES:
            raise ValueError(
                f"keys: the secret of {key_id!r} has {len(secret_bytes)} bytes; "
                f"at least {SECRET_MIN_BYTES} are needed"
            )
        checked[key_id] = PeerKey(key_id, secret_bytes)
    if not checked:
        raise ValueError("keys: at least one key is needed")
    return checked
