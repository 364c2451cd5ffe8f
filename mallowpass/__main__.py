"""Run the command line as `python -m mallowpass`."""

from __future__ import annotations

from mallowpass.cli.main import main

if __name__ == "__main__":
    main()
