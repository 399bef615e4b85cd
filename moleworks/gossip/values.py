"""Values by owner, merged by version, and how old knowledge of each owner may be.  No I/O; the caller's `now`, ns."""

from __future__ import annotations

from msgspec import Struct

from .messages import Delta, Entry

MAX_KEYS, KEY_BYTES, VALUE_BYTES = 64, 64, 256
JUMP = 1_000_000
"""A version may be so far beyond the known one at most: more is a lie, or of another world."""
LIVES, STEP, MOST_LIFE = 1 << 31, 1 << 24, 1 << 60
"""A life is drawn below the first; one that has to come after an older one is that and a step below the second."""
MARKS = 16
"""Removed keys whose marks an owner keeps."""
PACE = 1.02
"""Clocks may be 1 in 100 apart: an age is stated as so many times what the own clock says."""
NEVER_NS = -(1 << 62)


class Owner(Struct):
    """What is known of one owner.  `floor`: the newest mark that was dropped; who is behind it gets everything."""

    life: int = 0
    count: int = 0
    entries: dict[str, Entry] = {}
    fresh: int = NEVER_NS       # by this member's clock: whatever the owner did before this is here
    floor: int = 0

    def version(self) -> tuple[int, int]:
        """What grows with each change."""
        return (self.life, self.count)


class Values:
    """One member's own values and its knowledge of others'."""

    def __init__(self, name: str, life: int) -> None:
        """`life`: drawn at the start, so that no two lives of a name are taken for one."""
        self.name = name
        self.owners: dict[str, Owner] = {name: Owner(life)}

    # ---- One's own ---------------------------------------------------------------------------------------

    def put(self, key: str, value: bytes | None, time: int = 0) -> None:
        """Set or remove a key of one's own.  Raises ValueError past the bounds."""
        own = self.owners[self.name]
        held = sum(entry.value is not None for entry in own.entries.values())
        if not 0 < len(key.encode()) <= KEY_BYTES or (value is not None and len(value) > VALUE_BYTES):
            raise ValueError("key or value is too long")
        if value is not None and key not in own.entries and held >= MAX_KEYS:
            raise ValueError(f"more than {MAX_KEYS} keys")
        if value is None and key not in own.entries:
            return
        own.count += 1
        own.entries[key] = Entry(own.count, key, value, time)
        marks = sorted((entry for entry in own.entries.values() if entry.value is None), key=lambda entry: entry.count)
        for mark in marks[:max(0, len(marks) - MARKS)]:
            own.floor = max(own.floor, mark.count)
            del own.entries[mark.key]

    def reborn(self, life: int, step: int) -> None:
        """Others know of an earlier life of this name: this one comes after it, with what it has now.

        By a step that is drawn: else two lives that hear of the same earlier one would be taken for one.
        """
        own = self.owners[self.name]
        if life >= own.life:
            own.life = life + step

    # ---- Others' -----------------------------------------------------------------------------------------

    def delta_since(self, owner: str, life: int, count: int, room: int) -> tuple[int, list[Entry], int, bool] | None:
        """What somebody with that version lacks: after which count, entries in order, up to where, and if that is all
        of it anew; at most so many bytes.  None where there is nothing newer here."""
        known = self.owners.get(owner)
        if known is None or known.version() <= (life, count):
            return None
        whole = life != known.life or count < known.floor
        after = 0 if whole else count
        entries = sorted((entry for entry in known.entries.values() if entry.count > after),
                         key=lambda entry: entry.count)
        taken: list[Entry] = []
        for entry in entries:
            room -= len(entry.key) + len(entry.value or b"") + 24
            if room < 0:
                return (after, taken, taken[-1].count, whole) if taken else None
            taken.append(entry)
        return after, taken, known.count, whole

    def merge(self, told: Delta) -> bool:
        """Take what is new; false where it does not follow on what is here, or can't be."""
        if told.owner == self.name:
            return False
        known = self.owners.setdefault(told.owner, Owner())
        if told.life < known.life or told.life > MOST_LIFE or told.upto - known.count > JUMP:
            return False
        if told.life > known.life or (told.whole and told.upto > known.count):
            if not told.whole:
                return False
            if told.life > known.life:     # lives are drawn, so the greater one may be the earlier one
                known.fresh = NEVER_NS
            known.entries, known.life, known.count, known.floor = {}, told.life, 0, 0
        elif told.after > known.count or told.upto <= known.count:
            return False
        for entry in told.entries:
            old = known.entries.get(entry.key)
            if old is None or entry.count > old.count:
                known.entries[entry.key] = entry
        known.count = told.upto
        # A part of all anew may lack marks that were dropped: who is behind them has to get all of it from here, too.
        if told.whole:
            known.floor = max(known.floor, told.upto)
        return True

    def confirmed(self, owner: str, life: int, count: int, at: int) -> None:
        """Asked at `at` less the age there, somebody knew no more of it than this version; of another life it says
        nothing."""
        known = self.owners.get(owner)
        if known is not None and owner != self.name and known.life == life and known.count >= count:
            known.fresh = max(known.fresh, at)

    def age(self, now: int, owner: str) -> int:
        """How old knowledge of an owner may be, ns; 0 of oneself."""
        if owner == self.name:
            return 0
        known = self.owners.get(owner)
        return int((now - known.fresh) * PACE) if known is not None and known.fresh != NEVER_NS else -NEVER_NS

    # ---- Reads -------------------------------------------------------------------------------------------

    def get(self, now: int, owner: str, key: str, bound: int) -> tuple[bytes | None, int] | None:
        """An owner's value and its greatest age, ns; None: it may be older than `bound`, so it must not be used."""
        age = self.age(now, owner)
        if age > bound:
            return None
        entry = self.owners[owner].entries.get(key)
        return (entry.value if entry is not None else None), age

    def last(self, key: str) -> bytes | None:
        """The last word on a key that many write, by hybrid time and name."""
        found = [(entry.time, owner, entry.value) for owner, known in self.owners.items()
                 if (entry := known.entries.get(key)) is not None]
        return max(found, key=lambda item: item[:2])[2] if found else None
