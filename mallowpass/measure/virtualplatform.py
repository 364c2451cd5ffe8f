"""The platform's rows and list of hosts, in memory and without faults."""

from __future__ import annotations

from mallowpass.core import platformcalls as platform

__all__ = ["VirtualPlatform"]


class VirtualPlatform:
    """Hold the rows and hosts that the platform would."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], platform.TableRow] = {}
        self.changed: dict[tuple[str, str], int] = {}
        self.change = 0
        self.hosts: dict[str, platform.ListedHost] = {}

    def reply(self, request: platform.PlatformCall) -> platform.PlatformReply:
        """Carry a call out."""
        match request:
            case platform.ReadRow():
                return platform.RowRead(self.rows.get((request.table, request.key)))
            case platform.ScanRows():
                return self._scan(request)
            case platform.WriteRow():
                return self._write(request)
            case platform.ListHosts():
                return platform.HostsListed(tuple(self.hosts.values()))
            case platform.RegisterHost():
                self.hosts[request.host.name] = request.host
                return platform.HostRegistered()
        raise TypeError(f"no reply to {request!r}")

    def _scan(self, request: platform.ScanRows) -> platform.PlatformReply:
        if request.after_change >= self.change:
            return platform.RowsScanned((), self.change)
        found = sorted(
            (change, key)
            for key, change in self.changed.items()
            if key[0] == request.table and change > request.after_change
        )
        return platform.RowsScanned(
            tuple(self.rows[key] for _, key in found), self.change
        )

    def _write(self, request: platform.WriteRow) -> platform.PlatformReply:
        key = (request.table, request.key)
        current = self.rows.get(key)
        if request.expected_version != (current.version if current else 0):
            return platform.RowWritten(False, current)
        row = platform.TableRow(*key, request.expected_version + 1, request.value)
        self.change += 1
        self.rows[key], self.changed[key] = row, self.change
        return platform.RowWritten(True, row)
