"""The closed loop over resident memory, with a kernel's count of the tests' own."""

from __future__ import annotations

from gateway.memory import MIN_BUDGET_BYTES, Account, MemoryBudget, MemoryKind
from gateway.memory_pressure import MemoryPressure, read_resident_bytes

MIB = 1 << 20
BASE_BYTES, LIMIT_BYTES = 26 * MIB, 64 * MIB
ROOM_BYTES = LIMIT_BYTES - BASE_BYTES


class Process:
    """A process whose resident memory the test sets, and whose connections can be closed."""

    def __init__(self) -> None:
        self.used_bytes = 0
        self.budget = MemoryBudget(MIB)
        self.account = Account(self.budget, MemoryKind.BODIES)
        self.pressure = MemoryPressure(self.budget, lambda: BASE_BYTES + self.used_bytes)
        self.pressure.set_limit(LIMIT_BYTES, BASE_BYTES)
        self.pressure.release = self.release
        self.released_bytes = 0

    def release(self, size: int) -> int:
        """Give up so many bytes."""
        self.released_bytes += size
        self.used_bytes -= size
        return size


def test_the_budget_follows_the_kernels_count_and_not_the_estimates() -> None:
    """Guards against a bound that holds for estimates while the process has more, or less (incident 49)."""
    process = Process()
    process.account.update(10 * MIB)
    for used_bytes, unaccounted_bytes in ((6 * MIB, -2 * MIB), (10 * MIB, 0), (20 * MIB, 10 * MIB)):
        process.used_bytes = used_bytes
        process.pressure.check()
        assert process.budget.max_bytes == process.pressure.admit_mark - unaccounted_bytes
    assert process.released_bytes == 0


def test_connections_are_closed_above_the_last_mark_down_to_what_is_admitted() -> None:
    process = Process()
    process.account.update(30 * MIB)
    process.used_bytes = process.pressure.close_mark + MIB
    process.pressure.check()
    assert process.used_bytes <= process.pressure.admit_mark < process.pressure.close_mark < ROOM_BYTES
    assert process.pressure.metrics()["memory_released_kb"] == process.released_bytes >> 10


def test_free_memory_is_returned_where_more_is_resident_than_held() -> None:
    """Guards against memory that the allocator keeps after a crowd, far below the limit (incident 49)."""
    process = Process()
    process.account.update(10 * MIB)
    process.used_bytes = 13 * MIB
    process.pressure.check()
    assert process.pressure.metrics()["memory_reclaims"] == 0
    process.used_bytes = 14 * MIB
    process.pressure.check()
    assert process.pressure.metrics()["memory_reclaims"] == 1


def test_small_requests_are_admitted_while_freed_memory_stays_resident() -> None:
    """Guards against a process that refuses all for ever since its allocator has kept what was freed."""
    process = Process()
    process.used_bytes = ROOM_BYTES - MIB
    process.pressure.check()
    assert process.budget.max_bytes >= MIN_BUDGET_BYTES and process.released_bytes == 0


def test_resident_memory_is_read_after_enough_bytes_have_been_taken_in() -> None:
    process = Process()
    process.account.update(30 * MIB)
    process.used_bytes = ROOM_BYTES
    process.pressure.note_taken(1000)
    assert process.released_bytes == 0
    process.pressure.note_taken(300 * 1024)
    assert process.released_bytes > 0


def test_the_process_can_read_its_resident_memory() -> None:
    assert read_resident_bytes() > 10 * MIB


def test_unknown_resident_memory_leaves_the_budget_as_it_is() -> None:
    budget = MemoryBudget(MIB)
    MemoryPressure(budget, lambda: 0).check()
    assert budget.max_bytes == MIB
