"""Executes the effects of coordination state machines against the platform."""

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
    """Makes the object calls of one state machine and feeds it their results.

    Parameters
    ----------
    machine : object
        State machine with ``handle(now_s, event)`` and, if `tick` is used,
        ``tick(now_s)``; both return a list of effects.
    client : PlatformClient
        The platform.
    clock : callable
        Boot-time clock.
    on_effect : callable
        ``on_effect(effect)`` gets every effect that is not an object call.
    urgent : bool
        Whether the calls may use the reserve of the host's call budget.
    """

    def __init__(self, machine, client, clock, on_effect, urgent=True):
        self.machine = machine
        self._client = client
        self._clock = clock
        self._on_effect = on_effect
        self._urgent = urgent
        self._tasks = set()

    def execute(self, effects):
        """Execute effects.

        Parameters
        ----------
        effects : list
            Effects returned by a method of the machine.
        """
        for effect in effects:
            if isinstance(effect, ReadObject | WriteObject | DeleteObject):
                task = asyncio.ensure_future(self._call(effect))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                continue
            self._on_effect(effect)

    def tick(self):
        """Tick the machine and execute the effects."""
        self.execute(self.machine.tick(self._clock()))

    async def close(self):
        """Cancel the calls in flight; the machine gets no results for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _call(self, effect):
        """Make an object call and hand its result to the machine."""
        event = await self._result_event(effect)
        self.execute(self.machine.handle(self._clock(), event))

    async def _result_event(self, effect):
        """Make an object call and return its result as the machine's event."""
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
