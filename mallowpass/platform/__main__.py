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


async def _serve() -> None:
    from mallowpass.platform.logs import LogWriter
    from mallowpass.platform.runtime import HostRuntime
    from mallowpass.platform.settings import load_settings, settings_path

    path = settings_path()
    await HostRuntime(load_settings(path), LogWriter(), path).run()


def main() -> None:
    """Serve until a signal stops this host; exit with 3 if its settings are invalid."""
    signal.signal(signal.SIGTERM, _exit_early)
    # A reload signal that arrives before the settings are read would end the process.
    # It is ignored, as the settings are about to be read.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from mallowpass.platform.settings import SettingsError

    try:
        asyncio.run(_serve())
    except SettingsError as error:
        print(f"level=error event=settings_invalid why={error}", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from None


if __name__ == "__main__":
    main()
