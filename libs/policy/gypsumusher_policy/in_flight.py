"""Scheduler state of one admitted request."""

from gypsumusher_policy.queueing import queue_key_of


class InFlightRequest:
    """An admitted request, from its admission to its answer or refusal.

    Attributes
    ----------
    request : Request
        The request.
    rank : int
        Rank of its class.
    work : Work
        Expected engine time.
    queue_key : QueueKey
        Key of the queue in which the request waits.
    output_tokens, high_output_tokens : float
        Mean and high estimate of the length of the answer, in tokens.
    attempt : int
        Number of the present attempt, from 1.
    failed_endpoints : set of str
        Names of the endpoints that failed the request and get no further attempt.
    endpoint_state : EndpointState or None
        Endpoint that runs the present attempt; None while the request waits.
    stage : {"", "whole", "prefill", "decode"}
        Stage of the present or last attempt.
    pending_prompt_tokens : int
        Prompt tokens that the endpoint has yet to prefill.
    started_s, first_token_s : float or None
        Times of the present attempt's start and first token, in seconds.
    awaiting_decode : bool
        Whether prefill is done and no decode endpoint has been chosen yet.
    kv_holder : EndpointState or None
        Prefill endpoint that holds the KV cache until the decode endpoint has
        fetched it.
    has_reservation : bool
        Whether the caller retried at the time given in an earlier refusal.
    ran : {"no", "unknown"}
        Whether any part of the request may have run.
    """

    def __init__(self, request, rank, work, output_tokens, high_output_tokens):
        self.request = request
        self.rank = rank
        self.work = work
        self.queue_key = queue_key_of(rank, work)
        self.output_tokens = output_tokens
        self.high_output_tokens = high_output_tokens
        self.attempt = 1
        self.failed_endpoints = set()
        self.endpoint_state = None
        self.stage = ""
        self.pending_prompt_tokens = 0
        self.started_s = None
        self.first_token_s = None
        self.awaiting_decode = False
        self.kv_holder = None
        self.has_reservation = False
        self.ran = "no"

    def kv_tokens(self):
        """Return the expected KV cache size of the request, in tokens."""
        return self.request.prompt_tokens + int(self.output_tokens)
