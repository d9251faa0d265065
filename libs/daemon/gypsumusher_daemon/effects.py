"""Carries out the effects of coordination machines against the platform."""

import asyncio

from returns.result import Success

from gypsumusher_coordination.effects import (
    CallFailed,
    DeleteObject,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)

__all__ = ["MachineRunner"]


class MachineRunner:
    """Feeds one machine with answers and hands its other effects on.

    Parameters
    ----------
    machine : object
        Has ``handle(now_s, event)`` and, if it is ticked, ``tick(now_s)``.
    client : PlatformClient
        The platform.
    clock : callable
        Boot-time clock.
    on_effect : callable
        ``on_effect(effect)`` takes every effect that is no object call.
    urgent : bool
        Whether the calls may use the budget's reserve.
    """

    def __init__(self, machine, client, clock, on_effect, urgent=True):
        self.machine = machine
        self._client = client
        self._clock = clock
        self._on_effect = on_effect
        self._urgent = urgent
        self._tasks = set()

    def drive(self, effects):
        """Carry out some effects.

        Parameters
        ----------
        effects : list
            What a method of the machine returned.
        """
        for effect in effects:
            if isinstance(effect, ReadObject | WriteObject | DeleteObject):
                task = asyncio.ensure_future(self._call(effect))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                continue
            self._on_effect(effect)

    def tick(self):
        """Let the machine do what is due."""
        self.drive(self.machine.tick(self._clock()))

    async def close(self):
        """Give up the calls in flight; their machine hears nothing more."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _call(self, effect):
        """Make one object call and tell the machine how it ended."""
        event = await self._event_of(effect)
        self.drive(self.machine.handle(self._clock(), event))

    async def _event_of(self, effect):
        """Return the event that answers an object call."""
        client = self._client
        if isinstance(effect, ReadObject):
            result = await client.read(effect.kind, effect.name, urgent=self._urgent)
            if isinstance(result, Success):
                stored = result.unwrap()
                return ReadDone(effect.tag, stored and StoredObject(*stored))
            return CallFailed(effect.tag, False)
        if isinstance(effect, WriteObject):
            result = await client.write(
                effect.kind,
                effect.name,
                effect.value,
                effect.if_version,
                urgent=self._urgent,
            )
        else:
            result = await client.delete(
                effect.kind, effect.name, effect.if_version, urgent=self._urgent
            )
        if isinstance(result, Success):
            return WriteDone(effect.tag, result.unwrap())
        error = result.failure()
        if error.kind == "conflict":
            return WriteConflict(
                effect.tag, error.stored and StoredObject(*error.stored)
            )
        return CallFailed(effect.tag, error.sent)
