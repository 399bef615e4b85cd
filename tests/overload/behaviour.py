"""What one kind of bad client does on a connection, as steps; named mixes of kinds, and mixes drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True)
class OpenHead:
    """A head that does not end: whole fields, then one field without an end; or a target without an end."""

    fields: int = 0
    field_bytes: int = 100
    open_bytes: int = 0
    in_target: bool = False


@dataclass(frozen=True)
class Upload:
    """A request with a body, of which a part is sent."""

    length: int
    sent: int
    chunk_bytes: int = 0   # 0: with a Content-Length
    open_trailer_bytes: int = 0   # after the last chunk


@dataclass(frozen=True)
class Requests:
    """Requests at once, each with a body of this size, whose responses have this size."""

    count: int
    body_bytes: int = 0
    response_bytes: int = 0


@dataclass(frozen=True)
class Read:
    """Read responses at this rate for a while; 0: as fast as they come."""

    bytes_per_s: int
    seconds: float


@dataclass(frozen=True)
class Wait:
    """Neither write nor read."""

    seconds: float


Step = OpenHead | Upload | Requests | Read | Wait


class Ending(Enum):
    """How a client leaves after its steps."""

    HOLD = "waits for the gateway to close"
    CLOSE = "closes"
    RESET = "resets"


@dataclass(frozen=True)
class Kind:
    """The steps of one kind of client, which are repeated on new connections."""

    steps: tuple[Step, ...]
    ending: Ending = Ending.HOLD
    bytes_per_s: int = 0   # rate of its writes; 0: as fast as they are taken
    receive_buffer: int = 0   # of its socket; 0: the kernel's default


@dataclass(frozen=True)
class Mix:
    """Kinds of clients that run together, or one after another in waves."""

    kinds: tuple[Kind, ...]
    wave_s: float = 0.0   # all clients are of one kind for this long, then of the next; 0: all kinds at once


@dataclass(frozen=True)
class OverloadPlan:
    """One run: the limits of the gateway, its bad clients and a hand-over."""

    mix: Mix
    memory_mb: int = 64
    sockets: int = 1024
    clients: int = 330
    replaced_at_s: float = 0.0   # a new process starts and the first one gets SIGTERM; 0: never


KB, MB = 1000, 1000 * 1000
STOPPED_UPLOAD = Kind((Upload(8 * MB, 4 * MB),))
STOPPED_BODY = Kind((Upload(65_536, 64_500),))
OPEN_FIELD = Kind((OpenHead(open_bytes=60 * KB),))
HEAD_AFTER_UPLOAD = Kind((Upload(400 * KB, 400 * KB), OpenHead(open_bytes=60 * KB)))
UNREAD_RESPONSES = Kind((Requests(8, response_bytes=65 * KB), Wait(30.0)))
SLOW_LONG_RESPONSES = Kind((Requests(8, response_bytes=200 * KB), Requests(8, response_bytes=MB), Read(40 * KB, 30.0)),
                           receive_buffer=8192)
PIPELINED_BODIES = Kind((Requests(8, body_bytes=60 * KB), Wait(30.0)))
PIPELINED_UNREAD = Kind((Requests(50), Requests(50), Requests(50), Wait(20.0)))
RESET_UPLOAD = Kind((Upload(2 * MB, MB),), Ending.RESET)
SLOW_READER = Kind((Requests(1, response_bytes=MB), Read(40 * KB, 30.0)))
MIXES: dict[str, Mix] = {
    "heads after uploads, stopped and reset uploads, slow readers":
        Mix((HEAD_AFTER_UPLOAD, STOPPED_UPLOAD, RESET_UPLOAD, SLOW_READER)),
    "pipelined bodies, unread responses, stopped uploads":
        Mix((PIPELINED_BODIES, PIPELINED_UNREAD, STOPPED_UPLOAD, STOPPED_BODY)),
    "open fields, also after uploads, stopped bodies": Mix((OPEN_FIELD, HEAD_AFTER_UPLOAD, STOPPED_BODY)),
    "open fields": Mix((OPEN_FIELD,)),
    "open targets": Mix((Kind((OpenHead(open_bytes=60 * KB, in_target=True),)),)),
    "unread responses": Mix((UNREAD_RESPONSES,)),
    "slow readers of long responses": Mix((SLOW_LONG_RESPONSES,)),
    "stopped uploads": Mix((STOPPED_UPLOAD,)),
    "waves": Mix((STOPPED_UPLOAD, OPEN_FIELD, HEAD_AFTER_UPLOAD, UNREAD_RESPONSES), wave_s=3.0),
}


def _size(rng: random.Random, most: int) -> int:
    """A size of any magnitude."""
    return int(10 ** rng.uniform(1, len(str(most)) - 1) * rng.uniform(0.5, 1.0) * int(str(most)[0]))


def _open_head(rng: random.Random) -> Step:
    return OpenHead(rng.choice((0, 0, rng.randrange(95), 3000)), rng.choice((2, 20, 150)), _size(rng, 90 * KB),
                    rng.random() < 0.3)


def _upload(rng: random.Random) -> Step:
    length = _size(rng, 9 * MB)
    sent = rng.choice((length, int(length * rng.random()), max(0, length - 9)))
    chunked = rng.random() < 0.4
    return Upload(length, min(sent, 5 * MB), max(1, _size(rng, 60 * KB)) if chunked else 0,
                  _size(rng, 90 * KB) if chunked and rng.random() < 0.3 else 0)


def _requests(rng: random.Random) -> Step:
    return Requests(rng.choice((1, 2, 8, 8, 30)), rng.choice((0, 0, _size(rng, 60 * KB))),
                    rng.choice((0, _size(rng, 64 * KB), _size(rng, 2 * MB))))


def _read(rng: random.Random) -> Step:
    return Read(rng.choice((0, _size(rng, 90 * KB))), rng.uniform(0.1, 10.0))


def _wait(rng: random.Random) -> Step:
    return Wait(rng.uniform(0.05, 8.0))


_STEPS: tuple[Callable[[random.Random], Step], ...] = (_open_head, _upload, _upload, _requests, _requests, _read, _wait)


def draw_kind(rng: random.Random) -> Kind:
    """A kind of client with one to four steps."""
    steps = tuple(rng.choice(_STEPS)(rng) for _ in range(rng.randint(1, 4)))
    return Kind(steps, rng.choice(list(Ending)), rng.choice((0, 0, 0, _size(rng, 200 * KB))),
                rng.choice((0, 0, 4096, 32768)))


def draw_plan(seed: int) -> OverloadPlan:
    """The run of a seed; bad clients keep to a third of the descriptors."""
    rng = random.Random(seed)
    mix = Mix(tuple(draw_kind(rng) for _ in range(rng.choice((1, 2, 3, 5, 14)))),
              rng.choice((0.0, 0.0, rng.uniform(1.0, 6.0))))
    sockets = rng.choice((256, 512, 1024, 1024))
    memory_mb = rng.choice((32, 64, 96, 192))
    replaced = memory_mb >= 64 and rng.random() < 0.25
    return OverloadPlan(mix, memory_mb, sockets, int((sockets // 3 - 10) * rng.choice((1.0, 0.6))),
                        rng.uniform(3.0, 10.0) if replaced else 0.0)
