"""`mallowpass completion`: print the completion script of a shell."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

__all__ = ["completion"]


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for SHELL; source it from the shell's start-up."""
    root = click.get_current_context().find_root()
    kind = get_completion_class(shell)
    if kind is None:
        raise click.ClickException(f"no completion for {shell}")
    script = kind(root.command, {}, "mallowpass", "_MALLOWPASS_COMPLETE")
    click.echo(script.source())
