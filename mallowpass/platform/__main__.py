"""Run one host on the platform: `python3 -m mallowpass.platform`."""

from __future__ import annotations

import asyncio
import sys

from mallowpass.platform.logs import LogWriter
from mallowpass.platform.runtime import HostRuntime
from mallowpass.platform.settings import SettingsError, load_settings, settings_path

__all__ = ["main"]

EXIT_SETTINGS = 3  # as the command line's code for settings with findings


async def _serve() -> None:
    settings = load_settings(settings_path())
    await HostRuntime(settings, LogWriter()).run()


def main() -> None:
    """Serve until told to stop; a wrong settings file ends it at once."""
    try:
        asyncio.run(_serve())
    except SettingsError as error:
        print(f"level=error event=settings_invalid why={error}", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from None


if __name__ == "__main__":
    main()
