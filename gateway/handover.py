"""Upgrades: how two processes of one gateway know of each other.

Each holds a locked file in $TMPDIR for as long as it lives.  A lock ends with its process, whatever ended
that: a file that is not locked is a leftover of a killed process and is removed.
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
    """An address as configurations word it."""
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address")
    return host.strip("[]"), int(port)


class Handover:
    """This process's file, and a look at those of others with the same address for clients."""

    def __init__(self, address: tuple[str, int], folder: str = "") -> None:
        host, port = address
        self._alone = port == 0   # the system's choice of address: nobody can share it
        self._folder = folder or os.environ.get("TMPDIR") or "/tmp"
        self._prefix = f"gateway-{host.replace('/', '_')}-{port}-"
        self._path = ""
        self._fd = -1
        self._untold = False   # that it takes clients
        self._over = False

    def register(self) -> None:
        """Tell others that this process lives.  While no file can be written it is alone; it may be called again."""
        if self._alone or self._path or self._over:
            return
        hidden = ""
        try:
            # Locked before it has its name: guards against being taken for a leftover.
            self._fd, hidden = tempfile.mkstemp(prefix="." + self._prefix, dir=self._folder)
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path = os.path.join(self._folder, os.path.basename(hidden)[1:])
            os.rename(hidden, path)
            self._path = path
        except OSError as error:
            log.warning("no file for handing over: %s", error)
            self._drop(hidden)

    def _drop(self, path: str) -> None:
        """Nothing stays of a file that can't be used."""
        if path:
            with contextlib.suppress(OSError):
                os.unlink(path)
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def serving(self) -> None:
        """Tell others that this process takes clients."""
        self._untold = not self._alone
        self.tell_serving()

    def tell_serving(self) -> None:
        """Write what could not be written before: the folder may have been full for a while."""
        if self._untold and self._path:
            try:
                self._untold = os.pwrite(self._fd, SERVING, 0) < len(SERVING)
            except OSError as error:
                log.warning("others are not told yet that this process takes clients: %s", error)

    def other_running(self) -> bool:
        """Whether another process of this gateway lives."""
        return bool(self._others())

    def other_serving(self) -> bool:
        """Whether another process of this gateway takes clients."""
        return SERVING in self._others()

    def _others(self) -> list[bytes]:
        """What the files of the living others say."""
        found: list[bytes] = []
        if self._alone:
            return found
        try:
            names = [name for name in os.listdir(self._folder) if name.startswith(self._prefix)]
        except OSError:
            return found
        for name in names:
            path = os.path.join(self._folder, name)
            if path == self._path:
                continue
            try:
                fd = os.open(path, os.O_RDWR | os.O_NOFOLLOW | os.O_CLOEXEC)
            except OSError:
                continue   # it has just ended, or belongs to somebody else
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
                os.unlink(path)
            except BlockingIOError:
                found.append(self._read(fd))
            except OSError as error:
                log.warning("a leftover stays: %s", error)
            finally:
                os.close(fd)
        return found

    @staticmethod
    def _read(fd: int) -> bytes:
        try:
            return os.read(fd, len(SERVING))
        except OSError:
            return b""   # it lives, whatever else

    def close(self) -> None:
        """The program is over."""
        self._untold, self._over = False, True
        self._drop(self._path)
        self._path = ""
