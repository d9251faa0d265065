"""Calls the schedulers and hands their actions to the waiting requests."""

import asyncio
import zlib
from typing import NamedTuple

from gypsumusher_policy import (
    ClassPolicy,
    DeploymentPolicy,
    Refuse,
    Request,
    Scheduler,
    Start,
)

__all__ = ["Dispatcher", "Ticket", "create_request", "deployment_policy"]


class Ticket(NamedTuple):
    """A request submitted to a scheduler, and the scheduler's actions for it.

    Attributes
    ----------
    request_id : str
        The request.
    deployment : str
        The deployment whose scheduler has the request.
    actions : asyncio.Queue
        ``Start`` and ``Refuse`` actions for this request, in order.
    """

    request_id: str
    deployment: str
    actions: asyncio.Queue


def deployment_policy(name, section):
    """Return a deployment's scheduler policy from its configuration section.

    Parameters
    ----------
    name : str
        The deployment.
    section : dict
        Validated section of the configuration document.
    """
    classes = {}
    for class_name, targets in section["classes"].items():
        classes[class_name] = ClassPolicy(
            name=class_name,
            rank=targets["rank"],
            first_token_s=targets["first_token_s"],
            between_tokens_s=targets["between_tokens_s"],
            deadline_s=targets["deadline_s"],
        )
    return DeploymentPolicy(
        name=name,
        classes=classes,
        default_class=section["default_class"],
        tenant_weights=section.get("tenant_weights", {}),
        role_change_price_s=section.get("role_change_price_s", 2.0),
        role_change_s=section.get("role_change_s", 5.0),
        dwell_s=section.get("dwell_s", 60.0),
        shifting=section.get("shifting", True),
        retry_ratio=section.get("retry_ratio", 0.1),
        cell_hosts=section.get("cell_hosts", 8),
        loads_at_once=section.get("loads_at_once", 2),
    )


class Dispatcher:
    """The schedulers of this host, one per deployment, and their open requests.

    Parameters
    ----------
    host, zone : str
        This host and its availability zone.
    clock : callable
        Boot-time clock.
    quarantine : Quarantine
        Requests suspected or convicted of crashing engines.
    """

    def __init__(self, host, zone, clock, quarantine):
        self.schedulers = {}
        self._quarantine = quarantine
        self._host = host
        self._zone = zone
        self._clock = clock
        self._tickets = {}
        self._timers = {}
        self._hosts = []

    def set_hosts(self, names):
        """Set the other hosts that send requests to the same engines.

        Parameters
        ----------
        names : list of str
            Names of the hosts.
        """
        self._hosts = names
        for deployment in self.schedulers:
            self.call_scheduler(deployment, "set_hosts", names)

    def tick(self):
        """Make every scheduler re-evaluate its waiting requests."""
        for deployment in self.schedulers:
            self.call_scheduler(deployment, "tick")

    def set_document(self, document):
        """Apply a configuration: add, change and withdraw deployments.

        Parameters
        ----------
        document : dict
            The configuration document.
        """
        sections = document.get("deployments", {})
        for name, section in sections.items():
            policy = deployment_policy(name, section)
            if name in self.schedulers:
                self.schedulers[name].set_policy(self._clock(), policy)
                continue
            seed = zlib.crc32(f"{self._host}/{name}".encode())
            self.schedulers[name] = Scheduler(
                policy, self._host, self._zone, seed, self._quarantine
            )
            self.call_scheduler(name, "set_hosts", self._hosts)
        for name in list(self.schedulers):
            if name not in sections:
                # The scheduler of a withdrawn deployment stays, without endpoints,
                # for its running requests; new requests are refused as unknown.
                self.call_scheduler(name, "set_endpoints", [])

    def submit(self, deployment, request):
        """Submit a request to its deployment's scheduler.

        Parameters
        ----------
        deployment : str
            The deployment.
        request : Request
            The request.

        Returns
        -------
        Ticket
        """
        ticket = Ticket(request.request_id, deployment, asyncio.Queue())
        self._tickets[request.request_id] = ticket
        self.call_scheduler(deployment, "submit", request)
        return ticket

    def discard(self, ticket):
        """Drop the ticket of a request that has its final answer."""
        self._tickets.pop(ticket.request_id, None)

    def call_scheduler(self, deployment, method, *arguments):
        """Call a method of a scheduler and dispatch the actions that it returns.

        Parameters
        ----------
        deployment : str
            The deployment.
        method : str
            Name of the scheduler's method, which takes ``now_s`` first.
        *arguments
            Arguments after ``now_s``.
        """
        scheduler = self.schedulers.get(deployment)
        if scheduler is None:
            return
        actions = getattr(scheduler, method)(self._clock(), *arguments)
        for action in actions or ():
            self._queue_action(action)
        self._set_timer(deployment, scheduler)

    def close(self):
        """Cancel the timers."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def _queue_action(self, action):
        """Queue an action for the request that it concerns."""
        if not isinstance(action, Start | Refuse):
            raise TypeError(f"unknown action {action!r}")
        ticket = self._tickets.get(action.request_id)
        if ticket is not None:
            ticket.actions.put_nowait(action)

    def _set_timer(self, deployment, scheduler):
        """Schedule a tick at the time for which the scheduler asks."""
        timer = self._timers.pop(deployment, None)
        if timer is not None:
            timer.cancel()
        wakeup_s = scheduler.next_wakeup_s()
        if wakeup_s is None:
            return
        delay_s = max(0.0, wakeup_s - self._clock())
        self._timers[deployment] = asyncio.get_running_loop().call_later(
            delay_s, self.call_scheduler, deployment, "tick"
        )


def create_request(request_id, call, now_s):
    """Return the scheduler's representation of a caller's request.

    Parameters
    ----------
    request_id : str
        Unique id.
    call : ModelRequest
        The validated request.
    now_s : float
        Arrival on the boot-time clock.
    """
    return Request(
        request_id=request_id,
        tenant=call.tenant,
        class_name=call.class_name,
        prompt_tokens=call.prompt_tokens,
        max_output_tokens=call.max_output_tokens,
        arrived_s=now_s,
        deadline_s=now_s + call.deadline_in_s,
        prefix_hashes=call.prefix_hashes,
        idempotent=call.idempotent,
        fingerprint=call.fingerprint,
    )
