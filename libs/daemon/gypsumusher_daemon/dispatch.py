"""Drives the schedulers: requests and reports in, starts and refusals out."""

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
    """A request's place in its scheduler.

    Attributes
    ----------
    request_id : str
        The request.
    deployment : str
        Whose scheduler has it.
    actions : asyncio.Queue
        ``Start`` and ``Refuse`` for this request, in order.
    """

    request_id: str
    deployment: str
    actions: asyncio.Queue


def deployment_policy(name, section):
    """Return the scheduler's settings from a deployment's configuration.

    Parameters
    ----------
    name : str
        The deployment.
    section : dict
        Its checked section of the configuration document.
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
    """The schedulers of this host and the requests that wait on them.

    Parameters
    ----------
    host, zone : str
        This host and its availability zone.
    clock : callable
        Boot-time clock.
    quarantine : Quarantine
        Contents that are suspected or convicted of crashing engines.
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
        """Tell the schedulers which other hosts send work to the same engines.

        Parameters
        ----------
        names : list of str
            The hosts.
        """
        self._hosts = names
        for deployment in self.schedulers:
            self.apply(deployment, "set_hosts", names)

    def tick(self):
        """Have the schedulers look again at what waits."""
        for deployment in self.schedulers:
            self.apply(deployment, "tick")

    def set_document(self, document):
        """Take over a configuration: new, changed and withdrawn deployments.

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
            self.apply(name, "set_hosts", self._hosts)
        for name in list(self.schedulers):
            if name not in sections:
                # Running requests keep their scheduler through their tickets' calls
                # failing softly; new ones are refused as unknown.
                self.apply(name, "set_endpoints", [])

    def submit(self, deployment, request):
        """Hand a request to its scheduler.

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
        self.apply(deployment, "submit", request)
        return ticket

    def forget(self, ticket):
        """Drop a ticket whose request has had its final answer."""
        self._tickets.pop(ticket.request_id, None)

    def apply(self, deployment, method, *arguments):
        """Call a scheduler and carry out what it decides.

        Parameters
        ----------
        deployment : str
            The deployment.
        method : str
            Name of the scheduler's method, which takes ``now_s`` first.
        *arguments
            The other arguments.
        """
        scheduler = self.schedulers.get(deployment)
        if scheduler is None:
            return
        actions = getattr(scheduler, method)(self._clock(), *arguments)
        for action in actions or ():
            self._hand_out(action)
        self._set_timer(deployment, scheduler)

    def close(self):
        """Stop the timers."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def _hand_out(self, action):
        """Give an action to the request that waits for it."""
        if not isinstance(action, Start | Refuse):
            raise TypeError(f"unknown action {action!r}")
        ticket = self._tickets.get(action.request_id)
        if ticket is not None:
            ticket.actions.put_nowait(action)

    def _set_timer(self, deployment, scheduler):
        """Wake the scheduler when it next has something to decide."""
        timer = self._timers.pop(deployment, None)
        if timer is not None:
            timer.cancel()
        wakeup_s = scheduler.next_wakeup_s()
        if wakeup_s is None:
            return
        delay_s = max(0.0, wakeup_s - self._clock())
        self._timers[deployment] = asyncio.get_running_loop().call_later(
            delay_s, self.apply, deployment, "tick"
        )


def create_request(request_id, call, now_s):
    """Return the scheduler's view of a caller's request.

    Parameters
    ----------
    request_id : str
        Unique id.
    call : ModelRequest
        The checked request.
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
