"""Run a role in this process, with logging and reload of its settings."""

from __future__ import annotations

import asyncio
import collections.abc
import pathlib
import signal
import typing

from tamarackthread.generated import settings as generated
from tamarackthread.shared import faults, live_settings, logs, reload

Run = collections.abc.Callable[
    [generated.Settings],
    collections.abc.Coroutine[None, None, None],
]


def run(
    loaded: generated.Settings,
    path: str,
    role: Run,
    *,
    base: pathlib.Path | None = None,
    output: typing.TextIO | None = None,
    name: str = '',
) -> None:
    """Run ``role`` with settings loaded from ``path`` until it ends.  Reloaded
    relative paths start at ``base``; ``name`` is the node in log lines.
    """
    # SIGHUP would end the process if sent before the reloader handles it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    writer = logs.start(loaded.logs, output, node=name or loaded.node.id)
    source = live_settings.Source(loaded)
    source.watch(lambda: writer.change(source.current.logs))
    reloader = reload.Reloader(path, source, base)
    try:
        asyncio.run(_watched(reloader, role(source.settings)))
    finally:
        writer.close()


async def _watched(
    reloader: reload.Reloader,
    role: collections.abc.Coroutine[None, None, None],
) -> None:
    asyncio.get_running_loop().set_exception_handler(faults.on_loop)
    reloader.watch()
    await role
