"""Route lookup, and the choice among the services of a route."""

from gypsumusher_ports import Configuration, Route

__all__ = ["RouteTable", "pick_service"]


class RouteTable:
    """Routes of one configuration by host name, longest path prefix first.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    """

    def __init__(self, configuration: Configuration):
        self._by_host = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, target: str) -> Route | None:
        """Return the route that matches a request, or None.

        Parameters
        ----------
        host : str
            Host name, in lower case.
        target : str
            Request target as sent; its query is ignored.
        """
        path = target.partition("?")[0]
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def pick_service(route: Route, draw) -> str:
    """Return a service of a route, drawn at random by weight.

    Parameters
    ----------
    route : Route
        The route.
    draw : callable
        Returns a random number in [0, 1).
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    remaining = draw() * sum(share.weight for share in route.shares)
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service
