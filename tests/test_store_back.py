"""Backup and restore of the store, rejection of disks restored to an earlier state, and the duty commands."""

from __future__ import annotations

import asyncio
import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from moleworks.store import backup
from moleworks.store.client import Client, Refused
from moleworks.store.disk import CorruptStore
from moleworks.store.identity import rejection_reason
from moleworks.store.protocol import Hello
from moleworks.store.state import Guard, Put

from .test_store_real import NAMES, ROOT, Store, play, store

__all__ = ["store"]


def command(*words: str, members: str = "") -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-B", "-m", "moleworks", "--log-level", "error", *words, "--cluster", "t"],
                          cwd=ROOT, capture_output=True, text=True, timeout=30,
                          env={**os.environ, "MOLEWORKS_STORE": members})


def test_a_restored_store_has_all_records_and_rejects_tokens_and_revisions_from_before(
        store: Store, tmp_path: Path) -> None:
    file, members = tmp_path / "backup", ",".join(map(store.where, NAMES))

    async def scene() -> None:
        await store.leader()
        async with store.client() as client:
            for number in range(30):
                await client.change((Put(f"k{number}", bytes(20_000)),))     # more than one chunk
            held = await client.acquire("lead", "one", 3_600_000)
            assert held.done
            result = command("store", "backup", str(file), members=members)
            assert result.returncode == 0 and "30 records" in result.stdout, result
            later = await client.change((Put("late", b""),))
            other = await client.acquire("other", "one", 3_600_000)
        for name in NAMES:
            store.kill(name)
        result = command("store", "restore", str(file), "--folder", str(tmp_path / "d"), "--name", "d")
        assert result.returncode == 0, result
        store.start("d", "--peers", f"d={store.where('d')}")
        async with Client([store.at["d"]], "t") as client:
            assert len((await client.list("k")).rows or []) == 30
            assert await client.get("late") is None
            with pytest.raises(Refused, match="compacted"):
                async for _ in client.watch("", later.revision):
                    pass
            for duty, token in (("lead", held.token), ("other", other.token)):
                late = await client.change((Put("x", b""),), (), Guard(duty, token))
                assert (late.done, late.why) == (False, "token")
                fresh = await client.acquire(duty, "two", 1000)
                assert fresh.done and fresh.token > token + 1000
                assert (await client.change((Put("x", b""),), (), Guard(duty, fresh.token))).revision > later.revision
    play(scene)
    second_restore = command("store", "restore", str(file), "--folder", str(tmp_path / "d"), "--name", "d")
    assert second_restore.returncode == 1 and "holds a store already" in second_restore.stderr
    data = file.read_bytes()
    for bad in (data[:-1], data[:40], b"x" + data, data[:-3] + b"abc"):
        file.write_bytes(bad)
        with pytest.raises(CorruptStore):
            backup.read(file)
    last_backup = command("store", "backup", str(tmp_path / "left"), "--folder", str(tmp_path / "a"), "--name", "a")
    assert last_backup.returncode == 0 and "31 records" in last_backup.stdout, last_backup    # the only one left


def test_an_older_disk_is_rejected_even_after_all_other_members_have_restarted(store: Store) -> None:
    async def scene() -> None:
        leader = await store.leader()
        name, other = (peer for peer in NAMES if peer != leader)
        store.kill(name)
        shutil.copytree(store.folder / name, store.folder / "old")
        store.start(name)
        store.kill(other)
        async with store.client(leader) as client:      # its majority includes the restarted member
            assert (await client.change((Put("k", b""),))).done
        for peer in (name, leader):
            store.kill(peer)
        shutil.rmtree(store.folder / name)
        shutil.copytree(store.folder / "old", store.folder / name)
        process = store.start(name)      # before the others, so that no running member has its last start in memory
        for peer in (leader, other):
            store.start(peer)
        _, err = await asyncio.to_thread(process.communicate, None, 20)
        assert process.returncode == 1 and "its disk is older" in err
    play(scene)


def test_disks_are_identified_by_start_counts_and_start_identifiers() -> None:
    previous = Hello("a", "x", "disk", 5, "five", "four")
    assert rejection_reason(None, previous) == rejection_reason(previous, previous) == ""
    assert rejection_reason(previous, Hello("a", "y", "disk", 6, "six", "five")) == ""
    assert rejection_reason(previous, Hello("a", "x", "disk", 8, "eight", "seven")) == ""   # skipped starts
    assert "another disk" in rejection_reason(previous, Hello("a", "x", "new", 9, "nine", "eight"))
    for boot, life, before in ((4, "four", "three"), (5, "again", "four"), (6, "six", "again")):
        assert "older" in rejection_reason(previous, Hello("a", "x", "disk", boot, life, before))


def test_duty_commands_acquire_renew_watch_and_release(store: Store) -> None:
    members = ",".join(map(store.where, NAMES))

    async def scene() -> None:
        await store.leader()
        watching = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "moleworks", "duty", "watch", "job", "--cluster", "t", cwd=ROOT,
            env={**os.environ, "MOLEWORKS_STORE": members}, stdout=asyncio.subprocess.PIPE)
        assert watching.stdout is not None
        lines = watching.stdout
        try:
            assert await lines.readline() == b"nobody\n"
            first = await asyncio.to_thread(command, "duty", "acquire", "job", "--name", "x", "--ttl-ms", "60000",
                                            members=members)
            assert (first.returncode, first.stdout) == (0, "1\n")
            assert await lines.readline() == b"x token 1\n"
            second = await asyncio.to_thread(command, "duty", "acquire", "job", "--name", "y", members=members)
            assert (second.returncode, second.stdout) == (1, "held x token 1\n")
            for words, code in ((("renew", "job", "--token", "1"), 0), (("renew", "job", "--token", "7"), 1),
                                (("release", "job", "--token", "1"), 0), (("release", "job", "--token", "1"), 1)):
                assert (await asyncio.to_thread(command, "duty", *words, members=members)).returncode == code
            assert await lines.readline() == b"nobody\n"
        finally:
            watching.kill()
            await watching.wait()
    play(scene)
