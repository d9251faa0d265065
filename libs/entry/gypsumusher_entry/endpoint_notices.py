"""What endpoints state of themselves in the heads of their responses."""

__all__ = ["EndpointNotices"]

# Only with this status does Retry-After speak for the endpoint. With 429, it concerns
# the client account or the kind of call.
UNAVAILABLE_STATUS = 503


class EndpointNotices:
    """Observes the heads of all responses of endpoints.

    Parameters
    ----------
    context : Context
        Log and metrics.
    """

    def __init__(self, context):
        self._context = context
        self._leaving = set()

    def on_head(self, connection, head):
        """Log what the head of a response says of its endpoint.

        Parameters
        ----------
        connection : _Connection
            Connection to the endpoint; its key begins with the endpoint's id.
        head : ResponseHead
            The head.
        """
        if head.is_wrong_endpoint:
            # The process that responded isn't the one that the request named.
            return
        endpoint_id, started_ms, address = connection.key[:3]
        if head.is_leaving and (endpoint_id, started_ms, address) not in self._leaving:
            self._leaving.add((endpoint_id, started_ms, address))
            self._log("info", "endpoint_leaving", connection, head)
        if head.status != UNAVAILABLE_STATUS:
            return
        if head.has_unreadable_retry_after:
            self._log("warning", "retry_after_unreadable", connection, head)
        elif head.retry_after_s is not None:
            self._log(
                "info", "endpoint_paused", connection, head, for_s=head.retry_after_s
            )

    def _log(self, level, event, connection, head, **fields):
        self._context.log(
            level,
            event,
            endpoint=connection.key[0],
            status=head.status,
            relay=connection.relay,
            **fields,
        )
