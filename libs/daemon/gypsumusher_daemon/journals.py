"""This process's claim journals, and the sealing of dead owners' journals."""

import asyncio
import secrets

from gypsumusher_coordination import (
    CallerKeyClaim,
    ClaimGranted,
    ClaimJournal,
    ClaimOwnedElsewhere,
    ClaimRefused,
    JournalPolicy,
    JournalSealer,
    OwnJournalSealed,
    PeerJournalSealed,
)
from gypsumusher_daemon.key_signatures import is_signed, sign_parts
from gypsumusher_daemon.machine_runner import MachineRunner
from gypsumusher_process import keep_running

__all__ = ["Journals", "journal_policy", "new_incarnation"]

# Tick interval while claims or sealers are pending, well under the round trip of a
# journal write, and while there are none.
BUSY_TICK_S = 0.01
IDLE_TICK_S = 1.0
# Sealed journals of dead owners held in memory; the oldest is dropped first.
SEALERS_MAX = 64
# The host's call budget already backs off for all calls to the platform together; a
# longer backoff here would only keep callers waiting after an outage has ended.
BACKOFF_MAX_S = 0.5
INCARNATION_BYTES = 9


def new_incarnation():
    """Return a random id for one start of a host process."""
    return secrets.token_hex(INCARNATION_BYTES)


