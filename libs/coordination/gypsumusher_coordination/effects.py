"""The effects that coordination machines return and the events that they take."""

from typing import Any, NamedTuple


class StoredObject(NamedTuple):
    """One object as it stands on the platform.

    Parameters
    ----------
    version : int
        The store-wide revision of the object's last change, above zero.
    value : object
        The object's JSON value.
    """

    version: int
    value: Any


class ReadObject(NamedTuple):
    """Effect: read one object.

    Parameters
    ----------
    tag : str
        Names this call; the answer's event carries the same tag.
    kind, name : str
        The object's kind and name.
    """

    tag: str
    kind: str
    name: str


class WriteObject(NamedTuple):
    """Effect: write one object if its version is still the one named.

    Parameters
    ----------
    tag : str
        Names this call; the answer's event carries the same tag.
    kind, name : str
        The object's kind and name.
    value : object
        The new JSON value. The receiver must not change it.
    if_version : int
        The version that must stand now; zero when the object must not exist.
    """

    tag: str
    kind: str
    name: str
    value: Any
    if_version: int


class DeleteObject(NamedTuple):
    """Effect: delete one object if its version is still the one named.

    Parameters
    ----------
    tag : str
        Names this call; the answer's event carries the same tag.
    kind, name : str
        The object's kind and name.
    if_version : int
        The version that must stand now.
    """

    tag: str
    kind: str
    name: str
    if_version: int


class ReadDone(NamedTuple):
    """Event: a read was answered.

    Parameters
    ----------
    tag : str
        The call's tag.
    stored : StoredObject or None
        The object, or None when there is none.
    """

    tag: str
    stored: StoredObject | None


class WriteDone(NamedTuple):
    """Event: a write or a delete took effect.

    Parameters
    ----------
    tag : str
        The call's tag.
    version : int
        The object's new version, or the store's revision after a delete.
    """

    tag: str
    version: int


class WriteConflict(NamedTuple):
    """Event: a write or a delete had no effect as another version stands.

    Parameters
    ----------
    tag : str
        The call's tag.
    stored : StoredObject or None
        What stands now, or None when there is no object.
    """

    tag: str
    stored: StoredObject | None


class CallFailed(NamedTuple):
    """Event: a call got no usable answer (cut, timeout, outage, throttled).

    Parameters
    ----------
    tag : str
        The call's tag.
    sent : bool
        True when the call may have taken effect, also later than this event.
    """

    tag: str
    sent: bool


class ClaimGranted(NamedTuple):
    """Effect: the one licence to send the request that carries this key.

    Parameters
    ----------
    key : str
        The idempotency key.
    """

    key: str


class ClaimRefused(NamedTuple):
    """Effect: this claim gives no licence to send the request.

    Parameters
    ----------
    key : str
        The idempotency key.
    code : str
        The reason. The refusal codes of callers, or "done" when this host has
        answered the key already and the answer is in its record.
    run : str
        "no" when nothing of the request ran or ever will run under this key,
        else "unknown".
    """

    key: str
    code: str
    run: str


class ClaimOwnedElsewhere(NamedTuple):
    """Effect: another home holds the key; forward the request to it.

    Parameters
    ----------
    key : str
        The idempotency key.
    owner : str
        The incarnation that holds the key.
    """

    key: str
    owner: str


class OwnJournalSealed(NamedTuple):
    """Effect: the home's own journal is sealed and takes no further key."""


class PeerJournalSealed(NamedTuple):
    """Effect: another home's journal is sealed, so its record is final.

    Parameters
    ----------
    incarnation : str
        The home whose journal was sealed.
    keys : dict of str to str
        The fingerprint of each key that the sealer read.
    """

    incarnation: str
    keys: dict[str, str]


class Probe(NamedTuple):
    """Effect: send this message to a host of the cell and take its answer.

    Parameters
    ----------
    host : str
        The host.
    message : dict
        Plain strings, numbers, lists and maps.
    """

    host: str
    message: dict[str, Any]


CallEvent = ReadDone | WriteDone | WriteConflict | CallFailed
"""Any answer of the platform to a call."""
