"""The home journals of this process and the sealing of dead hosts' journals."""

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
from gypsumusher_daemon.effects import MachineRunner
from gypsumusher_daemon.key_signatures import is_genuine, sign_parts

__all__ = ["Journals", "journal_policy", "new_incarnation"]

# Waiting claims are looked at this often; well under a journal write's round trip.
BUSY_TICK_S = 0.01
IDLE_TICK_S = 1.0
SEALERS_MAX = 64
# The platform is spared by the host's call budget, which backs off for all its calls
# together; a second, longer wait on top would only keep callers waiting after an
# outage has ended.
BACKOFF_LIMIT_S = 0.5
INCARNATION_BYTES = 9


def new_incarnation():
    """Return a random id that no other start of any host has."""
    return secrets.token_hex(INCARNATION_BYTES)


class Journals:
    """Claims of idempotency keys, granted by a journal on the platform.

    Parameters
    ----------
    host : str
        This host.
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
        Called with the new id after a survivor has sealed this host out.

    Attributes
    ----------
    incarnation : str
        The home that new keys name.
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
        self._claimed = asyncio.Event()

    async def start(self):
        """Open the journal; its first write comes with the first claim."""
        self._open(self.incarnation)
        self._task = asyncio.ensure_future(self._tick_on())

    async def close(self):
        """Stop ticking and give up calls in flight."""
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
        """The journal of the present incarnation."""
        return self._runners[self.incarnation].machine

    def owns(self, incarnation):
        """Return whether an incarnation is or was one of this process."""
        return incarnation in self._runners

    def mint(self, run_unjournaled):
        """Return a new key that names this host as its home.

        Parameters
        ----------
        run_unjournaled : bool
            Whether the deployment runs such work while the platform is down.
        """
        is_down = not (self.journal.is_platform_reachable and self._client.is_up())
        unjournaled = run_unjournaled and is_down
        parts = self.journal.next_parts(unjournaled)
        return self.journal.mint(sign_parts(parts, self._keys[0].secret), unjournaled)

    async def claim(self, incarnation, key, fingerprint):
        """Wait for the licence to send the request that carries one of our keys.

        Returns
        -------
        ClaimGranted or ClaimRefused
        """
        runner = self._runners[incarnation]
        future = asyncio.get_running_loop().create_future()
        if key in self._waiting:
            return ClaimRefused(key, "in_progress", "unknown")
        self._waiting[key] = future
        runner.drive(runner.machine.claim(self._clock(), key, fingerprint))
        self._claimed.set()
        try:
            return await asyncio.shield(future)
        finally:
            self._waiting.pop(key, None)

    async def claim_caller_key(self, key, fingerprint, home=None):
        """Claim a key of the caller's own by one conditional create.

        Parameters
        ----------
        key : str
            The key.
        fingerprint : str
            Of the request.
        home : str or None
            Who gets it; this incarnation by default.

        Returns
        -------
        ClaimGranted, ClaimRefused or ClaimOwnedElsewhere
        """
        machine = CallerKeyClaim(
            key, home or self.incarnation, fingerprint, secrets.token_hex(8)
        )
        future = asyncio.get_running_loop().create_future()
        runner = MachineRunner(
            machine, self._client, self._clock, lambda effect: _settle(future, effect)
        )
        runner.drive(machine.start(self._clock()))
        while not future.done():
            await asyncio.wait([future], timeout=BUSY_TICK_S)
            runner.tick()
        await runner.close()
        return future.result()

    def finish(self, key, incarnation):
        """Note that a granted key's request has its final answer."""
        runner = self._runners.get(incarnation)
        if runner is not None:
            runner.drive(runner.machine.finish(self._clock(), key))

    def resolve(self, key, incarnation):
        """Return what became of a key of ours: not_run, running, done or unknown."""
        return self._runners[incarnation].machine.resolve(self._clock(), key)

    async def resolve_dead(self, key, incarnation, timeout_s):
        """Seal a dead home's journal and return what became of one of its keys.

        Returns
        -------
        str or None
            ``not_run`` or ``unknown``; None when the platform didn't answer in time.
        """
        if not is_genuine(key, self._keys):
            # Made up, or signed with a secret that has been taken away since.
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
        """Seal our journal for a planned stop; True when it is sealed."""
        runner = self._runners[self.incarnation]
        runner.drive(runner.machine.seal(self._clock()))
        self._claimed.set()
        try:
            await asyncio.wait_for(self._sealed.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    def _open(self, incarnation):
        """Begin the journal of an incarnation."""
        machine = ClaimJournal(incarnation, secrets.token_hex(8), self._policy)
        self._runners[incarnation] = MachineRunner(
            machine, self._client, self._clock, self._on_effect
        )

    def _on_effect(self, effect):
        """Take what a journal decided."""
        if isinstance(effect, ClaimGranted | ClaimRefused):
            future = self._waiting.get(effect.key)
            if future is not None and not future.done():
                future.set_result(effect)
            return
        if isinstance(effect, OwnJournalSealed):
            self._sealed.set()

    def _start_sealer(self, incarnation):
        """Begin to seal a dead home's journal, forgetting the oldest sealer."""
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
        runner.drive(machine.start(self._clock()))
        self._claimed.set()

    async def _tick_on(self):
        """Tick the machines, often while anything waits."""
        while True:
            busy = bool(self._waiting) or any(
                not done.is_set() for _, done in self._sealers.values()
            )
            self._claimed.clear()
            try:
                await asyncio.wait_for(
                    self._claimed.wait(), BUSY_TICK_S if busy else IDLE_TICK_S
                )
                await asyncio.sleep(BUSY_TICK_S)
            except TimeoutError:
                pass
            self._tick()

    def _tick(self):
        """Let each machine do what is due; begin anew when sealed out."""
        for runner in list(self._runners.values()):
            runner.tick()
        for runner, done in list(self._sealers.values()):
            if not done.is_set():
                runner.tick()
        if self.journal.is_fenced:
            # A survivor took this host for dead and sealed its journal. Its keys can
            # be granted no more; a new incarnation's keys can.
            self._log("warning", "journal_sealed_out", incarnation=self.incarnation)
            self.incarnation = new_incarnation()
            self._open(self.incarnation)
            self._on_new_incarnation(self.incarnation)


def journal_policy(settings):
    """Return the journal's limits from the daemon's settings."""
    flush_s = settings["journal.flush_s"]
    return JournalPolicy(
        writes_per_s=1.0 / flush_s if flush_s else 1000.0,
        claim_timeout_s=settings["journal.wait_s"],
        retention_s=settings["journal.retention_s"],
        backoff_max_s=BACKOFF_LIMIT_S,
    )


def _settle(future, effect):
    """Give a claim's outcome to whoever waits for it."""
    if isinstance(effect, ClaimGranted | ClaimRefused | ClaimOwnedElsewhere):
        if not future.done():
            future.set_result(effect)
