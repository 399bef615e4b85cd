"""Validates requests against the settings and builds the message that is sent to hosts."""

from __future__ import annotations

from zlib import crc32

from bridgesaddle.api import MS, Effect, Settings

from .attempt import Header
from .body import Body
from .upstream import HOP_BY_HOP

MAX_ID_BYTES = 200


class BadRequest(Exception):
    """An invalid request; `status` and `why` are the status and body of its response."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
        self.why = why


class ValidatedRequest:
    """A request that has passed the checks; implements `ParsedRequest` of core.py."""

    __slots__ = ("body", "class_name", "cls", "hint_ns", "id", "key", "payload", "repeat", "tenant", "ttl_ns",
                 "unread_since", "write")

    def __init__(self, cls: int, tenant: int, ttl_ns: int, payload: tuple[bytes, bytes],
                 headers: dict[bytes, bytes], body: Body | None) -> None:
        self.body = body   # set if it is streamed
        self.unread_since = 0
        self.cls = cls
        self.tenant = tenant
        self.ttl_ns = ttl_ns
        self.payload = payload
        self.id = headers[b"x-request-id"]
        self.class_name = headers[b"x-priority-class"]
        self.key = _key(headers.get(b"x-route-key", b""))
        self.hint_ns = _number(headers.get(b"x-cost", b"")) * 1000   # the header is in µs
        self.repeat = headers.get(b"x-retried") == b"1"
        self.write = b"write=1" in headers.get(b"x-attrs", b"").split(b",")


def _key(text: bytes) -> int:
    """The route key as a number; 0 for none."""
    if not text:
        return 0
    try:
        return int(text, 16) & 0xFFFFFFFFFFFFFFFF
    except ValueError:
        return crc32(text) or 1


def _number(text: bytes) -> int:
    """Parses a decimal number of at most nine digits; 0 for anything else."""
    return int(text) if text.isdigit() and len(text) <= 9 else 0


class RequestValidator:
    """Validates requests against the settings."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {item.name.encode(): index for index, item in enumerate(settings.classes)}
        self._effects = [item.effect for item in settings.classes]
        self._max_deadlines_ns = [item.deadline_ns for item in settings.classes]
        self._tenants = {item.name.encode(): index for index, item in enumerate(settings.tenants)}

    def validate(self, method: bytes, target: bytes, headers: list[Header], body: bytes,
                 streamed_body: Body | None = None) -> ValidatedRequest:
        """Raises BadRequest if a required field is missing, unknown or contradictory."""
        path = target.split(b"?", 1)[0].split(b"/", 2)
        if len(path) < 2 or path[0] or path[1] not in self._classes:
            raise BadRequest(404, "no such path")
        values: dict[bytes, bytes] = {}
        for name, value in headers:
            lower = name.lower()
            if lower in _CHECKED_HEADERS and values.setdefault(lower, value) != value:
                raise BadRequest(400, f"two values of {lower.decode()}")
        if values.get(b"x-priority-class") != path[1]:
            raise BadRequest(400, "the class is missing or is not that of the path")
        cls = self._classes[path[1]]
        self._check_method(method, self._effects[cls], values, body)
        request_id = values.get(b"x-request-id", b"")
        if not 0 < len(request_id) <= MAX_ID_BYTES or not request_id.isascii():
            raise BadRequest(400, "no usable id")
        tenant = self._tenants.get(values.get(b"x-tenant-id", b""), -1 if self._tenants else 0)
        if tenant < 0:
            raise BadRequest(400, "the tenant is missing or unknown")
        timeout_ms = _number(values.get(b"x-timeout-ms", b""))
        if not timeout_ms:
            raise BadRequest(400, "no usable time-out")
        return ValidatedRequest(cls, tenant, min(timeout_ms * MS, self._max_deadlines_ns[cls]),
                                _payload(method, target, headers, body, streamed_body), values, streamed_body)

    @staticmethod
    def _check_method(method: bytes, effect: Effect, values: dict[bytes, bytes], body: bytes) -> None:
        key = values.get(b"idempotency-key")
        valid = (method == b"GET" and not body and key is None if effect is Effect.SAFE
                 else method == b"POST" and (bool(key) if effect is Effect.KEYED else key is None))
        if not valid:
            raise BadRequest(400, "the method, body or key is not that of the class")


_CHECKED_HEADERS = frozenset((b"x-request-id", b"x-priority-class", b"x-tenant-id", b"x-timeout-ms",
                              b"idempotency-key", b"x-route-key", b"x-retried", b"x-cost", b"x-attrs", b"host"))


def _payload(method: bytes, target: bytes, headers: list[Header], body: bytes,
             streamed_body: Body | None) -> tuple[bytes, bytes]:
    """The message to hosts without its timeout header; end-to-end headers are forwarded unchanged."""
    dropped = set(HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    dropped -= _CHECKED_HEADERS
    dropped.add(b"x-timeout-ms")
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    lines += [b"%b: %b\r\n" % item for item in headers if item[0].lower() not in dropped]
    if not any(name.lower() == b"host" for name, _ in headers):
        lines.append(b"Host: gateway\r\n")
    if streamed_body is not None:   # the body is sent separately
        lines.append(b"Transfer-Encoding: chunked\r\n" if streamed_body.length is None
                     else b"Content-Length: %d\r\n" % streamed_body.length)
        return b"".join(lines), b""
    if method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join(lines), body
