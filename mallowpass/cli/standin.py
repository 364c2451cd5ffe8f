"""`mallowpass standin` and `mallowpass fault`: stand-ins as a process, and faults."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from mallowpass.standins.process import Standins

__all__ = ["fault", "standin"]


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def standin(settings: Path) -> None:
    """Run the stand-ins of the SETTINGS file: database groups and a platform."""
    from mallowpass.settings import load_standin_settings

    asyncio.run(_serve(load_standin_settings(settings)))


async def _serve(settings: Any) -> None:
    from mallowpass.standins.process import serve_standins

    serving = asyncio.ensure_future(serve_standins(settings, _show_addresses))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, serving.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await serving


def _show_addresses(standins: Standins) -> None:
    for name, address in standins.addresses.items():
        click.echo(f"event=standin-listening name={name} address={address}")
    click.echo(f"event=standins-ready faults={standins.faults_address}")


# -- Faults ------------------------------------------------------------------


@click.group()
def fault() -> None:
    """Set faults on running stand-ins, to see what the fleet makes of them."""


_address = click.option(
    "--standins",
    "address",
    default="127.0.0.1:7000",
    show_default=True,
    metavar="ADDRESS",
    help="Where the stand-ins take faults.",
)


@fault.command()
@_address
@click.argument("group")
@click.argument("name")
@click.option("--crashed", is_flag=True, help="Break and refuse connections.")
@click.option("--paused", is_flag=True, help="Answer and replicate nothing.")
@click.option("--silent-connections", is_flag=True, help="Silence what is open now.")
@click.option("--cut-off-from", multiple=True, metavar="MEMBER")
@click.option("--cut-off-from-hosts", is_flag=True)
@click.option("--lose-answers", type=int, default=0, help="Of the next N writes.")
@click.option("--lose-control-answers", type=int, default=0)
@click.option("--cross-answers", type=int, default=0)
@click.option("--late-answers-ms", type=int, default=0)
@click.option("--lag-median-ms", type=float, default=-1.0)
@click.option("--lag-p99-ms", type=float, default=-1.0)
@click.option("--leaving", is_flag=True)
@click.option("--probe-loss", type=float, default=0.0)
def member(address: str, group: str, name: str, **faults: Any) -> None:
    """Give member NAME of GROUP exactly these faults; none named: it is well."""
    from mallowpass.schema import standin_pb2

    faults["cut_off_from"] = list(faults["cut_off_from"])
    call = standin_pb2.MemberFault(group=group, member=name, **faults)
    click.echo(asyncio.run(_send(address, "SetMemberFault", call)))


@fault.command()
@_address
@click.option("--down", is_flag=True)
@click.option("--slow-ms", type=int, default=0)
@click.option("--lose-answers", type=int, default=0)
@click.option("--lose-answer-share", type=float, default=0.0)
def platform(address: str, **faults: Any) -> None:
    """Give the platform exactly these faults; none named: it is well."""
    from mallowpass.schema import standin_pb2

    call = standin_pb2.PlatformFault(**faults)
    click.echo(asyncio.run(_send(address, "SetPlatformFault", call)))


async def _send(address: str, method: str, call: Any) -> str:
    import grpc

    from mallowpass.adapters.channels import open_channel
    from mallowpass.schema import standin_pb2_grpc

    channel = open_channel(address)
    try:
        stub = standin_pb2_grpc.StandinFaultsStub(channel)
        answer = await getattr(stub, method)(call, timeout=_TIMEOUT)
    except grpc.aio.AioRpcError as error:
        raise click.ClickException(f"{address}: {error.details()}") from None
    finally:
        await channel.close()
    return answer.message


_TIMEOUT = 10.0  # seconds