class Journals:
    """Claims idempotency keys through journals stored on the platform.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : str
        Id of this start of the process.
    client : PlatformClient
        The platform.
    clock, log : callable
        Boot-time clock and structured log.
    policy : JournalPolicy
        Limits of a journal.
    keys : list of KeySettings
        Shared secrets of the hosts, which sign minted keys.
    on_new_incarnation : callable
        Called with the new id after another host has sealed this one's journal.

    Attributes
    ----------
    incarnation : str
        The current incarnation, which owns newly minted keys.
    """

    def __init__(
        self, host, incarnation, client, clock, log, policy, keys, on_new_incarnation
    ):
        self.incarnation = incarnation
        self._host = host
        self._client = client
        self._clock = clock
        self._log = log
        self._policy = policy
        self._keys = keys
        self._on_new_incarnation = on_new_incarnation
        self._runners = {}
        self._waiting = {}
        self._sealed = asyncio.Event()
        self._sealers = {}
        self._task = None
        self._wakeup = asyncio.Event()

    async def start(self):
        """Open the journal and start ticking; the first claim makes the first write."""
        self._open_journal(self.incarnation)
        self._task = keep_running(self._tick_loop, self._log)

    async def close(self):
        """Stop ticking and cancel calls in flight."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for runner in [
            *self._runners.values(),
            *(s[0] for s in self._sealers.values()),
        ]:
            await runner.close()

    @property
    def journal(self):
        """The journal of the current incarnation."""
        return self._runners[self.incarnation].machine

    def owns(self, incarnation):
        """Return whether an incarnation is or was one of this process."""
        return incarnation in self._runners

    def mint(self, run_unjournaled):
        """Return a new signed key that names this incarnation as its owner.

        Parameters
        ----------
        run_unjournaled : bool
            Whether the deployment runs keyed requests while the platform is down.
        """
        is_down = not (self.journal.is_platform_reachable and self._client.is_up())
        unjournaled = run_unjournaled and is_down
        parts = self.journal.next_parts(unjournaled)
        return self.journal.mint(sign_parts(parts, self._keys[0].secret), unjournaled)

    async def claim(self, incarnation, key, fingerprint):
        """Claim a key that this process minted; wait for the journal's decision.

        Parameters
        ----------
        incarnation : str
            The incarnation of this process that owns the key.
        key : str
            The key.
        fingerprint : str
            Fingerprint of the request.

        Returns
        -------
        ClaimGranted or ClaimRefused
        """
        runner = self._runners[incarnation]
        future = asyncio.get_running_loop().create_future()
        if key in self._waiting:
            return ClaimRefused(key, "in_progress", "unknown")
        self._waiting[key] = future
        runner.execute(runner.machine.claim(self._clock(), key, fingerprint))
        self._wakeup.set()
        try:
            return await asyncio.shield(future)
        finally:
            self._waiting.pop(key, None)

    async def claim_caller_key(self, key, fingerprint, owner=None):
        """Claim a key that the caller chose, by one conditional create.

        Parameters
        ----------
        key : str
            The key.
        fingerprint : str
            Fingerprint of the request.
        owner : str or None
            Incarnation that shall own the key; the current one by default.

        Returns
        -------
        ClaimGranted, ClaimRefused or ClaimOwnedElsewhere
        """
        machine = CallerKeyClaim(
            key, owner or self.incarnation, fingerprint, secrets.token_hex(8)
        )
        future = asyncio.get_running_loop().create_future()
        runner = MachineRunner(
            machine,
            self._client,
            self._clock,
            lambda effect: _set_outcome(future, effect),
        )
        runner.execute(machine.start(self._clock()))
        while not future.done():
            await asyncio.wait([future], timeout=BUSY_TICK_S)
            runner.tick()
        await runner.close()
        return future.result()

    def finish(self, key, incarnation):
        """Record that the request of a granted key has its final answer."""
        runner = self._runners.get(incarnation)
        if runner is not None:
            runner.execute(runner.machine.finish(self._clock(), key))

    def resolve(self, key, incarnation):
        """Return the outcome of an own key: not_run, running, done or unknown."""
        return self._runners[incarnation].machine.resolve(self._clock(), key)

    async def resolve_by_sealing(self, key, incarnation, timeout_s):
        """Seal a dead owner's journal and return the outcome of one of its keys.

        Parameters
        ----------
        key : str
            The key.
        incarnation : str
            The incarnation that owns the key.
        timeout_s : float
            Longest wait for the seal.

        Returns
        -------
        str or None
            ``not_run`` or ``unknown``; None when the platform didn't answer in time.
        """
        if not is_signed(key, self._keys):
            # Forged, or signed with a secret that was removed since.
            return "unknown"
        if incarnation not in self._sealers:
            self._start_sealer(incarnation)
        runner, done = self._sealers[incarnation]
        try:
            await asyncio.wait_for(done.wait(), timeout_s)
        except TimeoutError:
            return None
        return runner.machine.outcome(key)

    async def seal_own(self, timeout_s):
        """Seal the current journal for a planned stop; return whether it is sealed."""
        runner = self._runners[self.incarnation]
        runner.execute(runner.machine.seal(self._clock()))
        self._wakeup.set()
        try:
            await asyncio.wait_for(self._sealed.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    def _open_journal(self, incarnation):
        """Open the journal of an incarnation of this process."""
        machine = ClaimJournal(incarnation, secrets.token_hex(8), self._policy)
        self._runners[incarnation] = MachineRunner(
            machine, self._client, self._clock, self._on_effect
        )

    def _on_effect(self, effect):
        """Handle a decision of an own journal."""
        if isinstance(effect, ClaimGranted | ClaimRefused):
            future = self._waiting.get(effect.key)
            if future is not None and not future.done():
                future.set_result(effect)
            return
        if isinstance(effect, OwnJournalSealed):
            self._sealed.set()

    def _start_sealer(self, incarnation):
        """Start sealing a dead owner's journal; drop the oldest sealer if full."""
        if len(self._sealers) >= SEALERS_MAX:
            oldest = next(iter(self._sealers))
            self._sealers.pop(oldest)
        machine = JournalSealer(incarnation, self._host)
        done = asyncio.Event()

        def on_effect(effect):
            if isinstance(effect, PeerJournalSealed):
                self._log("info", "journal_sealed", incarnation=incarnation)
                done.set()

        runner = MachineRunner(machine, self._client, self._clock, on_effect)
        self._sealers[incarnation] = (runner, done)
        runner.execute(machine.start(self._clock()))
        self._wakeup.set()

    async def _tick_loop(self):
        """Tick the machines, more often while claims or sealers are pending."""
        while True:
            busy = bool(self._waiting) or any(
                not done.is_set() for _, done in self._sealers.values()
            )
            self._wakeup.clear()
            try:
                await asyncio.wait_for(
                    self._wakeup.wait(), BUSY_TICK_S if busy else IDLE_TICK_S
                )
                await asyncio.sleep(BUSY_TICK_S)
            except TimeoutError:
                pass
            self._tick()

    def _tick(self):
        """Tick each machine; open a new journal when another host sealed this one."""
        for runner in list(self._runners.values()):
            runner.tick()
        for runner, done in list(self._sealers.values()):
            if not done.is_set():
                runner.tick()
        if self.journal.is_fenced:
            # Another host took this one for dead and sealed its journal, which can
            # grant no more keys. A new incarnation can.
            self._log("warning", "journal_sealed_out", incarnation=self.incarnation)
            self.incarnation = new_incarnation()
            self._open_journal(self.incarnation)
            self._on_new_incarnation(self.incarnation)


def journal_policy(settings):
    """Return the limits of a journal from the daemon's settings."""
    flush_s = settings["journal.flush_s"]
    return JournalPolicy(
        writes_per_s=1.0 / flush_s if flush_s else 1000.0,
        claim_timeout_s=settings["journal.wait_s"],
        retention_s=settings["journal.retention_s"],
        backoff_max_s=BACKOFF_MAX_S,
    )


def _set_outcome(future, effect):
    """Set the result of a future to a claim's outcome."""
    if isinstance(effect, ClaimGranted | ClaimRefused | ClaimOwnedElsewhere):
        if not future.done():
            future.set_result(effect)
