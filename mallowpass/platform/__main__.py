"""Run one host on the platform: `python3 -m mallowpass.platform`."""

from __future__ import annotations

import asyncio
import signal
import sys
from types import FrameType

__all__ = ["main"]

EXIT_SETTINGS = 3  # the command line's exit status for invalid settings


def _exit_early(signum: int, frame: FrameType | None) -> None:
    """Exit with status 0 on SIGTERM before the host has started.

    The default action ends the process by the signal, which its parent process takes
    for a crash.
    """
    raise SystemExit(0)


class _EarlyReloads:
    """Reload signals that arrive before a host handles them itself."""

    __slots__ = ("_count",)

    def __init__(self) -> None:
        self._count = 0

    def __bool__(self) -> bool:
        return self._count > 0

    def note(self, signum: int, frame: FrameType | None) -> None:
        """Handle a signal."""
        self._count += 1


async def _serve(early_reloads: _EarlyReloads) -> None:
    from mallowpass.platform.logs import LogWriter
    from mallowpass.platform.runtime import HostRuntime
    from mallowpass.platform.settings import load_settings, settings_path

    path = settings_path()
    host = HostRuntime(load_settings(path), LogWriter(), path)

    def reload_if_asked() -> None:
        if early_reloads:
            host.reload()

    # The host handles signals before it first waits, and this runs after that.
    asyncio.get_running_loop().call_soon(reload_if_asked)
    await host.run()


def main() -> None:
    """Serve until a signal stops this host; exit with 3 if its settings are invalid."""
    signal.signal(signal.SIGTERM, _exit_early)
    # Its default action ends the process. The settings may have been read already.
    early_reloads = _EarlyReloads()
    signal.signal(signal.SIGHUP, early_reloads.note)
    from mallowpass.platform.settings import SettingsError

    try:
        asyncio.run(_serve(early_reloads))
    except SettingsError as error:
        print(f"level=error event=settings_invalid why={error}", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from None


if __name__ == "__main__":
    main()
