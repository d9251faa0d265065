"""Store calls that the coordination state machines ask for."""

from returns.result import Failure, Success

from gypsumusher_coordination.effects import (
    CallFailed,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)

__all__ = ["perform_store_call"]


async def perform_store_call(store, effect):
    """Make one call; return the event that tells how it ended.

    Parameters
    ----------
    store : StoreClient
        The store.
    effect : ReadObject or WriteObject
        The call.
    """
    if isinstance(effect, ReadObject):
        return await _read(store, effect)
    if isinstance(effect, WriteObject):
        return await _write(store, effect)
    raise TypeError(f"unexpected effect: {type(effect).__name__}")


async def _read(store, effect):
    result = await store.get(effect.kind, effect.name)
    if isinstance(result, Success):
        return ReadDone(effect.tag, _stored(result.unwrap()))
    if result.failure().code == "absent":
        return ReadDone(effect.tag, None)
    return CallFailed(effect.tag, False)


async def _write(store, effect):
    if effect.if_version == 0:
        result = await store.create(effect.kind, effect.name, effect.value)
    else:
        result = await store.replace(
            effect.kind, effect.name, effect.value, effect.if_version
        )
    if isinstance(result, Success):
        return WriteDone(effect.tag, result.unwrap().revision)
    code = result.failure().code
    if code == "conflict":
        return await _on_conflict(store, effect)
    # A refused call wasn't performed; any other failed call may have been, or may still
    # be.
    return CallFailed(effect.tag, code != "refused")


async def _on_conflict(store, effect):
    """Return the conflict event, with the object that the write conflicts with."""
    result = await store.get(effect.kind, effect.name)
    if isinstance(result, Failure):
        return CallFailed(effect.tag, True)
    return WriteConflict(effect.tag, _stored(result.unwrap()))


def _stored(item):
    """Return an object of the store as the state machines expect it."""
    return StoredObject(item.revision, item.content)
