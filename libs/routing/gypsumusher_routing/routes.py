"""Which route a request takes, and which service of it."""

from gypsumusher_ports import Configuration, Route

__all__ = ["RouteTable", "pick_service"]


class RouteTable:
    """The routes of one configuration, by host name, the longest prefix first.

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
        """Return the route of a request, or None when none takes it.

        Parameters
        ----------
        host : str
            Host name, in lower case.
        target : str
            Path as sent; a query behind it doesn't count.
        """
        path = target.partition("?")[0]
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def pick_service(route: Route, draw) -> str:
    """Return the service for one request of a route.

    Parameters
    ----------
    route : Route
        The route.
    draw : callable
        Returns a number from 0 up to 1.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    left = draw() * sum(share.weight for share in route.shares)
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service
