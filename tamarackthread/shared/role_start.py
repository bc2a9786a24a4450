"""Run a role in this process: its log, its settings as they change, its loop."""

from __future__ import annotations

import asyncio
import collections.abc
import pathlib
import signal
import typing

from tamarackthread.generated import settings as generated
from tamarackthread.shared import live_settings, logs, reload

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
    """Run ``role`` with settings loaded from ``path`` until it ends.

    Relative paths in a file that is read again start at ``base``, by default
    the file's own folder.  ``name`` stands in each line of the log, which goes
    to ``output``, by default standard error.
    """
    # Whatever has written the settings may send SIGHUP before the loop
    # listens for it; by default that would end the process.
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
    reloader.watch()
    await role
