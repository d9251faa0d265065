"""Messages, settings and actions that the decision logic takes and returns."""

from typing import NamedTuple

ROLES = ("prefill", "decode", "mixed")


class ClassPolicy(NamedTuple):
    """Targets of one class of work.

    Parameters
    ----------
    name : str
        Name of the class.
    rank : int
        0 is served first and refused last.
    first_token_s : float
        Target for the wait until the first token, in seconds.
    between_tokens_s : float
        Target for the time between two tokens, in seconds.
    deadline_s : float
        Default time from arrival to the whole answer, in seconds.
    """

    name: str
    rank: int
    first_token_s: float
    between_tokens_s: float
    deadline_s: float


class DeploymentPolicy(NamedTuple):
    """Settings of one deployment that the decisions depend on.

    Parameters
    ----------
    name : str
        Name of the deployment.
    classes : dict of str to ClassPolicy
        The classes of work, by name.
    default_class : str
        Class of a request that names none, or one that is unknown.
    tenant_weights : dict of str to float
        Fair-share weight of each tenant; 1 when absent.
    role_change_price_s : float
        Engine seconds that one role change costs on top of its own time.
    role_change_s : float
        Seconds for which a role change takes an engine away.
    dwell_s : float
        Least time between two role changes of one engine, in seconds.
    shifting : bool
        Whether roles may be changed at all.
    retry_ratio : float
        Retries allowed for each first attempt, over the long run.
    cell_hosts : int
        Entry hosts that serve this deployment.
    loads_at_once : int
        Loads from the weight store that may run at the same time.
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
        Unique within the host.
    tenant : str
        Account whose fair share the work counts against.
    class_name : str
        Class of work.
    prompt_tokens : int
        Length of the prompt, in tokens.
    max_output_tokens : int
        Most tokens that the answer may have.
    arrived_s : float
        Arrival on the host's clock, in seconds.
    deadline_s : float
        Absolute time by which the whole answer is useful, in seconds.
    prefix_hashes : tuple of int
        Chained hashes of the prompt's prefixes, shortest first.
    idempotent : bool
        Whether it may run more than once.
    fingerprint : str
        Hash of the content, the same for each repetition.
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
    """One model engine as the host knows it.

    Parameters
    ----------
    name : str
        Unique name.
    zone : str
        Availability zone.
    role : {"prefill", "decode", "mixed"}
        Kind of work that it takes.
    leaving : bool
        Whether it must get no new work.
    """

    name: str
    zone: str
    role: str
    leaving: bool


class LoadReport(NamedTuple):
    """An engine's own report of its load, ``age_s`` old when it arrives.

    Parameters
    ----------
    endpoint : str
        Name of the engine.
    sequence : int
        Number of the report; an older one never replaces a newer one.
    age_s : float
        Age of the snapshot, in seconds.
    role : str
        Role at the time of the snapshot.
    draining : bool
        Whether the engine refuses new work.
    running, waiting : int
        Requests in the batch, and before it.
    waiting_prompt_tokens : int
        Prompt tokens not yet processed.
    slots : int
        Most requests in the batch.
    kv_used_tokens, kv_limit_tokens : int
        Use and size of the KV cache, in tokens.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Rates of the whole engine; the second at a full batch.
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
        The request.
    endpoint : str
        Name of the endpoint.
    stage : {"whole", "prefill", "decode"}
        Part of the work that the endpoint does.
    priority : int
        Priority on the engine; smaller first.
    attempt : int
        Number of the attempt, from 1.
    """

    request_id: str
    endpoint: str
    stage: str
    priority: int
    attempt: int


class Refuse(NamedTuple):
    """Action: answer a request with its final refusal.

    Parameters
    ----------
    request_id : str
        The request.
    code : str
        Reason, one of the caller interface's codes.
    run : {"no", "unknown"}
        Whether anything of it may have run.
    retry_after_s : float or None
        Seconds after which a repetition is expected to get in.
    step : str
        Step at which the refusal arose.
    peer : str
        Endpoint at which it arose, or an empty string.
    """

    request_id: str
    code: str
    run: str
    retry_after_s: float | None
    step: str
    peer: str


class RoleChange(NamedTuple):
    """Order: give an endpoint another role."""

    endpoint: str
    role: str


class ModelLoadOrder(NamedTuple):
    """Order: load a version of a model on an endpoint."""

    endpoint: str
    model: str
    version: str


class Conviction(NamedTuple):
    """Verdict: this content crashes engines and is refused for good."""

    fingerprint: str
    endpoints: tuple[str, ...]


Action = Start | Refuse
