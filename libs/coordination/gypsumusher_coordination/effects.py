"""Effects that the coordination state machines return, and events that they handle.

An effect asks the caller of the state machine to do something. An event reports how a
platform call ended and carries the tag of its effect.
"""

from typing import Any, NamedTuple


class StoredObject(NamedTuple):
    """One object on the platform with its version.

    Parameters
    ----------
    version : int
        Store-wide revision of the object's last change, greater than zero.
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
        Id of this call; its event carries the same tag.
    kind, name : str
        The object's kind and name.
    """

    tag: str
    kind: str
    name: str


class WriteObject(NamedTuple):
    """Effect: write one object by compare-and-set on its version.

    Parameters
    ----------
    tag : str
        Id of this call; its event carries the same tag.
    kind, name : str
        The object's kind and name.
    value : object
        The new JSON value. The receiver must not change it.
    if_version : int
        The version that the object must have; zero when it must not exist.
    """

    tag: str
    kind: str
    name: str
    value: Any
    if_version: int


class DeleteObject(NamedTuple):
    """Effect: delete one object by compare-and-set on its version.

    Parameters
    ----------
    tag : str
        Id of this call; its event carries the same tag.
    kind, name : str
        The object's kind and name.
    if_version : int
        The version that the object must have.
    """

    tag: str
    kind: str
    name: str
    if_version: int


class ReadDone(NamedTuple):
    """Event: a read succeeded.

    Parameters
    ----------
    tag : str
        The call's tag.
    stored : StoredObject or None
        The object, or None when it doesn't exist.
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
    """Event: a write or a delete had no effect because the version differed.

    Parameters
    ----------
    tag : str
        The call's tag.
    stored : StoredObject or None
        The current object, or None when it doesn't exist.
    """

    tag: str
    stored: StoredObject | None


class CallFailed(NamedTuple):
    """Event: a call got no usable response (lost, timed out, outage, throttled).

    Parameters
    ----------
    tag : str
        The call's tag.
    sent : bool
        True when the call may have taken effect, or may still do so after this event.
    """

    tag: str
    sent: bool


class ClaimGranted(NamedTuple):
    """Effect: the request with this key may be sent; granted at most once per key.

    Parameters
    ----------
    key : str
        The idempotency key.
    """

    key: str


class ClaimRefused(NamedTuple):
    """Effect: the request with this key may not be sent for this claim.

    Parameters
    ----------
    key : str
        The idempotency key.
    code : str
        The reason: a refusal code for callers, or "done" when this host has already
        completed the request and keeps its response.
    run : str
        "no" when no part of the request ran or will run under this key, otherwise
        "unknown".
    """

    key: str
    code: str
    run: str


class ClaimOwnedElsewhere(NamedTuple):
    """Effect: another owner holds the key; forward the request to it.

    Parameters
    ----------
    key : str
        The idempotency key.
    owner : str
        The host incarnation that may run the key, or the marker of a withdrawn key.
    """

    key: str
    owner: str


class OwnJournalSealed(NamedTuple):
    """Effect: this host's own journal is sealed and takes no further keys."""


class PeerJournalSealed(NamedTuple):
    """Effect: another host's journal is sealed, so its entries are final.

    Parameters
    ----------
    incarnation : str
        The owner of the journal.
    keys : dict of str to str
        Fingerprint by key, for each key in the journal's remaining segments.
    """

    incarnation: str
    keys: dict[str, str]


class Probe(NamedTuple):
    """Effect: send a probe to a host of the cell and return its response.

    Parameters
    ----------
    host : str
        The host.
    message : dict
        Only strings, numbers, booleans, lists and dicts.
    """

    host: str
    message: dict[str, Any]


CallEvent = ReadDone | WriteDone | WriteConflict | CallFailed
"""Any event that ends a platform call."""
