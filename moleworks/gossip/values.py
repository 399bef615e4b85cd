"""Values by owner, merged by version, with an age bound per owner.  No I/O; `now` is the caller's clock in ns."""

from __future__ import annotations

from msgspec import Struct

from .messages import Delta, Entry

MAX_KEYS, MAX_KEY_BYTES, MAX_VALUE_BYTES = 64, 64, 256
MAX_VERSION_STEP = 1_000_000
"""Maximum step of an incarnation or count over the known one; a larger one is rejected as invalid."""
MAX_FIRST_LIFE, MAX_LIFE_STEP, MAX_LIFE = 1 << 31, 1 << 24, 1 << 60
"""Bounds of a `life`, which identifies one run of an owner.  At the start it is random below the first.  If it must
supersede an earlier life, it is that one plus a random step below the second.  The third is the maximum accepted."""
MAX_TOMBSTONES = 16
"""Maximum tombstones that an owner keeps."""
AGE_FACTOR = 1.02
"""Factor on ages measured by the local clock, as clock rates may differ by 1 in 100."""
NEVER_NS = -(1 << 62)
"""Time that stands for "never" in `Owner.fresh`."""


class Owner(Struct):
    """The known values of one owner.

    `floor`: highest count of a dropped tombstone.  A member with a lower count is sent all entries.
    """

    life: int = 0
    count: int = 0
    entries: dict[str, Entry] = {}
    fresh: int = NEVER_NS       # by the local clock: all changes that the owner made before this are known
    floor: int = 0

    def version(self) -> tuple[int, int]:
        """The version, which increases with each change."""
        return (self.life, self.count)


class Values:
    """A member's own values, and what it knows of other owners'."""

    def __init__(self, name: str, life: int) -> None:
        """`life`: drawn at random at the start, so that two runs under one name are told apart."""
        self.name = name
        self.owners: dict[str, Owner] = {name: Owner(life)}

    # ---- Own values --------------------------------------------------------------------------------------

    def put(self, key: str, value: bytes | None, time: int = 0) -> None:
        """Sets or removes one of the member's own keys.  Raises ValueError if a limit is exceeded."""
        own = self.owners[self.name]
        live_keys = sum(entry.value is not None for entry in own.entries.values())
        if not 0 < len(key.encode()) <= MAX_KEY_BYTES or (value is not None and len(value) > MAX_VALUE_BYTES):
            raise ValueError("key is empty, or key or value is too long")
        if value is not None and key not in own.entries and live_keys >= MAX_KEYS:
            raise ValueError(f"more than {MAX_KEYS} keys")
        if value is None and key not in own.entries:
            return
        own.count += 1
        own.entries[key] = Entry(own.count, key, value, time)
        tombstones = sorted((entry for entry in own.entries.values() if entry.value is None),
                            key=lambda entry: entry.count)
        for tombstone in tombstones[:max(0, len(tombstones) - MAX_TOMBSTONES)]:
            own.floor = max(own.floor, tombstone.count)
            del own.entries[tombstone.key]

    def supersede_life(self, life: int, step: int) -> None:
        """Raises the own `life` above that of an earlier run of this name that others know; the values are kept.

        The step is random: with a fixed one, two runs that learn of the same earlier life would get the same `life`.
        """
        own = self.owners[self.name]
        if life >= own.life:
            own.life = life + step

    # ---- Other owners ------------------------------------------------------------------------------------

    def delta_since(self, owner: str, life: int, count: int, budget: int) -> tuple[int, list[Entry], int, bool] | None:
        """The delta for a member with this version, of at most `budget` bytes of entries.

        Returns the count after which it begins, its entries in order, the count up to which it is complete, and whether
        it replaces all earlier entries; None if nothing newer is known.
        """
        record = self.owners.get(owner)
        if record is None or record.version() <= (life, count):
            return None
        is_full = life != record.life or count < record.floor
        after = 0 if is_full else count
        entries = sorted((entry for entry in record.entries.values() if entry.count > after),
                         key=lambda entry: entry.count)
        taken: list[Entry] = []
        for entry in entries:
            budget -= len(entry.key) + len(entry.value or b"") + 24
            if budget < 0:
                return (after, taken, taken[-1].count, is_full) if taken else None
            taken.append(entry)
        return after, taken, record.count, is_full

    def merge(self, delta: Delta) -> bool:
        """Merges a delta; false if it is outdated or invalid, or does not continue the known version."""
        if delta.owner == self.name:
            return False
        record = self.owners.setdefault(delta.owner, Owner())
        if delta.life < record.life or delta.life > MAX_LIFE or delta.upto - record.count > MAX_VERSION_STEP:
            return False
        if delta.life > record.life or (delta.whole and delta.upto > record.count):
            if not delta.whole:
                return False
            if delta.life > record.life:     # lives are random, so the greater one may be the earlier run
                record.fresh = NEVER_NS
            record.entries, record.life, record.count, record.floor = {}, delta.life, 0, 0
        elif delta.after > record.count or delta.upto <= record.count:
            return False
        for entry in delta.entries:
            old = record.entries.get(entry.key)
            if old is None or entry.count > old.count:
                record.entries[entry.key] = entry
        record.count = delta.upto
        # A full delta may lack dropped tombstones, so members behind its end must get a full delta from here, too.
        if delta.whole:
            record.floor = max(record.floor, delta.upto)
        return True

    def confirm(self, owner: str, life: int, count: int, at: int) -> None:
        """Records that at `at` no version of this owner newer than (`life`, `count`) existed.

        `at` is the time of a digest request less the age in the digest.  It says nothing about another life.
        """
        record = self.owners.get(owner)
        if record is not None and owner != self.name and record.life == life and record.count >= count:
            record.fresh = max(record.fresh, at)

    def age(self, now: int, owner: str) -> int:
        """Upper bound of the age of an owner's values here, ns; 0 for the member itself."""
        if owner == self.name:
            return 0
        record = self.owners.get(owner)
        return int((now - record.fresh) * AGE_FACTOR) if record is not None and record.fresh != NEVER_NS else -NEVER_NS

    # ---- Reads -------------------------------------------------------------------------------------------

    def get(self, now: int, owner: str, key: str, bound: int) -> tuple[bytes | None, int] | None:
        """An owner's value and its maximum age, ns; None if it may be older than `bound` and must not be used."""
        age = self.age(now, owner)
        if age > bound:
            return None
        entry = self.owners[owner].entries.get(key)
        return (entry.value if entry is not None else None), age

    def latest(self, key: str) -> bytes | None:
        """The latest value of a key with several writers, by hybrid time and then owner name."""
        found = [(entry.time, owner, entry.value) for owner, record in self.owners.items()
                 if (entry := record.entries.get(key)) is not None]
        return max(found, key=lambda item: item[:2])[2] if found else None
