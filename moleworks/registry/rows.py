"""A host as an entry of the list, in the format of the platform's `/registry/instances`.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

IN_SERVICE, DRAINING, TERMINATED = "in_service", "terminating", "terminated"
InstanceId = Annotated[str, Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]*$")]
HostPort = Annotated[str, Meta(max_length=256, pattern=r"^\[?[A-Za-z0-9.:_-]+\]?:[0-9]{1,5}$")]


class Row(Struct, frozen=True, rename="camel"):
    """One instance.  `started_at_ms` is Unix time; 0 means that the host has been running for long."""

    instance_id: InstanceId
    host_port: HostPort
    zone: Annotated[str, Meta(min_length=1, max_length=64)]
    machine_type: Annotated[str, Meta(max_length=64)] = ""
    cell: Annotated[int, Meta(ge=0, lt=1 << 31)] = 0
    lifecycle: Literal["in_service", "terminating", "terminated"] = "in_service"
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    started_at_ms: Annotated[int, Meta(ge=0, lt=1 << 53)] = 0


class Line(Struct, rename="camel"):
    """One update of the list: the full list (`reset`) or the rows that have changed."""

    generation: int
    reset: bool
    instances: list[Row]


ROW: msgspec.json.Decoder[Row] = msgspec.json.Decoder(Row)
LINE: msgspec.json.Decoder[Line] = msgspec.json.Decoder(Line)
ENCODE = msgspec.json.Encoder().encode


def terminated_row(row: Row) -> Row:
    """The row that announces the removal of a host in an update."""
    return msgspec.structs.replace(row, lifecycle=TERMINATED)


def difference(old: Mapping[str, Row], new: Mapping[str, Row]) -> list[Row]:
    """The changes that turn the old list into the new one."""
    return [*(terminated_row(row) for name, row in old.items() if name not in new),
            *(row for name, row in new.items() if old.get(name) != row)]


def applied(rows: dict[str, Row], changes: Iterable[Row]) -> None:
    """Apply changes to a list in place."""
    for row in changes:
        if row.lifecycle == TERMINATED:
            rows.pop(row.instance_id, None)
        else:
            rows[row.instance_id] = row
