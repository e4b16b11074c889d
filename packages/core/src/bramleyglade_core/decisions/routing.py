"""Which route takes a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramleyglade_core.model.errors import BadRequest, ErrorCode, RouteRefused

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from bramleyglade_core.model.entities import Route
    from bramleyglade_core.model.exchange import Header

MAX_PATH_LENGTH = 8192
"""Longest path with its query, in characters."""

RESERVED_HEADER_PREFIX = "x-fleet-"
"""Headers that the fleet itself sets on requests and answers."""

_AMBIGUOUS_ESCAPES = ("%2f", "%5c", "%2e", "%00", "%25")


def check_path(target: str) -> str:
    """Refuse a request target that a target could read in another way.

    Args:
        target: The request target, as it stands in the request line.

    Returns:
        The path without its query.

    Raises:
        BadRequest: If the path is ambiguous or not in origin form.
    """
    path, _, _ = target.partition("?")
    if len(target) > MAX_PATH_LENGTH:
        raise BadRequest(ErrorCode.BAD_REQUEST, "the path is too long")
    if not path.startswith("/"):
        raise BadRequest(ErrorCode.AMBIGUOUS_PATH, "the path must start with '/'")
    if "//" in path or "\\" in path or "#" in target:
        raise BadRequest(ErrorCode.AMBIGUOUS_PATH, "empty segment or odd separator")
    if "%" in path and any(code in path.lower() for code in _AMBIGUOUS_ESCAPES):
        raise BadRequest(ErrorCode.AMBIGUOUS_PATH, "encoded slash, dot or percent")
    if "/." in path and any(part in (".", "..") for part in path.split("/")):
        raise BadRequest(ErrorCode.AMBIGUOUS_PATH, "dotted segment")
    if ";" in path:
        raise BadRequest(ErrorCode.AMBIGUOUS_PATH, "path parameters are not taken")
    if not path.isascii() or not path.isprintable():
        raise BadRequest(ErrorCode.AMBIGUOUS_PATH, "characters that need encoding")
    return path


def check_headers(headers: Iterable[Header]) -> None:
    """Refuse headers that the fleet reserves or that conflict.

    Args:
        headers: Headers of the request.

    Raises:
        BadRequest: If a header is reserved or stands twice with two meanings.
    """
    hosts = 0
    for header in headers:
        if header.name.startswith(RESERVED_HEADER_PREFIX):
            raise BadRequest(
                ErrorCode.RESERVED_HEADER, f"header {header.name} is reserved"
            )
        hosts += header.name == "host"
    if hosts > 1:
        raise BadRequest(ErrorCode.BAD_REQUEST, "more than one Host header")


class Router:
    """Finds the route of a host with the longest prefix of whole segments."""

    def __init__(self, routes: Iterable[Route]) -> None:
        """Index the routes; of two on one prefix and method the first wins."""
        self._routes_by_prefix_by_host: dict[str, dict[str, list[Route]]] = {}
        for route in routes:
            by_prefix = self._routes_by_prefix_by_host.setdefault(route.host, {})
            by_prefix.setdefault(route.path_prefix, []).append(route)

    def match(self, method: str, path: str, host: str = "") -> Route:
        """Find the route of a request.

        Args:
            method: HTTP method in upper case.
            path: A path that `check_path` has let through.
            host: Host that the request names, in lower case without a port.

        Returns:
            The route.

        Raises:
            RouteRefused: If no route takes the path, or none the method.
        """
        is_path_known = False
        for by_prefix in self._tables(host):
            for prefix in _prefixes(path):
                for route in by_prefix.get(prefix, ()):
                    is_path_known = True
                    if not route.methods or method in route.methods:
                        return route
        if is_path_known:
            raise RouteRefused(
                ErrorCode.METHOD_NOT_ALLOWED, f"no route takes {method} here"
            )
        raise RouteRefused(ErrorCode.NO_ROUTE, "no route takes this path")

    def _tables(self, host: str) -> Iterator[dict[str, list[Route]]]:
        """Yield the routes of a host and those for every host."""
        for name in dict.fromkeys((host, "")):
            by_prefix = self._routes_by_prefix_by_host.get(name)
            if by_prefix is not None:
                yield by_prefix


def _prefixes(path: str) -> Iterator[str]:
    """Yield what may stand as a prefix of a path, the longest first."""
    end = len(path)
    while end > 0:
        yield path[:end]
        cut = path.rfind("/", 0, end)
        end = cut + 1 if cut + 1 < end else cut
    yield "/"
