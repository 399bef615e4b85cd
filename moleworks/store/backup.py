"""Backups: the state's image in one file, and a new cluster's first member from it.

    "moleworks-store-backup 1\\n" | u32 length of the head | head (MessagePack) | image

The file appears whole or not at all; its checksum covers the image.
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
MEMBERS = "_members/"


class Head(Struct, frozen=True):
    """What stands before the image."""

    cluster: str
    revision: int
    records: int
    checksum: int


def write(path: Path, cluster: str, image: bytes) -> Head:
    """Raises CorruptStore where the image can't be read, OSError."""
    state = _state(str(path), image)
    head = Head(cluster, state.revision, len(state.records), xxhash.xxh3_64_intdigest(image))
    told = msgspec.msgpack.encode(head)
    fresh = path.with_name(path.name + f".{os.getpid()}.new")
    try:
        with open(fresh, "xb") as file:
            for part in (MAGIC, struct.pack(">I", len(told)), told, image):
                file.write(part)
            file.flush()
            os.fsync(file.fileno())
        os.replace(fresh, path)
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    finally:
        fresh.unlink(missing_ok=True)
    return head


def read(path: Path) -> tuple[Head, State]:
    """Raises CorruptStore, OSError."""
    data = path.read_bytes()
    if not data.startswith(MAGIC):
        raise CorruptStore(f"{path}: is no backup of a store, or of another version")
    at = len(MAGIC) + 4
    length = int.from_bytes(data[at - 4:at], "big")
    try:
        head: Head = msgspec.msgpack.decode(data[at:at + length], type=Head)
    except msgspec.DecodeError as error:
        raise CorruptStore(f"{path}: its head can't be read: {error}") from None
    image = data[at + length:]
    if xxhash.xxh3_64_intdigest(image) != head.checksum:
        raise CorruptStore(f"{path}: does not fit its checksum")
    return head, _state(str(path), image)


def _state(path: str, image: bytes) -> State:
    try:
        return State.from_image(image)
    except msgspec.DecodeError as error:
        raise CorruptStore(f"{path}: the image can't be read: {error}") from None


def restore(path: Path, folder: Path, cluster: str, name: str) -> Head:
    """The disk of a new cluster's one member; others join it.  Raises CorruptStore, OSError.

    Where members listened belongs to the old cluster and is left out.
    """
    head, state = read(path)
    if (folder / "store.db").exists():
        raise CorruptStore(f"{folder}: holds a store already")
    state.anew(1 + secrets.randbelow(1000))
    state.records = {key: record for key, record in state.records.items() if not key.startswith(MEMBERS)}
    disk = Disk(folder, cluster, name)
    try:
        disk.sync(Write(1, 1, "", snapshot=Snapshot(1, 1, Config((name,)), state.image())))
    finally:
        disk.close()
    return Head(cluster, state.revision, len(state.records), head.checksum)


def from_disk(folder: Path, cluster: str, name: str) -> bytes:
    """The image of a member that does not run, where no majority is left: all of its log counts.

    What was never acknowledged may be in it.  Raises CorruptStore, OSError.
    """
    disk = Disk(folder, cluster, name, create=False)
    try:
        log, _, _ = disk.load(Config())
    finally:
        disk.close()
    state = _state(str(disk.path), log.snapshot.data)
    for index in range(log.snapshot.index + 1, log.last_index + 1):
        if log.get(index).data:
            state.apply(log.get(index).data)
    return state.image()
