"""Framing of messages between processes: length, version, cluster, then MessagePack; at most 1 MiB.

    u32 length of what follows | u8 version | u64 cluster | MessagePack

A malformed frame or one of another cluster or version ends the connection, and the reason is logged in one line.
"""

from __future__ import annotations

import asyncio
import struct

import xxhash

VERSION = 1
MAX_FRAME = 1 << 20
_HEADER = struct.Struct(">IBQ")


class WireError(Exception):
    """Malformed data, or a frame of another cluster or version."""


def cluster_id(name: str) -> int:
    """The number that identifies a cluster in each frame, a hash of its name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def parse_address(text: str) -> tuple[str, int]:
    """Parse HOST:PORT.  Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not int(port) < 65536:
        raise ValueError(f"must be HOST:PORT, not {text!r}")
    return host, int(port)


def encode_frame(cluster: int, payload: bytes) -> bytes:
    """Encode one frame.  Raises WireError if it would be too long."""
    if len(payload) + 9 > MAX_FRAME:
        raise WireError(f"frame too long: payload of {len(payload)} bytes")
    return _HEADER.pack(len(payload) + 9, VERSION, cluster) + payload


async def read_frame(reader: asyncio.StreamReader, cluster: int) -> bytes | None:
    """Read the next frame's payload; None at the end of the stream.  Raises WireError."""
    try:
        length, version, frame_cluster = _HEADER.unpack(await reader.readexactly(_HEADER.size))
        if not 9 <= length <= MAX_FRAME:
            raise WireError(f"invalid frame length: {length} bytes")
        if version != VERSION:
            raise WireError(f"frame of version {version}, expected version {VERSION}")
        if frame_cluster != cluster:
            raise WireError("frame of another cluster")
        return await reader.readexactly(length - 9)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise WireError("connection closed within a frame") from None
        return None
    except OSError:
        return None
