"""Demand by client account: counted here, exchanged between hosts, and divided.

It acts only while the configuration in force has client accounts. Hosts that accept
client traffic send each other their demand, and each decides on its own requests; see
`FairShares`.
"""

from gypsumusher_routing import (
    TIMELY,
    UNLIMITED,
    DemandReport,
    FairShares,
    prefill_capacity,
    prefill_demand_s,
)

__all__ = ["AccountDemand"]

# Kind of the datagrams.
DEMAND = "account_demand"
# How often a report is sent. It is used for four times as long.
SEND_INTERVAL_S = 0.5
# Age up to which a comparison of demand and capacity is used. It takes a pass over all
# engines and accounts, and demand is averaged over 2 s.
REFRESH_INTERVAL_S = 0.1
# Bounds of a readable report: accounts, characters of a name, and demand.
MAX_ACCOUNTS, MAX_NAME_LENGTH, MAX_PERMILLE = 16, 256, 10_000_000


class AccountDemand:
    """Demand of the client accounts, and what it means for each request.

    Parameters
    ----------
    context : Context
        Configuration, hosts and engines.
    """

    def __init__(self, context):
        self._context = context
        self._shares = FairShares(context.clock())
        self._refreshed_s = float("-inf")
        self._is_contended = False
        self._contended_since_s = 0.0
        self._send_datagram = None
        self._is_running = False

    def start(self, send_datagram):
        """Exchange demand while there are client accounts, until the context is closed.

        Parameters
        ----------
        send_datagram : callable
            ``send_datagram(kind, fields, ip)``.
        """
        context = self._context
        self._send_datagram = send_datagram
        context.datagram_handlers[DEMAND] = self._on_report
        context.configuration_listeners.append(self._on_configuration)

    @property
    def is_on(self):
        """Whether there are client accounts to divide the capacity between."""
        context = self._context
        if not context.policy.fair_shares or context.accounts is None:
            return False
        return context.accounts.has_accounts

    def on_request(self, exchange, limits):
        """Count the demand of a request; return its share for all of its sends.

        Parameters
        ----------
        exchange : Exchange
            The request, which has a prompt.
        limits : EngineLimits
            Limits that all engines of its service have in common.

        Returns
        -------
        Share
            Its share.
        """
        if not self.is_on:
            return UNLIMITED
        context, now_s = self._context, self._context.clock()
        pool = context.engine_pool(exchange.service, limits)
        cost_s = prefill_demand_s(pool, exchange.request.generation)
        counted = (exchange.account_name, exchange.route.name, cost_s)
        self._shares.on_request(now_s, *counted)
        if now_s - self._refreshed_s >= REFRESH_INTERVAL_S:
            self._refresh(now_s)
        share = self._shares.share_of(now_s, *counted, context.draw_uniform())
        if share.is_protected:
            context.metrics.on_prompt_protected(exchange.route.name)
        if share.is_limited:
            context.metrics.on_prompt_demoted(exchange.route.name)
            exchange.log(
                "info",
                "prompt_demoted",
                account=exchange.account_name,
                route=exchange.route.name,
                cost_ms=round(cost_s * 1000),
                demand_ratio=round(share.demand_ratio, 2),
                account_level=round(self._shares.contention.level, 3),
            )
        return share

    def on_placed(self, exchange, prefill):
        """Record where a request's prompt was first placed; not for later sends.

        Parameters
        ----------
        exchange : Exchange
            The request.
        prefill : PrefillChoice
            The engine that was chosen.
        """
        share = exchange.share
        if share is UNLIMITED:
            return
        self._shares.on_placed(
            self._context.clock(),
            exchange.route.name,
            share.cost_s,
            prefill.lane == TIMELY,
            prefill.is_delayed,
        )

    def _on_configuration(self, _):
        """Start to send once a configuration has client accounts."""
        if self.is_on and not self._is_running:
            self._is_running = True
            self._shares = FairShares(self._context.clock())
            self._context.keep_running(self._run)

    async def _run(self):
        """Send the demand at each tick, and notice the end of contention."""
        context = self._context
        while True:
            await context.wait_for_tick(SEND_INTERVAL_S)
            if not self.is_on:
                break
            if context.is_active():
                self._send_report()
            self._refresh(context.clock())
        self._is_running = False

    def _send_report(self):
        """Send this host's demand to the other hosts that accept client traffic."""
        context = self._context
        report = self._shares.own_report(context.clock())
        accounts = [[name, _permille(d)] for name, d in report.accounts.items()]
        fields = [_permille(report.total), accounts]
        for host in context.active_hosts():
            if host.name != context.settings.name:
                self._send_datagram(DEMAND, fields, host.ip)

    def _on_report(self, fields, ip):
        """Record the demand at another host.

        Raises
        ------
        ValueError
            When the report is malformed; none of it is used.
        """
        total_permille, accounts = fields
        if not isinstance(accounts, list) or len(accounts) > MAX_ACCOUNTS:
            raise ValueError("demand of accounts has a wrong format")
        demands = {}
        for name, permille in accounts:
            if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
                raise ValueError("name of an account has a wrong format")
            demands[name] = _demand(permille)
        report = DemandReport(_demand(total_permille), demands)
        if not self.is_on:
            # A host with a newer configuration has sent it.
            return
        self._shares.on_report(self._context.clock(), ip, report)

    def _refresh(self, now_s):
        """Compare the demand with the capacity of all engines."""
        context = self._context
        self._refreshed_s = now_s
        capacity = 0.0
        for service in context.configuration.services.values():
            if service.engine is not None:
                pool = context.engine_pool(service.name, service.engine)
                capacity += prefill_capacity(now_s, pool)
        contention = self._shares.refresh(
            now_s, capacity, context.expected_host_count(), context.accounts.count
        )
        context.metrics.set_contention(contention)
        self._log_change(contention, now_s)

    def _log_change(self, contention, now_s):
        """Log the begin and the end of contention."""
        if contention.is_contended == self._is_contended:
            return
        self._is_contended = contention.is_contended
        took_s = None
        if self._is_contended:
            self._contended_since_s = now_s
        else:
            took_s = round(now_s - self._contended_since_s, 1)
        self._context.log(
            "info",
            "contention_began" if self._is_contended else "contention_ended",
            demand=round(contention.demand, 2),
            capacity=round(contention.capacity, 2),
            account_level=round(contention.level, 3),
            delayed=round(contention.delayed_share, 2),
            reports=contention.reports,
            hosts=self._context.expected_host_count(),
            took_s=took_s,
        )


def _permille(demand):
    """Return a demand as a number that `_demand` accepts."""
    return min(MAX_PERMILLE, round(1000.0 * demand))


def _demand(permille):
    """Return a demand in engine seconds per second from its form in a report."""
    if type(permille) is not int or not 0 <= permille <= MAX_PERMILLE:
        raise ValueError("demand has a wrong format")
    return permille / 1000.0
