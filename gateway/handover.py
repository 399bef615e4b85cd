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
        self._folder = folder or tempfile.gettempdir()
        self._prefix = f"gateway-{host.replace('/', '_')}-{port}-"
        self._path = ""
        self._fd = -1

    def register(self) -> None:
        """Tell others that this process lives.  Where no file can be written, it is alone."""
        if self._alone or self._path:
            return
        try:
            # Locked before it has its name: guards against being taken for a leftover.
            self._fd, path = tempfile.mkstemp(prefix="." + self._prefix, dir=self._folder)
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._path = os.path.join(self._folder, os.path.basename(path)[1:])
            os.rename(path, self._path)
        except OSError as error:
            log.warning("no file for handing over: %s", error)

    def serving(self) -> None:
        """Tell others that this process takes clients."""
        if self._path:
            os.pwrite(self._fd, SERVING, 0)

    def beside(self) -> bool:
        """Whether another process of this gateway lives."""
        return bool(self._others())

    def succeeded(self) -> bool:
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
                found.append(os.read(fd, len(SERVING)))
            except OSError as error:
                log.warning("a leftover stays: %s", error)
            finally:
                os.close(fd)
        return found

    def close(self) -> None:
        """The program is over."""
        if self._path:
            with contextlib.suppress(OSError):
                os.unlink(self._path)
            self._path = ""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
