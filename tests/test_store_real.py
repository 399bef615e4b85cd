"""The store and duties as processes: members killed, stopped, with restored disks; holders that outlive their lease."""

from __future__ import annotations

import asyncio
import os
import resource
import shutil
import signal
import sqlite3
import subprocess
import sys
import time
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest

from moleworks import wire
from moleworks.duties.holder import Holder
from moleworks.rig.real import members
from moleworks.rig.real.procs import AddressBlock
from moleworks.rig.store_spec import StoreExperiment
from moleworks.store.client import Client, Refused
from moleworks.store.protocol import ENCODE, Call, Hello, Status
from moleworks.store.state import Condition, Guard, Put

ROOT = Path(__file__).parent.parent
NAMES = ("a", "b", "c")


class Store:
    """A cluster of three member processes, each with its own folder."""

    def __init__(self, folder: Path) -> None:
        self.block = AddressBlock()
        self.folder = folder
        self.at = {name: self.block.at(2, 7100 + index) for index, name in enumerate((*NAMES, "d"))}
        self.processes: dict[str, subprocess.Popen[str]] = {}

    def where(self, name: str) -> str:
        return "{}:{}".format(*self.at[name])

    def start(self, name: str, *more: str, file_bytes: int = 0) -> subprocess.Popen[str]:
        """Starts a member.  `file_bytes` limits the size of its files, which simulates a full disk."""
        def limit() -> None:
            if file_bytes:
                resource.setrlimit(resource.RLIMIT_FSIZE, (file_bytes, file_bytes))
        peers = ",".join(f"{peer}={self.where(peer)}" for peer in NAMES)
        command = [sys.executable, "-B", "-m", "moleworks", "--log-level", "error", "store", "serve", "--name", name,
                   "--listen", self.where(name), "--folder", str(self.folder / name), "--cluster", "t",
                   *(more or ("--peers", peers))]
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True, preexec_fn=limit)
        return self.processes[name]

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()

    def client(self, *names: str, timeout_s: float = 15.0) -> Client:
        return Client([self.at[name] for name in names or NAMES], "t", timeout_s)

    async def leader(self) -> str:
        """The leader's name, once all running members agree on it."""
        while True:
            rows = []
            for name in NAMES:
                if self.processes[name].poll() is None:
                    async with self.client(name, timeout_s=0.2) as client:
                        try:
                            rows.append(await client.status())
                        except Exception:
                            continue
            leaders = {row.leader for row in rows}
            if len(rows) >= 2 and len(leaders) == 1 and "" not in leaders:
                found = leaders.pop()
                if self.processes[found].poll() is None:
                    return found

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.communicate()
        self.block.close()


@pytest.fixture
def store(tmp_path: Path) -> Iterator[Store]:
    found = Store(tmp_path)
    for name in NAMES:
        found.start(name)
    yield found
    found.close()


