"""Keeps the age of the configuration low, from the store or from peers that read it."""

import asyncio
import time

from returns.result import Failure, Success

from gypsumusher_entry.store_watcher import apply_stored_configuration
from gypsumusher_platform import CONFIGURATION_KIND, CONFIGURATION_NAME
from gypsumusher_routing import (
    CONFIRM_FROM_STORE,
    AgeAnswer,
    ConfirmationPlan,
    ConfirmationRole,
    choose_watchers,
    key_lease_s,
)

__all__ = ["ConfigurationConfirmation"]

# Kinds of the datagrams.
QUESTION, ANSWER = "age?", "age"
TICK_S = 0.1
# Bound that sets the pace of confirmations where the operator has none. They are needed
# there too, to tell a key that is unknown from one that was added.
DEFAULT_BOUND_S = 5.0
# An answer that took longer says too little about the other host's time.
MAX_CLOCK_DELAY_S = 0.3
# Longest wait of a request for a confirmation, and least time between two that requests
# ask for.
CONFIRM_WAIT_S = 0.1
CONFIRM_INTERVAL_S = 0.5


class ConfigurationConfirmation:
    """Confirms the configuration while it has client accounts.

    Parameters
    ----------
    context : Context
        Has the age of the configuration.
    store : StoreClient
        The store.
    gossip : Gossip
        Sends and receives the datagrams.
    """

    def __init__(self, context, store, gossip):
        self._context = context
        self._store = store
        self._gossip = gossip
        bound_s = context.settings.bounds.key_withdrawal_s or DEFAULT_BOUND_S
        self._plan = ConfirmationPlan(
            key_lease_s(bound_s), context.policy.shared_confirmations
        )
        self._read_task = None
        self._candidate = 0
        self._is_answered = True
        self._asked_s = float("-inf")
        self._was_confirmed = True
        self._confirm_at_s = float("-inf")
        self._confirmed = asyncio.Event()

    async def start(self):
        """Start to confirm, until the context is closed."""
        self._context.datagram_handlers[QUESTION] = self._on_question
        self._context.datagram_handlers[ANSWER] = self._on_answer
        self._context.confirm_configuration = self.confirm
        self._context.keep_running(self._run)

    async def _run(self):
        """Confirm whenever the plan says so."""
        context = self._context
        while True:
            await context.wait_for_tick(TICK_S)
            if context.accounts is None or not context.accounts.has_accounts:
                continue
            now_s = context.boottime_s()
            age_s = context.configuration_age.age_s(now_s)
            self._log_change(age_s)
            self._true_offset_s(now_s)
            call = self._plan.next_call(now_s, age_s, self._role())
            if call is None:
                continue
            if call != CONFIRM_FROM_STORE or not self._start_read():
                # Peers may have what a store that doesn't answer this host has.
                self._ask(now_s)

    async def confirm(self):
        """Confirm the configuration at once, for a request that waits for it.

        Does nothing if that was tried a moment ago: what can't be served has to be
        refused at once.
        """
        context = self._context
        now_s = context.boottime_s()
        if now_s - self._confirm_at_s >= CONFIRM_INTERVAL_S:
            self._confirm_at_s = now_s
            if self._role().is_reader or not self._peers():
                self._start_read()
            else:
                self._ask(now_s)
        elif now_s - self._confirm_at_s > CONFIRM_WAIT_S:
            return
        try:
            async with asyncio.timeout(CONFIRM_WAIT_S):
                await self._confirmed.wait()
        except TimeoutError:
            return

    def _start_read(self):
        """Start a read of the store; return whether none was under way."""
        if self._read_task is not None and not self._read_task.done():
            return False
        self._read_task = self._context.spawn(self._read())
        return True

    def _notify_confirmed(self):
        """Wake the requests that wait for a confirmation."""
        self._confirmed.set()
        self._confirmed.clear()

    def _role(self):
        """Return this host's part in confirming the configuration."""
        context = self._context
        return ConfirmationRole(
            is_reader=context.should_order_stages(),
            is_watcher=context.is_watcher(),
            is_active=context.is_active(),
        )

    async def _read(self):
        """Confirm the configuration by a read of the store."""
        context = self._context
        started_s = context.boottime_s()
        result = await self._store.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
        self._plan.on_read_ended(isinstance(result, Success))
        if isinstance(result, Failure):
            error = result.failure()
            context.log(
                "info",
                "confirmation_failed",
                code=error.code,
                detail=error.detail,
                age_s=round(context.configuration_age.age_s(started_s), 3),
            )
            return
        version = apply_stored_configuration(context, result.unwrap(), "store")
        context.on_configuration_read(started_s, version)
        self._notify_confirmed()

    def _ask(self, now_s):
        """Ask one peer for the age of its configuration."""
        context = self._context
        peers = self._peers()
        if not peers:
            return
        if not self._is_answered:
            self._candidate += 1
        self._is_answered = False
        question = context.configuration_age.ask(now_s)
        self._asked_s = now_s
        ip = peers[self._candidate % len(peers)]
        fields = [question, context.settings.name, time.time()]
        self._gossip.send_datagram(QUESTION, fields, ip)

    def _peers(self):
        """Return the IPs of the peers to ask: those that watch the store come first."""
        context = self._context
        own_ip = context.settings.ip
        watchers = choose_watchers(context.active_hosts())
        ips = [host.ip for host in watchers if host.ip != own_ip]
        if ips:
            return ips
        known = [host.ip for host in context.hosts.live(context.clock())]
        return known or [seed.rpartition(":")[0] for seed in context.settings.seeds]

    def _on_question(self, fields, ip):
        """Answer a peer."""
        question, peer, time_of_day_s = fields
        if type(question) is not int or type(time_of_day_s) is not float:
            raise ValueError(f"question {fields!r} has a wrong format")
        context = self._context
        now_s = context.boottime_s()
        context.true_time.on_clock(now_s, peer, time_of_day_s - now_s)
        answer = context.configuration_age.answer(now_s, question)
        true_s = now_s + self._true_offset_s(now_s)
        fields = [*answer, context.settings.name, true_s]
        self._gossip.send_datagram(ANSWER, fields, ip)

    def _on_answer(self, fields, ip):
        """Use the answer of a peer."""
        *told, peer, true_s = fields
        answer = AgeAnswer(*told)
        if type(answer.version) is not int or not answer.age_s >= 0.0:
            raise ValueError(f"answer {fields!r} has a wrong format")
        context = self._context
        if not context.configuration_age.on_answer(answer):
            return
        self._is_answered = True
        if not self._plan.is_fresh(answer.age_s):
            self._candidate += 1
        self._notify_confirmed()
        now_s = context.boottime_s()
        took_s = now_s - self._asked_s
        if took_s <= MAX_CLOCK_DELAY_S:
            offset_s = true_s - (now_s - took_s / 2.0)
            context.true_time.on_estimate(now_s, peer, offset_s)

    def _true_offset_s(self, now_s):
        """Return the offset of true time, this host's own clock included."""
        context = self._context
        own = context.settings.name
        context.true_time.on_clock(now_s, own, time.time() - now_s)
        return context.true_time.offset_s(now_s)

    def _log_change(self, age_s):
        """Log when keys stop or start to be in use."""
        context = self._context
        is_confirmed = context.are_keys_confirmed()
        if is_confirmed == self._was_confirmed:
            return
        self._was_confirmed = is_confirmed
        context.log(
            "info" if is_confirmed else "warning",
            "keys_confirmed" if is_confirmed else "keys_unconfirmed",
            version=context.configuration_version,
            age_s=round(age_s, 3),
            sees_store=context.sees_store,
        )
