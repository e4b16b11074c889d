"""Request checks and the choice of the route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramleyglade_core.model.errors import (
    AttemptError,
    BadRequest,
    ErrorCode,
    RouteRefused,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from bramleyglade_core.model.entities import Route, UnreadableEntity
    from bramleyglade_core.model.exchange import Header

MAX_PATH_LENGTH = 8192
"""Longest path including its query, in characters."""

RESERVED_HEADER_PREFIX = "x-fleet-"
"""Prefix of the headers that only the fleet sets on requests and answers."""

_AMBIGUOUS_ESCAPES = ("%2f", "%5c", "%2e", "%00", "%25")


def check_path(target: str, prefix: str = "") -> str:
    """Refuse a request target that could be interpreted differently downstream.

    Args:
        target: The request target as in the request line.
        prefix: Prefix of a route that begins the target. Operators have chosen its
            spelling, so that only what follows it is checked for ambiguity.

    Returns:
        The path without its query.

    Raises:
        BadRequest: If the path is ambiguous or not in origin form.
    """
    path, _, _ = target.partition("?")
    # The slash that ends the prefix begins the next segment.
    rest = path[len(prefix.removesuffix("/")) :]
    if len(target) > MAX_PATH_LENGTH:
        raise BadRequest(ErrorCode.BAD_REQUEST, "the path is too long")
    if not path.startswith("/"):
        raise BadRequest(ErrorCode.AMBIGUOUS_PATH, "the path must start with '/'")
    if "//" in rest or "\\" in rest or "#" in target:
        raise BadRequest(
            ErrorCode.AMBIGUOUS_PATH, "empty path segment, backslash or '#'"
        )
    if "%" in rest and any(code in rest.lower() for code in _AMBIGUOUS_ESCAPES):
        raise BadRequest(
            ErrorCode.AMBIGUOUS_PATH, "encoded slash, backslash, dot, percent or NUL"
        )
    if "/." in rest and any(part in (".", "..") for part in rest.split("/")):
        raise BadRequest(ErrorCode.AMBIGUOUS_PATH, "'.' or '..' as a path segment")
    if ";" in rest:
        raise BadRequest(ErrorCode.AMBIGUOUS_PATH, "path parameters are not supported")
    if not path.isascii() or not path.isprintable():
        raise BadRequest(
            ErrorCode.AMBIGUOUS_PATH, "the path has characters that need encoding"
        )
    return path


def host_of(text: str) -> str:
    """Return the host of a Host header, in lower case and without its port."""
    if text.startswith("["):
        # An IPv6 address has colons of its own.
        return text.partition("]")[0].lower() + "]"
    return text.partition(":")[0].lower()


def check_headers(headers: Iterable[Header]) -> None:
    """Refuse reserved headers and duplicate Host headers.

    Args:
        headers: Headers of the request.

    Raises:
        BadRequest: If a header is reserved or there is more than one Host header.
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
    """Finds the route of a host with the longest matching prefix of whole segments."""

    def __init__(
        self, routes: Iterable[Route], unreadable: Iterable[UnreadableEntity] = ()
    ) -> None:
        """Index the routes.

        Args:
            routes: The routes; the first one for a prefix and method has precedence.
            unreadable: Routes that could not be decoded; requests on them are refused.
        """
        self._routes_by_prefix_by_host: dict[str, dict[str, list[Route]]] = {}
        for route in routes:
            by_prefix = self._routes_by_prefix_by_host.setdefault(route.host, {})
            by_prefix.setdefault(route.path_prefix, []).append(route)
        self._unreadable_prefixes: set[tuple[str, str]] = set()
        """Host and prefix of each route that could not be decoded."""
        self._is_complete = True
        """Whether the host and prefix of all routes are known."""
        for entity in unreadable:
            if not entity.is_identified:
                self._is_complete = False
                continue
            by_prefix = self._routes_by_prefix_by_host.setdefault(entity.host, {})
            by_prefix.setdefault(entity.path_prefix, [])
            self._unreadable_prefixes.add((entity.host, entity.path_prefix))

    def find(self, method: str, target: str, host: str = "") -> Route:
        """Check a request target and find its route.

        Args:
            method: HTTP method in upper case.
            target: The request target as in the request line.
            host: Host of the request, as `host_of` returns it.

        Returns:
            The route.

        Raises:
            BadRequest: If the path is ambiguous or not in origin form.
            RouteRefused: If no route matches the path, or none allows the method.
            AttemptError: If the route could not be decoded.
        """
        path, _, _ = target.partition("?")
        check_path(target, self._longest_prefix(path, host))
        return self.match(method, path, host)

    def _longest_prefix(self, path: str, host: str) -> str:
        """Return the longest prefix that begins a path; empty if there is none."""
        for _, by_prefix in self._prefix_tables(host):
            for prefix in _prefixes(path):
                if prefix in by_prefix:
                    return prefix
        return ""

    def match(self, method: str, path: str, host: str = "") -> Route:
        """Find the route of a request.

        Args:
            method: HTTP method in upper case.
            path: A path that `check_path` has accepted.
            host: Host of the request, as `host_of` returns it.

        Returns:
            The route.

        Raises:
            RouteRefused: If no route matches the path, or none allows the method.
            AttemptError: If the route could not be decoded.
        """
        is_path_known = False
        for name, by_prefix in self._prefix_tables(host):
            for prefix in _prefixes(path):
                for route in by_prefix.get(prefix, ()):
                    is_path_known = True
                    if not route.methods or method in route.methods:
                        return route
                if (name, prefix) in self._unreadable_prefixes:
                    raise _unreadable_route(f"the route of {prefix} can't be decoded")
        if not self._is_complete:
            raise _unreadable_route("a route of unknown prefix can't be decoded")
        if is_path_known:
            raise RouteRefused(
                ErrorCode.METHOD_NOT_ALLOWED, f"no route of this path allows {method}"
            )
        raise RouteRefused(ErrorCode.NO_ROUTE, "no route matches this path")

    def _prefix_tables(self, host: str) -> Iterator[tuple[str, dict[str, list[Route]]]]:
        """Yield the routes of a host by prefix, then those of all hosts."""
        for name in dict.fromkeys((host, "")):
            by_prefix = self._routes_by_prefix_by_host.get(name)
            if by_prefix is not None:
                yield name, by_prefix


def _unreadable_route(detail: str) -> AttemptError:
    return AttemptError(ErrorCode.CONFIGURATION_UNREADABLE, detail, retry_after=1.0)


def _prefixes(path: str) -> Iterator[str]:
    """Yield the candidate prefixes of a path, the longest first."""
    end = len(path)
    while end > 0:
        yield path[:end]
        cut = path.rfind("/", 0, end)
        end = cut + 1 if cut + 1 < end else cut
    yield "/"