def play(scene: Callable[[], Coroutine[Any, Any, None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scene(), 40)
    asyncio.run(bounded())


def test_no_acknowledged_write_is_lost_when_the_leader_is_killed_under_load(store: Store) -> None:
    async def scene() -> None:
        acknowledged: dict[str, int] = {}
        stop = asyncio.Event()
        events = []

        async def write(number: int) -> None:
            async with store.client() as client:
                count = 0
                while not stop.is_set():
                    key = f"w/{number}/{count}"
                    result = await client.change((Put(key, b"x"),), (Condition(key, 0),))
                    assert result.done, result   # a retry must not be applied twice: the condition would fail
                    acknowledged[key] = result.revision
                    count += 1

        async def watch() -> None:
            async with store.client() as client:
                async for event in client.watch("w/", 0):
                    events.append((event.revision, event.key))
        async with store.client() as first:
            await first.change((Put("start", b""),))
        leader = await store.leader()
        watching = asyncio.create_task(watch())
        writers = [asyncio.create_task(write(number)) for number in range(8)]
        while len(acknowledged) < 200:
            await asyncio.sleep(0.01)
        killed = time.monotonic()
        store.kill(leader)
        before = len(acknowledged)
        while len(acknowledged) < before + 100:
            await asyncio.sleep(0.01)
        assert time.monotonic() - killed < 4.0   # a new leader within 2 s, then 100 writes
        store.start(leader)
        stop.set()
        await asyncio.gather(*writers)
        async with store.client() as client:
            rows = (await client.list("w/", 10_000)).rows or []
            assert {row.key: row.revision for row in rows} == acknowledged
        while len(events) < len(acknowledged):
            await asyncio.sleep(0.01)
        watching.cancel()
        assert events == sorted((revision, key) for key, revision in acknowledged.items())   # no gaps, no repeats
    play(scene)


def test_a_holder_stopped_past_its_lease_is_replaced_and_its_late_write_rejected(store: Store) -> None:
    async def scene() -> None:
        async with store.client() as one, store.client() as other:
            first, second = Holder(one, "lead", "one", 500), Holder(other, "lead", "other", 500)
            held = await first.acquire()          # never renews, like a process that is stopped during its work
            begun = time.monotonic()
            assert not (await other.acquire("lead", "other", 500)).done
            assert (await other.list("", 0)).grants is not None
            newer = await second.acquire()
            assert 0.5 < time.monotonic() - begun < 1.6   # the lease, and at most 1 s more
            assert newer.token == held.token + 1 and not first.holds() and second.holds()
            late = await one.change((Put("work", b"late"),), (), Guard("lead", held.token))
            assert (late.done, late.why, late.token) == (False, "token", newer.token)
            assert (await other.change((Put("work", b"good"),), (), Guard("lead", newer.token))).done
            began = time.monotonic()
            await second.release(to="one")
            assert (await first.acquire()).token == newer.token + 1
            assert time.monotonic() - began < 0.5         # handed over, without waiting for the lease to expire
    play(scene)


def test_a_command_under_a_duty_ends_before_another_process_acquires_it(store: Store, tmp_path: Path) -> None:
    async def scene() -> None:
        await store.leader()
        log = tmp_path / "log"
        script = f"echo begin $MOLEWORKS_TOKEN >> {log}; trap 'echo end $MOLEWORKS_TOKEN >> {log}; exit' TERM; " \
                 "while :; do sleep 0.02; done"
        runs = [subprocess.Popen(
            [sys.executable, "-B", "-m", "moleworks", "--log-level", "error", "duty", "run", "job", "--ttl-ms", "800",
             "--name", name, "--cluster", "t", "--", "sh", "-c", script], cwd=ROOT,
            env={**os.environ, "MOLEWORKS_STORE": ",".join(map(store.where, NAMES))})
            for name in ("x", "y")]
        try:
            while not log.exists() or "begin 1" not in log.read_text():
                await asyncio.sleep(0.02)
            async with store.client() as client:
                grants = (await client.list("", 0)).grants or []
            holder = runs["xy".index(grants[0].holder)]
            holder.send_signal(signal.SIGSTOP)
            while "begin 2" not in log.read_text():
                await asyncio.sleep(0.02)
            holder.send_signal(signal.SIGCONT)
            assert await asyncio.to_thread(holder.wait, 10) == 75   # it detects that the lease has expired
            assert "end 1" in log.read_text()
        finally:
            for run in runs:
                run.send_signal(signal.SIGCONT)
                run.terminate()
                run.wait(10)
    play(scene)


def test_members_are_added_and_removed_and_no_other_disk_takes_a_used_name(store: Store) -> None:
    async def scene() -> None:
        leader = await store.leader()
        store.start("d", "--join")
        async with store.client() as client:
            for number in range(300):
                await client.change((Put(f"k{number}", b"v" * 100),))
            await client.members(add="d", address=store.where("d"))
            while "d" not in (await client.status()).config.voters:
                await asyncio.sleep(0.02)
            with pytest.raises(Refused, match="already"):
                await client.members(add="d", address="127.0.0.1:1")
            removed = next(name for name in NAMES if name != leader)
            await client.members(remove=removed)
            while removed in (await client.status()).config.voters:
                await asyncio.sleep(0.02)
            async with store.client("d") as at_d:
                assert len((await at_d.list("k")).rows or []) == 300
        other = next(name for name in NAMES if name not in (leader, removed))
        store.kill(other)
        shutil.rmtree(store.folder / other)     # the same name with an empty disk, which lacks its votes
        process = store.start(other)
        _, err = await asyncio.to_thread(process.communicate, None, 20)
        assert process.returncode == 1 and "another disk than before" in err
    play(scene)


def test_members_under_network_faults_keep_acknowledged_changes(tmp_path: Path) -> None:
    result = members.play(StoreExperiment("Random", "members", 3, 2.5, drawn=4), tmp_path)
    assert result["broken"] == [] and result["faults"] and result["figures"]["operations"] > 50


def test_a_disk_restored_to_an_earlier_state_is_rejected(store: Store) -> None:
    async def scene() -> None:
        leader = await store.leader()
        name = next(peer for peer in NAMES if peer != leader)
        store.kill(name)
        shutil.copytree(store.folder / name, store.folder / "old")
        for _ in range(2):                      # two more starts, which the other members have seen
            store.start(name)
            async with store.client(name) as client:
                while (await client.status()).leader != leader:
                    await asyncio.sleep(0.02)
            store.kill(name)
        shutil.rmtree(store.folder / name)
        shutil.copytree(store.folder / "old", store.folder / name)
        process = store.start(name)
        _, err = await asyncio.to_thread(process.communicate, None, 20)
        assert process.returncode == 1 and "its disk is older" in err
    play(scene)


def test_a_corrupt_entry_stops_the_member_with_a_one_line_error(store: Store) -> None:
    async def scene() -> None:
        leader = await store.leader()
        name = next(peer for peer in NAMES if peer != leader)
        async with store.client() as client:
            for number in range(20):
                await client.change((Put("k", str(number).encode()),))
        store.kill(name)
        with sqlite3.connect(store.folder / name / "store.db") as db:
            db.execute("update log set body = zeroblob(length(body)) where idx = 7")
        db.close()
        process = store.start(name)
        _, err = await asyncio.to_thread(process.communicate, None, 20)
        assert process.returncode == 1 and err.count("\n") == 1
        assert "entry 7 does not fit its checksum" in err
    play(scene)


def test_a_member_with_a_full_disk_stops_and_the_others_continue(store: Store) -> None:
    async def scene() -> None:
        leader = await store.leader()
        name = next(peer for peer in NAMES if peer != leader)
        store.kill(name)
        process = store.start(name, file_bytes=200_000)
        async with store.client() as client:
            count = 0
            while process.poll() is None:
                assert (await client.change((Put(f"k{count % 50}", b"x" * 5000),))).done
                count += 1
            assert (await client.change((Put("after", b""),))).done
        _, err = process.communicate()
        assert process.returncode == 1 and err.count("\n") == 1 and "store.db" in err
        assert "full" in err or "I/O error" in err
        restarted = store.start(name)               # with space again, all acknowledged changes are there
        async with store.client(name) as client:
            while (await client.status()).revision < count + 1:
                await asyncio.sleep(0.02)
        assert restarted.poll() is None
    play(scene)


def test_an_invalid_frame_closes_only_its_own_connection(store: Store) -> None:
    async def scene() -> None:
        leader = await store.leader()
        cluster = wire.cluster_id("t")
        good = wire.encode_frame(cluster, ENCODE(Hello()))
        bad = [b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, wire.encode_frame(1, ENCODE(Hello())), good[:7],
               wire.encode_frame(cluster, b"\xc1"), good + wire.encode_frame(cluster, ENCODE(Hello())),
               b"\x00\x00\x00\x10\x09" + good[5:], wire.encode_frame(cluster, ENCODE(Call(1, Status())))]
        for data in bad:
            reader, writer = await asyncio.open_connection(*store.at[leader])
            writer.write(data)
            writer.write_eof()
            assert await reader.read() == b""
            writer.close()
        async with store.client(leader) as client:
            assert (await client.status()).role == "leader"
        assert await store.leader() == leader
    play(scene)
