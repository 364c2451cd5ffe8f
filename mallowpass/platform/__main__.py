"""Run one host on the platform: `python3 -m mallowpass.platform`."""

from __future__ import annotations

import asyncio
import signal
import sys
from types import FrameType

__all__ = ["main"]

EXIT_SETTINGS = 3  # as the command line's code for settings with findings


def _stop_early(number: int, frame: FrameType | None) -> None:
    """End with 0 when told to stop before there is anything to finish.

    Without this a host that is stopped while it starts dies of the signal, which looks
    like a crash to whoever waits for it.
    """
    raise SystemExit(0)


async def _serve() -> None:
    from mallowpass.platform.logs import LogWriter
    from mallowpass.platform.runtime import HostRuntime
    from mallowpass.platform.settings import load_settings, settings_path

    path = settings_path()
    await HostRuntime(load_settings(path), LogWriter(), path).run()


def main() -> None:
    """Serve until told to stop; a wrong settings file ends it at once."""
    signal.signal(signal.SIGTERM, _stop_early)
    # Told to reload before it has read its settings, a host would end by the signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from mallowpass.platform.settings import SettingsError

    try:
        asyncio.run(_serve())
    except SettingsError as error:
        print(f"level=error event=settings_invalid why={error}", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from None


if __name__ == "__main__":
    main()
