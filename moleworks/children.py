"""What a process does for those that it starts."""

from __future__ import annotations

import ctypes
import signal

_LIBC = ctypes.CDLL(None, use_errno=True)   # looked up here: between fork and exec there is no time for it
_PDEATHSIG = 1


def die_with_parent() -> None:
    """For `preexec_fn`: SIGKILL once the parent has ended, however it did (Linux, prctl(2))."""
    _LIBC.prctl(_PDEATHSIG, signal.SIGKILL)
