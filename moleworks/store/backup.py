"""Backups: writes a state image to a file, and creates a new cluster's first member from it.  File format:

    "moleworks-store-backup 1\\n" | u32 length of the head | head (MessagePack) | image

The file is created atomically.  The checksum in the head covers the image.
"""

from __future__ import annotations

import os
import secrets
import struct
from pathlib import Path

import msgspec
import xxhash
from msgspec import Struct

from .core import Write
from .disk import CorruptStore, Disk
from .log import Snapshot
from .messages import Config
from .state import State

MAGIC = b"moleworks-store-backup 1\n"
ADDRESS_PREFIX = "_members/"


class Head(Struct, frozen=True):
    """The metadata before the image."""

    cluster: str
    revision: int
    records: int
    checksum: int


def write(path: Path, cluster: str, image: bytes) -> Head:
    """Writes a backup file.  Raises CorruptStore if the image is malformed, OSError."""
    state = _decode_state(str(path), image)
    head = Head(cluster, state.revision, len(state.records), xxhash.xxh3_64_intdigest(image))
    encoded_head = msgspec.msgpack.encode(head)
    temporary = path.with_name(path.name + f".{os.getpid()}.new")
    try:
        with open(temporary, "xb") as file:
            for part in (MAGIC, struct.pack(">I", len(encoded_head)), encoded_head, image):
                file.write(part)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    finally:
        temporary.unlink(missing_ok=True)
    return head


def read(path: Path) -> tuple[Head, State]:
    """Reads and verifies a backup file.  Raises CorruptStore, OSError."""
    data = path.read_bytes()
    if not data.startswith(MAGIC):
        raise CorruptStore(f"{path}: not a store backup, or one of an unsupported version")
    head_start = len(MAGIC) + 4
    length = int.from_bytes(data[head_start - 4:head_start], "big")
    try:
        head: Head = msgspec.msgpack.decode(data[head_start:head_start + length], type=Head)
    except msgspec.DecodeError as error:
        raise CorruptStore(f"{path}: malformed head: {error}") from None
    image = data[head_start + length:]
    if xxhash.xxh3_64_intdigest(image) != head.checksum:
        raise CorruptStore(f"{path}: the image does not match its checksum")
    return head, _decode_state(str(path), image)


def _decode_state(path: str, image: bytes) -> State:
    try:
        return State.from_image(image)
    except msgspec.DecodeError as error:
        raise CorruptStore(f"{path}: malformed image: {error}") from None


def restore(path: Path, folder: Path, cluster: str, name: str) -> Head:
    """Creates the disk of the only member of a new cluster, which others join.  Raises CorruptStore, OSError.

    The member addresses in the backup belong to the old cluster and are removed.
    """
    head, state = read(path)
    if (folder / "store.db").exists():
        raise CorruptStore(f"{folder}: holds a store already")
    state.prepare_after_restore(1 + secrets.randbelow(1000))
    state.records = {key: record for key, record in state.records.items() if not key.startswith(ADDRESS_PREFIX)}
    disk = Disk(folder, cluster, name)
    try:
        disk.sync(Write(1, 1, "", snapshot=Snapshot(1, 1, Config((name,)), state.image())))
    finally:
        disk.close()
    return Head(cluster, state.revision, len(state.records), head.checksum)


def from_disk(folder: Path, cluster: str, name: str) -> bytes:
    """Builds the image from the disk of a stopped member, for clusters that have lost their majority.

    All entries of its log are applied, so the image may contain changes that were never acknowledged.
    Raises CorruptStore, OSError.
    """
    disk = Disk(folder, cluster, name, create=False)
    try:
        log, _, _ = disk.load(Config())
    finally:
        disk.close()
    state = _decode_state(str(disk.path), log.snapshot.data)
    for index in range(log.snapshot.index + 1, log.last_index + 1):
        if log.get(index).data:
            state.apply(log.get(index).data)
    return state.image()
