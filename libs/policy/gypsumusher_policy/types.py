"""Settings, inputs and actions of the decision logic."""

from typing import NamedTuple

ROLES = ("prefill", "decode", "mixed")


class ClassPolicy(NamedTuple):
    """Latency targets of one class of requests.

    Parameters
    ----------
    name : str
        Name of the class.
    rank : int
        Priority: rank 0 is served first and refused last.
    first_token_s : float
        Target for the time to the first token, in seconds.
    between_tokens_s : float
        Target for the time between two tokens, in seconds.
    deadline_s : float
        Default time from arrival to the complete answer, in seconds.
    """

    name: str
    rank: int
    first_token_s: float
    between_tokens_s: float
    deadline_s: float


class DeploymentPolicy(NamedTuple):
    """Settings of one deployment that its decisions depend on.

    Parameters
    ----------
    name : str
        Name of the deployment.
    classes : dict of str to ClassPolicy
        The classes of requests, by name.
    default_class : str
        Class of a request that names no class or an unknown one.
    tenant_weights : dict of str to float
        Fair-share weight of each tenant; 1 if absent.
    role_change_price_s : float
        Cost of one role change in addition to its duration, in engine seconds.
    role_change_s : float
        Time for which a role change takes an engine out of service, in seconds.
    dwell_s : float
        Least time between two role changes of one engine, in seconds.
    shifting : bool
        Whether engines may change their role.
    retry_ratio : float
        Retries allowed per first attempt in the long run.
    cell_hosts : int
        Number of entry hosts that serve the deployment.
    loads_at_once : int
        Largest number of concurrent model loads from the weight store.
    """

    name: str
    classes: dict[str, ClassPolicy]
    default_class: str
    tenant_weights: dict[str, float]
    role_change_price_s: float
    role_change_s: float
    dwell_s: float
    shifting: bool
    retry_ratio: float
    cell_hosts: int
    loads_at_once: int


class Request(NamedTuple):
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Id, unique within the host.
    tenant : str
        Client account whose fair share the request uses.
    class_name : str
        Class of the request.
    prompt_tokens : int
        Length of the prompt, in tokens.
    max_output_tokens : int
        Largest length of the answer, in tokens.
    arrived_s : float
        Time of arrival on the host's clock, in seconds.
    deadline_s : float
        Absolute time by which the answer has to be complete, in seconds.
    prefix_hashes : tuple of int
        Chained hashes of the prompt's prefixes, shortest first.
    idempotent : bool
        Whether it may run more than once.
    fingerprint : str
        Hash of the content, the same for each retry by the caller.
    """

    request_id: str
    tenant: str
    class_name: str
    prompt_tokens: int
    max_output_tokens: int
    arrived_s: float
    deadline_s: float
    prefix_hashes: tuple[int, ...]
    idempotent: bool
    fingerprint: str


class Endpoint(NamedTuple):
    """A model engine in the list of a deployment's endpoints.

    Parameters
    ----------
    name : str
        Unique name.
    zone : str
        Availability zone.
    role : {"prefill", "decode", "mixed"}
        Stages that it runs.
    leaving : bool
        Whether it is being removed and must not get new work.
    """

    name: str
    zone: str
    role: str
    leaving: bool


class LoadReport(NamedTuple):
    """A load report of an engine.

    Parameters
    ----------
    endpoint : str
        Name of the engine.
    sequence : int
        Sequence number; a report with a lower or the same number is ignored.
    age_s : float
        Age of the report at its arrival, in seconds.
    role : {"prefill", "decode", "mixed"}
        Role of the engine at the time of the report.
    draining : bool
        Whether the engine refuses new work.
    running, waiting : int
        Requests in the batch, and requests that wait for a slot in it.
    waiting_prompt_tokens : int
        Prompt tokens that wait for prefill.
    slots : int
        Largest number of requests in the batch.
    kv_used_tokens, kv_limit_tokens : int
        Used and total size of the KV cache, in tokens.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Rates of the engine; the decode rate is that of a full batch.
    """

    endpoint: str
    sequence: int
    age_s: float
    role: str
    draining: bool
    running: int
    waiting: int
    waiting_prompt_tokens: int
    slots: int
    kv_used_tokens: int
    kv_limit_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


class Start(NamedTuple):
    """Action: send one attempt of a request to an endpoint.

    Parameters
    ----------
    request_id : str
        Id of the request.
    endpoint : str
        Name of the endpoint.
    stage : {"whole", "prefill", "decode"}
        Stage that the endpoint runs; "whole" is prefill and decode.
    priority : int
        Priority on the engine; a lower number goes first.
    attempt : int
        Number of the attempt, from 1.
    """

    request_id: str
    endpoint: str
    stage: str
    priority: int
    attempt: int


class Refuse(NamedTuple):
    """Action: refuse a request for good.

    Parameters
    ----------
    request_id : str
        Id of the request.
    code : str
        Reason, one of the codes of the caller interface.
    run : {"no", "unknown"}
        Whether any part of the request may have run.
    retry_after_s : float or None
        Time after which a retry is expected to be admitted, in seconds; None if a
        retry has no prospect.
    step : str
        Step in which the request was refused, or how its last attempt failed.
    peer : str
        Endpoint of the failed attempt; empty if there was none.
    """

    request_id: str
    code: str
    run: str
    retry_after_s: float | None
    step: str
    peer: str


class RoleChange(NamedTuple):
    """Order: change the role of an endpoint.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    role : {"prefill", "decode", "mixed"}
        New role.
    """

    endpoint: str
    role: str


class ModelLoadOrder(NamedTuple):
    """Order: load a model version on an endpoint.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    model, version : str
        Model and version to load.
    """

    endpoint: str
    model: str
    version: str


class Conviction(NamedTuple):
    """Request content that was found to crash engines and is refused from now on.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the content.
    endpoints : tuple of str
        Names of the engines that crashed while they ran it.
    """

    fingerprint: str
    endpoints: tuple[str, ...]


Action = Start | Refuse
