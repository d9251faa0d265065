"""Keeps the age of the configuration low, from the store or from peers that read it."""

from returns.result import Failure

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
        self._was_confirmed = True

    async def start(self):
        """Start to confirm, until the context is closed."""
        self._context.datagram_handlers[QUESTION] = self._on_question
        self._context.datagram_handlers[ANSWER] = self._on_answer
        self._context.spawn(self._run())

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
            call = self._plan.next_call(now_s, age_s, self._role())
            if call is None:
                continue
            is_reading = self._read_task is not None and not self._read_task.done()
            if call == CONFIRM_FROM_STORE and not is_reading:
                self._read_task = context.spawn(self._read())
            else:
                # Peers may have what a store that doesn't answer this host has.
                self._ask(now_s)

    def _role(self):
        """Return this host's part in confirming the configuration."""
        context = self._context
        is_active = context.is_active()
        return ConfirmationRole(
            is_reader=context.should_order_stages(),
            is_watcher=is_active and context.watches_store(),
            is_active=is_active,
        )

    async def _read(self):
        """Confirm the configuration by a read of the store."""
        context = self._context
        started_s = context.boottime_s()
        result = await self._store.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
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
        stored = result.unwrap()
        known = context.stored_configuration
        if known is None or known.revision < stored.revision:
            apply_stored_configuration(context, stored, "store")
        context.on_configuration_read(started_s, stored)

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
        ip = peers[self._candidate % len(peers)]
        self._gossip.send_datagram(QUESTION, [question], ip)

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
        (question,) = fields
        if type(question) is not int:
            raise ValueError(f"question {question!r} is not a number")
        context = self._context
        answer = context.configuration_age.answer(context.boottime_s(), question)
        if answer.age_s == float("inf"):
            return
        self._gossip.send_datagram(ANSWER, list(answer), ip)

    def _on_answer(self, fields, ip):
        """Use the answer of a peer."""
        answer = AgeAnswer(*fields)
        if type(answer.version) is not int or not answer.age_s >= 0.0:
            raise ValueError(f"answer {fields!r} has a wrong format")
        if self._context.configuration_age.on_answer(answer):
            self._is_answered = True

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
