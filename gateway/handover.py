"""Takeover between two processes of one gateway, during an upgrade: how each detects the other.

Each process holds a locked file in $TMPDIR for as long as it runs.  The kernel releases the lock when the process ends,
for whatever reason: a file without a lock is a leftover of a killed process and is removed.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import tempfile

log = logging.getLogger("gateway.handover")

SERVING = b"serving\n"


def host_and_port(text: str) -> tuple[str, int]:
    """Parse an address in the form of the configuration, host:port.  Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address of the form host:port")
    return host.strip("[]"), int(port)


class Handover:
    """This process's file, and checks of the files of other processes with the same address for clients."""

    def __init__(self, address: tuple[str, int], folder: str = "") -> None:
        host, port = address
        self._unshared = port == 0   # the kernel chooses the port: no other process can share it
        self._folder = folder or os.environ.get("TMPDIR") or "/tmp"
        self._prefix = f"gateway-{host.replace('/', '_')}-{port}-"
        self._path = ""
        self._fd = -1
        self._announcement_pending = False   # the file does not say yet that this process accepts clients
        self._closed = False

    def register(self) -> None:
        """Create the file by which other processes detect this one.  May be called again if that has failed."""
        if self._unshared or self._path or self._closed:
            return
        hidden = ""
        try:
            # Locked before it gets its final name: otherwise another process could remove it as a leftover.
            self._fd, hidden = tempfile.mkstemp(prefix="." + self._prefix, dir=self._folder)
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path = os.path.join(self._folder, os.path.basename(hidden)[1:])
            os.rename(hidden, path)
            self._path = path
        except OSError as error:
            log.warning("can't create the file for a takeover, will retry: %s", error)
            self._discard(hidden)

    def _discard(self, path: str) -> None:
        """Remove a file and close its descriptor."""
        if path:
            with contextlib.suppress(OSError):
                os.unlink(path)
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def announce_serving(self) -> None:
        """Announce to other processes that this one accepts clients."""
        self._announcement_pending = not self._unshared
        self.write_announcement()

    def write_announcement(self) -> None:
        """Write a pending announcement; an earlier write may have failed because the disk was full."""
        if self._announcement_pending and self._path:
            try:
                self._announcement_pending = os.pwrite(self._fd, SERVING, 0) < len(SERVING)
            except OSError as error:
                log.warning("can't announce that this process accepts clients, will retry: %s", error)

    def other_running(self) -> bool:
        """Return whether another process of this gateway is running."""
        return bool(self._read_other_files())

    def other_serving(self) -> bool:
        """Return whether another process of this gateway accepts clients."""
        return SERVING in self._read_other_files()

    def _read_other_files(self) -> list[bytes]:
        """Return the contents of the files of other running processes; remove those of processes that have ended."""
        contents: list[bytes] = []
        if self._unshared:
            return contents
        try:
            names = [name for name in os.listdir(self._folder) if name.startswith(self._prefix)]
        except OSError:
            return contents
        for name in names:
            path = os.path.join(self._folder, name)
            if path == self._path:
                continue
            try:
                fd = os.open(path, os.O_RDWR | os.O_NOFOLLOW | os.O_CLOEXEC)
            except OSError:
                continue   # its process has just ended, or it belongs to another user
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
                os.unlink(path)
            except BlockingIOError:
                contents.append(self._read(fd))
            except OSError as error:
                log.warning("can't remove a leftover file: %s", error)
            finally:
                os.close(fd)
        return contents

    @staticmethod
    def _read(fd: int) -> bytes:
        try:
            return os.read(fd, len(SERVING))
        except OSError:
            return b""   # the process is running even if its file can't be read

    def close(self) -> None:
        """Remove this process's file."""
        self._announcement_pending, self._closed = False, True
        self._discard(self._path)
        self._path = ""
