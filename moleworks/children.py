"""Set-up of child processes."""

from __future__ import annotations

import ctypes
import signal

_LIBC = ctypes.CDLL(None, use_errno=True)   # loaded at import, not between fork and exec
_PDEATHSIG = 1


def die_with_parent() -> None:
    """For `preexec_fn`: the child gets SIGKILL when its parent ends for whatever reason (Linux, prctl(2))."""
    _LIBC.prctl(_PDEATHSIG, signal.SIGKILL)
