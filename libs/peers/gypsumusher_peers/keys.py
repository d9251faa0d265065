"""Shared secret keys by which hosts authenticate each other, with key rotation."""

from typing import NamedTuple

SECRET_MIN_BYTES = 16


class PeerKey(NamedTuple):
    """One shared secret, and the id that both sides of a connection use for it."""

    key_id: str
    secret: bytes


class KeyRing:
    """The active keys: the first opens new connections, all are accepted.

    A rotation needs no restart: append the new key after the old one on every host,
    then move it to the front on every host, then remove the old one from every host.

    Parameters
    ----------
    keys : list of (str, str or bytes)
        Key ids, and secrets of at least 16 bytes.

    Raises
    ------
    ValueError
        If there is no key, a key id is repeated or a secret is too short.
    """

    def __init__(self, keys):
        self._keys = validate_keys(keys)

    def replace(self, keys):
        """Replace all active keys; raises ValueError as the constructor does."""
        self._keys = validate_keys(keys)

    @property
    def signing_key(self):
        """The `PeerKey` under which new connections are opened."""
        return next(iter(self._keys.values()))

    def find(self, key_id):
        """Return the active `PeerKey` with this id, or None."""
        return self._keys.get(key_id)


def validate_keys(keys):
    """Return the keys by id, in order; raises ValueError as `KeyRing` does."""
    valid_keys = {}
    for key_id, secret in keys:
        secret_bytes = secret.encode() if isinstance(secret, str) else bytes(secret)
        if key_id in valid_keys:
            raise ValueError(f"keys: the id {key_id!r} is used twice")
        if len(secret_bytes) < SECRET_MIN_BYTES:
            raise ValueError(
                f"keys: the secret of {key_id!r} has {len(secret_bytes)} bytes; "
                f"at least {SECRET_MIN_BYTES} are needed"
            )
        valid_keys[key_id] = PeerKey(key_id, secret_bytes)
    if not valid_keys:
        raise ValueError("keys: at least one key is needed")
    return valid_keys
