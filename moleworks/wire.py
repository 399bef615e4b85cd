"""Frames between processes: length, version, cluster, then MessagePack; 1 MiB at most.

    u32 length of what follows | u8 version | u64 cluster | MessagePack

What is of another cluster, another version or no frame at all ends the connection, with one line that says why.
"""

from __future__ import annotations

import asyncio
import struct

import xxhash

VERSION = 1
MAX_FRAME = 1 << 20
_HEAD = struct.Struct(">IBQ")


class WireError(Exception):
    """Something that is no frame of this cluster and version."""


def cluster_id(name: str) -> int:
    """The number that stands for a cluster's name in each frame."""
    return xxhash.xxh3_64_intdigest(name.encode())


def parse_address(text: str) -> tuple[str, int]:
    """HOST:PORT.  Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not int(port) < 65536:
        raise ValueError(f"must be HOST:PORT, not {text!r}")
    return host, int(port)


def encode_frame(cluster: int, payload: bytes) -> bytes:
    """One frame.  Raises WireError where it would be too long."""
    if len(payload) + 9 > MAX_FRAME:
        raise WireError(f"a frame of {len(payload)} bytes is too long")
    return _HEAD.pack(len(payload) + 9, VERSION, cluster) + payload


async def read_frame(reader: asyncio.StreamReader, cluster: int) -> bytes | None:
    """The next frame's payload; None at the end.  Raises WireError."""
    try:
        length, version, whose = _HEAD.unpack(await reader.readexactly(_HEAD.size))
        if not 9 <= length <= MAX_FRAME:
            raise WireError(f"a frame can't be {length} bytes long")
        if version != VERSION:
            raise WireError(f"a frame of version {version}; this is {VERSION}")
        if whose != cluster:
            raise WireError("a frame of another cluster")
        return await reader.readexactly(length - 9)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise WireError("the connection ends inside a frame") from None
        return None
    except OSError:
        return None
